package replica

import "time"

// Faults selects the faults of a target.
type Faults struct {
	// Silent accepts requests and never responds; running responses stop.
	Silent bool
	// HoldOutput holds responses, and running ones, until the fault ends. They go on then.
	HoldOutput bool
	// RejectRequests refuses all requests as not executed.
	RejectRequests bool
	// DropResponses executes calls and breaks the connection without a response.
	DropResponses bool
	// RespondWithError responds to calls with a failure of the target itself, an internal
	// server error.
	RespondWithError bool
	// OmitSignature leaves out the signature. WrongAttemptID makes responses carry the
	// attempt ID of another request.
	OmitSignature  bool
	WrongAttemptID bool
	// TrailingBytes sends bytes after a complete response.
	TrailingBytes bool
	// TruncateStreamAfter breaks a stream after this many events, in the middle of the
	// next; zero means never.
	TruncateStreamAfter int
	// DropFirstRequests breaks the connections of this many requests before they are
	// handled.
	DropFirstRequests int
	// DisableKVCopies sends no KV copies to other targets; RejectKVCopies accepts none
	// from them.
	DisableKVCopies bool
	RejectKVCopies  bool
	// Leaving says in each response that the target is leaving. It still serves.
	Leaving bool
	// CloseConnections closes each connection after the response.
	CloseConnections bool
	// Shedding refuses all requests with status 503, and with RetryAfter as the text of its
	// Retry-After, if that is not empty. OmitNotExecuted leaves out that they were not
	// executed.
	Shedding        bool
	RetryAfter      string
	OmitNotExecuted bool
	// ReportDelay delays reports.
	ReportDelay time.Duration
	// CrashOnPart is the ID of a prompt part on which the engine crashes as it begins to
	// respond.
	CrashOnPart string
	// SetContentEncoding declares a content encoding of the body.
	SetContentEncoding bool
}
