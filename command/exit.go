package command

import (
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/configuration"
	"github.com/mulberrylane/mulberrylane/version"
)

// ExitCode is the exit code of mlctl.
type ExitCode int

// The exit codes of mlctl.
const (
	ExitDone ExitCode = 0
	// ExitError is the code of any error that has no specific code.
	ExitError ExitCode = 1
	// ExitInvalid means that the configuration is invalid.
	ExitInvalid ExitCode = 3
	// ExitConflict means that another operator changed the configuration first.
	ExitConflict ExitCode = 4
	// ExitUnknown means that it is not known whether the change was accepted.
	ExitUnknown ExitCode = 5
	// ExitNotActive means that the revision is not active at every process.
	ExitNotActive ExitCode = 6
	// ExitStoreUnavailable means that the store did not respond and nothing was changed.
	ExitStoreUnavailable ExitCode = 7
)

// exitError is an error with a specific exit code.
type exitError struct {
	code    ExitCode
	message string
}

func (e *exitError) Error() string { return e.message }

// ExitCodeOf returns the exit code for err.
func ExitCodeOf(err error) ExitCode {
	var exit *exitError
	var invalid version.DocumentErrors
	var conflict *configuration.ConflictError
	var notSent *configuration.NotSentError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &notSent), fault.KindOf(err) == fault.StoreUnavailable:
		return ExitStoreUnavailable
	default:
		return ExitError
	}
}

const exitCodesHelp = `Exit codes: 0 done; 1 error; 3 the configuration is not valid; 4 another
operator's change came first; 5 not known whether the change was accepted; 6 not
in force at every process; 7 the store did not answer and nothing was changed.`
