package command

import (
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/configuration"
	"github.com/mulberrylane/mulberrylane/version"
)

// ExitCode is the exit code of mlctl.
type ExitCode int

// The exit codes.
const (
	ExitDone ExitCode = 0
	// ExitError is any error without a code of its own.
	ExitError ExitCode = 1
	// ExitInvalid means that the configuration is not valid.
	ExitInvalid ExitCode = 3
	// ExitConflict means that another operator's change came first.
	ExitConflict ExitCode = 4
	// ExitUnknown means that it is not known whether the change was accepted.
	ExitUnknown ExitCode = 5
	// ExitNotInForce means that a process does not have the revision in force.
	ExitNotInForce ExitCode = 6
	// ExitNoStore means that the store did not answer and nothing was changed.
	ExitNoStore ExitCode = 7
)

// exitError is an error with a code of its own.
type exitError struct {
	code    ExitCode
	message string
}

func (e *exitError) Error() string { return e.message }

// ExitCodeOf returns the exit code that tells of err.
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
		return ExitNoStore
	default:
		return ExitError
	}
}

const exitCodesHelp = `Exit codes: 0 done; 1 error; 3 the configuration is not valid; 4 another
operator's change came first; 5 not known whether the change was accepted; 6 not
in force at every process; 7 the store did not answer and nothing was changed.`
