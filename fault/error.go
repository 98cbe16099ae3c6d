package fault

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
)

// Error is an error with a kind and a message fit for a caller.
type Error struct {
	// Kind selects the Response that the caller receives.
	Kind Kind
	// Message describes the error without internal detail.
	Message string
	// Cause is the underlying error, for logs only; it may be nil.
	Cause error
}

// New returns an error of the given kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the given kind that wraps cause, which must not be nil.
func Wrap(kind Kind, cause error, message string) *Error {
	return &Error{Kind: kind, Message: message, Cause: cause}
}

// Error implements the error interface.
func (e *Error) Error() string {
	message := e.Message
	if message == "" {
		message = e.Kind.Response().Message
	}
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Kind, message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Kind, message, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the first Error in the chain of err. Without one,
// context.Canceled maps to CallerGone, context.DeadlineExceeded to DeadlineExceeded,
// nil to None and any other error to Internal.
func KindOf(err error) Kind {
	var e *Error
	switch {
	case err == nil:
		return None
	case errors.As(err, &e):
		return e.Kind
	case errors.Is(err, context.DeadlineExceeded):
		return DeadlineExceeded
	case errors.Is(err, context.Canceled):
		return CallerGone
	default:
		return Internal
	}
}
