package timeline

import (
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// Kind is the type of an event. The list is closed.
type Kind string

// The kinds of events.
const (
	RequestAdmitted Kind = "request-admitted"
	RequestRefused  Kind = "request-refused"
	RequestEnded    Kind = "request-ended"
	RequestAttached Kind = "request-attached"
	RequestOrphaned Kind = "request-orphaned"
	Superseded      Kind = "superseded"

	AttemptStarted Kind = "attempt-started"
	AttemptBegan   Kind = "attempt-began"
	AttemptFailed  Kind = "attempt-failed"
	AttemptEnded   Kind = "attempt-ended"
	FirstToken     Kind = "first-token"
	Resumed        Kind = "resumed"
	Hedged         Kind = "hedged"

	TargetUp        Kind = "target-up"
	TargetDown      Kind = "target-down"
	TargetSuspected Kind = "target-suspected"
	TargetTrusted   Kind = "target-trusted"
	TargetLeaving   Kind = "target-leaving"

	CallReserved Kind = "call-reserved"
	CallPassed   Kind = "call-passed"
	CallSealed   Kind = "call-sealed"
	CallSettled  Kind = "call-settled"

	ProcessStarted  Kind = "process-started"
	ProcessDraining Kind = "process-draining"
)

// Event is one event in a process. Fields that do not apply are zero.
type Event struct {
	Timestamp Timestamp             `json:"stamp"`
	Process   string                `json:"process"`
	Kind      Kind                  `json:"kind"`
	Request   request.ID            `json:"request,omitempty"`
	Attempt   request.AttemptNumber `json:"attempt,omitempty"`
	Target    request.TargetID      `json:"target,omitempty"`
	Revision  int64                 `json:"revision,omitempty"`
	// Position is the index of the next token of the output at the time of the event.
	Position int `json:"position,omitempty"`
	// Error is the stable name of the error kind, or empty.
	Error string `json:"error,omitempty"`
	// Detail is a short free-form text.
	Detail string `json:"detail,omitempty"`
}

// ErrorName returns the name of kind for Event.Error, or "" for fault.None.
func ErrorName(kind fault.Kind) string {
	if kind == fault.None {
		return ""
	}
	return kind.String()
}
