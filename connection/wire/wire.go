// Package wire defines the messages between the system's own processes and their
// framing. Messages are CBOR maps with integer keys. For compatibility between
// versions, a process ignores unknown keys and decodes absent ones as zero, and a key
// is never reused.
package wire

import (
	"bufio"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// MaxFrameBytes limits the size of the arrays and strings of one frame.
const MaxFrameBytes = 8 << 20

// ClientFrame is a frame that an entry sends on a request stream. Exactly one field is set.
type ClientFrame struct {
	StartAttempt *StartAttempt `cbor:"1,keyasint,omitempty"`
	Attach       *Attach       `cbor:"2,keyasint,omitempty"`
	Call         *Call         `cbor:"10,keyasint,omitempty"`
	Seal         *Seal         `cbor:"11,keyasint,omitempty"`
	// Order asks the agent to have its engine execute an order.
	Order *Order `cbor:"16,keyasint,omitempty"`
	// Directory updates or queries the agent's part of the soft directory.
	Directory *DirectoryRequest `cbor:"3,keyasint,omitempty"`
}

// StartAttempt asks an agent to start one attempt of a generation.
type StartAttempt struct {
	Generation request.Generation    `cbor:"1,keyasint"`
	Attempt    request.AttemptNumber `cbor:"2,keyasint"`
	Prompt     request.Prompt        `cbor:"3,keyasint"`
	// Accepted is the prefix of the output that the caller already has.
	Accepted []request.TokenID `cbor:"4,keyasint,omitempty"`
	// SentAt is the sender's hybrid logical clock.
	SentAt uint64 `cbor:"5,keyasint,omitempty"`
	// Epoch is the epoch of the attachment for which the entry starts the attempt.
	Epoch uint64 `cbor:"6,keyasint,omitempty"`
	// Rank orders new requests of the same profile on the engine; lower ranks go first.
	Rank int `cbor:"7,keyasint,omitempty"`
}

// Attach asks an agent to resume a generation from its journal.
type Attach struct {
	Request request.ID `cbor:"1,keyasint"`
	// Workspace must own the request.
	Workspace string `cbor:"2,keyasint"`
	// Position is the position of the first requested token.
	Position int `cbor:"3,keyasint"`
	// Epoch orders attachments: a newer one supersedes older ones.
	Epoch uint64 `cbor:"4,keyasint"`
	// PrefixDigest is request.Output.Hash of the tokens before Position, which the
	// caller already has. The agent refuses if the tokens in its journal differ.
	PrefixDigest uint64 `cbor:"6,keyasint,omitempty"`
	// BodyDigest must match the body digest of the generation.
	BodyDigest string `cbor:"7,keyasint,omitempty"`
}

// ServerFrame is a frame that an agent sends on a request stream. Exactly one field is set.
type ServerFrame struct {
	Start  *Start  `cbor:"1,keyasint,omitempty"`
	Tokens *Tokens `cbor:"2,keyasint,omitempty"`
	End    *End    `cbor:"3,keyasint,omitempty"`
	// CallReply is the only frame in reply to Call and Seal.
	CallReply *CallReply `cbor:"10,keyasint,omitempty"`
	// OrderReply is the only frame in reply to Order.
	OrderReply *OrderReply `cbor:"16,keyasint,omitempty"`
	// LookupReply is the only frame in reply to a Directory frame that sets Lookup.
	LookupReply *LookupReply `cbor:"4,keyasint,omitempty"`
}

// Start is the first frame of the reply to StartAttempt or Attach.
type Start struct {
	Request     request.ID            `cbor:"1,keyasint"`
	Attempt     request.AttemptNumber `cbor:"2,keyasint"`
	Incarnation request.Incarnation   `cbor:"3,keyasint"`
	Target      request.TargetID      `cbor:"4,keyasint"`
	// Prompt is the prompt as tokens.
	Prompt []request.TokenID `cbor:"5,keyasint,omitempty"`
	// Generation is set in reply to Attach.
	Generation *request.Generation `cbor:"6,keyasint,omitempty"`
	// Prefix is set in reply to Attach: the tokens before the requested position.
	Prefix []request.TokenID `cbor:"7,keyasint,omitempty"`
	// SentAt is the sender's hybrid logical clock.
	SentAt uint64 `cbor:"8,keyasint,omitempty"`
}

// Tokens carries the next tokens of an attempt.
type Tokens struct {
	Request  request.ID            `cbor:"1,keyasint"`
	Attempt  request.AttemptNumber `cbor:"2,keyasint"`
	Position int                   `cbor:"3,keyasint"`
	Tokens   []request.TokenID     `cbor:"4,keyasint"`
}

// End is the last frame of the reply.
type End struct {
	Request  request.ID            `cbor:"1,keyasint"`
	Attempt  request.AttemptNumber `cbor:"2,keyasint"`
	Position int                   `cbor:"3,keyasint"`
	Finish   request.FinishReason  `cbor:"4,keyasint,omitempty"`
	Kind     fault.Kind            `cbor:"5,keyasint,omitempty"`
	Message  string                `cbor:"6,keyasint,omitempty"`
	// SentAt is the sender's hybrid logical clock.
	SentAt uint64 `cbor:"7,keyasint,omitempty"`
	// Epoch is the epoch of the newest attachment. It is sent with fault.Superseded.
	Epoch uint64 `cbor:"8,keyasint,omitempty"`
}

// ControlFrame is sent in both directions on the control stream of a link. Any
// combination of its fields may be set.
type ControlFrame struct {
	// SentAt is the sender's hybrid logical clock.
	SentAt uint64 `cbor:"1,keyasint,omitempty"`
	// Revision is the active configuration revision of the sender.
	Revision int64 `cbor:"2,keyasint,omitempty"`
	// Heartbeat is set by agents.
	Heartbeat *Heartbeat `cbor:"3,keyasint,omitempty"`
	// Hello is set on the first frame in each direction.
	Hello *Hello `cbor:"4,keyasint,omitempty"`
	// Document is the body of Revision, sent to a peer that requested it.
	Document []byte `cbor:"5,keyasint,omitempty"`
	// WantDocument requests the body of the peer's revision.
	WantDocument bool `cbor:"6,keyasint,omitempty"`
	// Gossip is set whenever Revision is.
	Gossip *Gossip `cbor:"16,keyasint,omitempty"`
}

// Hello identifies the sender.
type Hello struct {
	Process       string              `cbor:"1,keyasint"`
	FailureDomain string              `cbor:"2,keyasint"`
	Target        request.TargetID    `cbor:"3,keyasint,omitempty"`
	Service       string              `cbor:"4,keyasint,omitempty"`
	Incarnation   request.Incarnation `cbor:"5,keyasint,omitempty"`
}

// Heartbeat reports the state of an agent and its target.
type Heartbeat struct {
	// TargetAlive means that the target has responded to a probe and that no connection
	// to it has failed since. A probe that times out does not change it.
	TargetAlive bool `cbor:"1,keyasint"`
	// Draining means that the target takes no new work.
	Draining bool `cbor:"2,keyasint,omitempty"`
	// Running is the number of running attempts at the agent.
	Running int `cbor:"3,keyasint,omitempty"`
	// EngineRunning and EngineWaiting are the load that the engine itself reported,
	// LoadAgeMillis ago.
	EngineRunning int `cbor:"4,keyasint,omitempty"`
	EngineWaiting int `cbor:"5,keyasint,omitempty"`
	LoadAgeMillis int `cbor:"6,keyasint,omitempty"`
	// Models lists the loaded models.
	Models []string `cbor:"7,keyasint,omitempty"`
	// CacheUsagePermille is the used part of the prefix cache, in thousandths.
	CacheUsagePermille int `cbor:"8,keyasint,omitempty"`
	// LastActivityAgeMillis is the time since the target's last activity: a token or a
	// response to a probe.
	LastActivityAgeMillis int `cbor:"20,keyasint,omitempty"`
	// StalledMillis is the time during which none of the decoding streams has made
	// progress. It is zero when a stream makes progress or none is decoding.
	StalledMillis int `cbor:"21,keyasint,omitempty"`
	// PendingTokens is the number of tokens that the running attempts of all entries
	// may still generate.
	PendingTokens int `cbor:"22,keyasint,omitempty"`
	// Entries is the number of entries that have a link to the agent.
	Entries int `cbor:"23,keyasint,omitempty"`
	// ModelsUnchanged means that the models are the same as in the previous heartbeat.
	ModelsUnchanged bool `cbor:"24,keyasint,omitempty"`
	// UndeclaredModels lists the models of running generations that the configuration
	// no longer declares. Role is the engine's role if one is declared.
	UndeclaredModels []string `cbor:"40,keyasint,omitempty"`
	Role             string   `cbor:"41,keyasint,omitempty"`
}

// An agent sends a heartbeat on a link at the latest IdleHeartbeatInterval after the
// previous heartbeat. While requests are in progress on the link, it also sends one as
// soon as it has sent no frame for BusyHeartbeatInterval.
const (
	BusyHeartbeatInterval = 50 * time.Millisecond
	IdleHeartbeatInterval = 4 * time.Second
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: MaxFrameBytes / 4,
		MaxMapPairs:      1 << 16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Reader reads frames from a stream.
type Reader struct{ decoder *cbor.Decoder }

// NewReader returns a reader over r.
func NewReader(r io.Reader) *Reader {
	return &Reader{decoder: decMode.NewDecoder(r)}
}

// Read decodes the next frame into frame, which must be a pointer. It returns io.EOF
// if the stream ends after a complete frame.
func (r *Reader) Read(frame any) error { return r.decoder.Decode(frame) }

// Writer writes frames to a stream. It is safe for concurrent use.
type Writer struct {
	mu      sync.Mutex
	buffer  *bufio.Writer
	encoder *cbor.Encoder
}

// NewWriter returns a writer over w.
func NewWriter(w io.Writer) *Writer {
	buffer := bufio.NewWriter(w)
	return &Writer{buffer: buffer, encoder: cbor.NewEncoder(buffer)}
}

// Write encodes frame and flushes it.
func (w *Writer) Write(frame any) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.encoder.Encode(frame); err != nil {
		return err
	}
	return w.buffer.Flush()
}
