package request

import "time"

// Message is one turn of a chat prompt.
type Message struct {
	Role    string `cbor:"1,keyasint" json:"role"`
	Content string `cbor:"2,keyasint" json:"content"`
}

// Prompt is the input of a generation in exactly one of its three forms.
type Prompt struct {
	// Text is a completion prompt.
	Text string `cbor:"1,keyasint,omitempty"`
	// Messages is a chat prompt before the model's chat template is applied.
	Messages []Message `cbor:"2,keyasint,omitempty"`
	// Tokens is a tokenized prompt.
	Tokens []TokenID `cbor:"3,keyasint,omitempty"`
}

// Sampling holds the sampling parameters. Together with the prompt, the model
// version and the adapter they define one generation.
type Sampling struct {
	MaxTokens   int      `cbor:"1,keyasint"`
	Temperature float64  `cbor:"2,keyasint,omitempty"`
	TopP        float64  `cbor:"3,keyasint,omitempty"`
	Seed        int64    `cbor:"4,keyasint,omitempty"`
	Stop        []string `cbor:"5,keyasint,omitempty"`
}

// Generation is one request for generated text. All attempts of the request run
// the same Generation.
type Generation struct {
	ID        ID       `cbor:"1,keyasint"`
	Workspace string   `cbor:"2,keyasint"`
	Service   string   `cbor:"3,keyasint"`
	Version   string   `cbor:"4,keyasint"`
	Adapter   string   `cbor:"5,keyasint,omitempty"`
	Sampling  Sampling `cbor:"6,keyasint"`
	// Priority is passed to the engine; lower values run first.
	Priority int `cbor:"7,keyasint,omitempty"`
	// Key is the caller's idempotency key, or empty.
	Key string `cbor:"8,keyasint,omitempty"`
	// Chat is set when the caller used the chat completions API.
	Chat bool `cbor:"9,keyasint,omitempty"`
	// OrphanGrace is how long the agent lets the generation continue after the entry was
	// lost.
	OrphanGrace time.Duration `cbor:"10,keyasint,omitempty"`
	// BodyDigest is the digest of the caller's request body. It distinguishes requests
	// that use the same Key.
	BodyDigest string `cbor:"11,keyasint,omitempty"`
	// Deadline is when the response becomes useless to the caller, in Unix milliseconds.
	Deadline int64 `cbor:"12,keyasint,omitempty"`
	// Profile and Revision are the profile and the configuration revision that apply
	// to the request.
	Profile  string `cbor:"13,keyasint,omitempty"`
	Revision int64  `cbor:"14,keyasint,omitempty"`
}
