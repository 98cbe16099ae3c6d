package request

import (
	"encoding/hex"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// WasRun reports whether the work that a caller requested was executed.
type WasRun uint8

// The values of WasRun. RunUnknown is the zero value, so that an unset outcome
// makes no claim about the execution.
const (
	RunUnknown WasRun = 0
	RunYes     WasRun = 1
	RunNo      WasRun = 2
)

// String returns "yes", "no" or "unknown".
func (w WasRun) String() string {
	switch w {
	case RunYes:
		return "yes"
	case RunNo:
		return "no"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (w WasRun) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Unrecognized text decodes as
// RunUnknown.
func (w *WasRun) UnmarshalText(text []byte) error {
	switch string(text) {
	case "yes":
		*w = RunYes
	case "no":
		*w = RunNo
	default:
		*w = RunUnknown
	}
	return nil
}

// FinishReason is why a generation ended, in the terms of the OpenAI API.
type FinishReason string

// The finish reasons that engines report.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Outcome is the final result of a request. It ends every response, refusals
// included.
type Outcome struct {
	Request      ID            `json:"request"`
	Profile      string        `json:"profile,omitempty"`
	Revision     int64         `json:"revision"`
	ModelVersion string        `json:"modelVersion,omitempty"`
	Attempts     AttemptNumber `json:"attempts"`
	// Tokens is the number of tokens in the output.
	Tokens int `json:"tokens"`
	// Digest is the hash of the output tokens in hexadecimal.
	Digest string `json:"digest,omitempty"`
	WasRun WasRun `json:"wasRun"`
	// Error is the stable name of the error kind; empty on success.
	Error string `json:"error,omitempty"`

	// Kind and Finish determine the response; Error and the response body repeat them
	// as text.
	Kind   fault.Kind   `json:"-"`
	Finish FinishReason `json:"-"`
	// RetryAfter is the delay after which a refused request may be retried; zero means
	// unknown.
	RetryAfter time.Duration `json:"-"`
}

func hexDigest(sum [8]byte) string { return hex.EncodeToString(sum[:]) }
