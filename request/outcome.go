package request

import (
	"encoding/hex"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// WasRun says whether the work that a caller asked for was run.
type WasRun uint8

// The three truthful answers. Unknown is the zero value, so that an outcome
// nobody filled in never claims more than is known.
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

// UnmarshalText implements encoding.TextUnmarshaler; other words read as unknown.
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

// FinishReason is why a generation ended, in the words of the OpenAI API.
type FinishReason string

// The reasons an engine gives.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Outcome ends every answer and every refusal.
type Outcome struct {
	Request      ID            `json:"request"`
	Profile      string        `json:"profile,omitempty"`
	Revision     int64         `json:"revision"`
	ModelVersion string        `json:"modelVersion,omitempty"`
	Attempts     AttemptNumber `json:"attempts"`
	// Tokens counts the tokens of the answer.
	Tokens int `json:"tokens"`
	// Digest identifies the tokens of the answer, in hexadecimal.
	Digest string `json:"digest,omitempty"`
	WasRun WasRun `json:"wasRun"`
	// Error is the stable name of the error kind, or empty.
	Error string `json:"error,omitempty"`

	// Kind and Finish drive the answer; Error and the body repeat them in text.
	Kind   fault.Kind   `json:"-"`
	Finish FinishReason `json:"-"`
	// RetryAfter is when a refused request is worth repeating; zero means not known.
	RetryAfter time.Duration `json:"-"`
}

func hexDigest(sum [8]byte) string { return hex.EncodeToString(sum[:]) }
