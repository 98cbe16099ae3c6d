// Package wire defines the messages between the system's own processes and their
// framing. Messages are CBOR maps with integer keys: a process ignores keys it
// does not know and reads absent ones as zero, so that fleets of mixed versions
// understand each other. A key is never reused.
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

// MaxFrameBytes bounds the arrays and strings of one frame.
const MaxFrameBytes = 8 << 20

// ClientFrame is what an entry sends on a request stream. Exactly one field is set.
type ClientFrame struct {
	Run    *Run    `cbor:"1,keyasint,omitempty"`
	Attach *Attach `cbor:"2,keyasint,omitempty"`
	Call   *Call   `cbor:"10,keyasint,omitempty"`
	Seal   *Seal   `cbor:"11,keyasint,omitempty"`
	// Order passes an order to the engine.
	Order *Order `cbor:"16,keyasint,omitempty"`
	// Directory asks for the agent's part of the soft directory.
	Directory *DirectoryRequest `cbor:"3,keyasint,omitempty"`
}

// Run asks an agent to run one attempt of a generation.
type Run struct {
	Generation request.Generation    `cbor:"1,keyasint"`
	Attempt    request.AttemptNumber `cbor:"2,keyasint"`
	Prompt     request.Prompt        `cbor:"3,keyasint"`
	// Accepted is the prefix of the answer that the caller already has.
	Accepted []request.TokenID `cbor:"4,keyasint,omitempty"`
	// SentAt is the hybrid logical clock of the sender.
	SentAt uint64 `cbor:"5,keyasint,omitempty"`
	// Epoch is that of the attachment on whose behalf the entry runs the attempt.
	Epoch uint64 `cbor:"6,keyasint,omitempty"`
	// Rank orders new work of one profile on the engine; less goes first.
	Rank int `cbor:"7,keyasint,omitempty"`
}

// Attach asks an agent to go on with a generation from its journal.
type Attach struct {
	Request request.ID `cbor:"1,keyasint"`
	// Workspace must own the request.
	Workspace string `cbor:"2,keyasint"`
	// Position is the first token wanted.
	Position int `cbor:"3,keyasint"`
	// Epoch orders attachments: a newer one supersedes older ones.
	Epoch uint64 `cbor:"4,keyasint"`
	// PrefixDigest is request.Answer.Sum of the tokens before Position, which the caller
	// has. A journal with other tokens there refuses.
	PrefixDigest uint64 `cbor:"6,keyasint,omitempty"`
	// BodyDigest must be that of the generation.
	BodyDigest string `cbor:"7,keyasint,omitempty"`
}

// ServerFrame is what an agent sends on a request stream. Exactly one field is set.
type ServerFrame struct {
	Start  *Start  `cbor:"1,keyasint,omitempty"`
	Tokens *Tokens `cbor:"2,keyasint,omitempty"`
	End    *End    `cbor:"3,keyasint,omitempty"`
	// CallReply is the only frame in reply to Call and Seal.
	CallReply *CallReply `cbor:"10,keyasint,omitempty"`
	// OrderReply is the only frame in reply to Order.
	OrderReply *OrderReply `cbor:"16,keyasint,omitempty"`
	// LookupReply answers Directory.Find.
	LookupReply *LookupReply `cbor:"4,keyasint,omitempty"`
}

// Start opens the reply to Run or Attach.
type Start struct {
	Request     request.ID            `cbor:"1,keyasint"`
	Attempt     request.AttemptNumber `cbor:"2,keyasint"`
	Incarnation request.Incarnation   `cbor:"3,keyasint"`
	Target      request.TargetID      `cbor:"4,keyasint"`
	// Prompt is the prompt as tokens.
	Prompt []request.TokenID `cbor:"5,keyasint,omitempty"`
	// Generation is set in reply to Attach.
	Generation *request.Generation `cbor:"6,keyasint,omitempty"`
	// Prefix is set in reply to Attach: the tokens before the position asked for.
	Prefix []request.TokenID `cbor:"7,keyasint,omitempty"`
	// SentAt is the hybrid logical clock of the sender.
	SentAt uint64 `cbor:"8,keyasint,omitempty"`
}

// Tokens carries the next tokens of an attempt.
type Tokens struct {
	Request  request.ID            `cbor:"1,keyasint"`
	Attempt  request.AttemptNumber `cbor:"2,keyasint"`
	Position int                   `cbor:"3,keyasint"`
	Tokens   []request.TokenID     `cbor:"4,keyasint"`
}

// End closes the reply.
type End struct {
	Request  request.ID            `cbor:"1,keyasint"`
	Attempt  request.AttemptNumber `cbor:"2,keyasint"`
	Position int                   `cbor:"3,keyasint"`
	Finish   request.FinishReason  `cbor:"4,keyasint,omitempty"`
	Kind     fault.Kind            `cbor:"5,keyasint,omitempty"`
	Message  string                `cbor:"6,keyasint,omitempty"`
	// SentAt is the hybrid logical clock of the sender.
	SentAt uint64 `cbor:"7,keyasint,omitempty"`
	// Epoch is that of the newest attachment, told with Superseded.
	Epoch uint64 `cbor:"8,keyasint,omitempty"`
}

// ControlFrame travels both ways on the control stream of a link. Any of its
// fields may be set.
type ControlFrame struct {
	// SentAt is the hybrid logical clock of the sender.
	SentAt uint64 `cbor:"1,keyasint,omitempty"`
	// Revision is the configuration revision in force at the sender.
	Revision int64 `cbor:"2,keyasint,omitempty"`
	// Heartbeat is set by agents.
	Heartbeat *Heartbeat `cbor:"3,keyasint,omitempty"`
	// Hello is set on the first frame of either side.
	Hello *Hello `cbor:"4,keyasint,omitempty"`
	// Document is the body of Revision, sent to a peer that asked for it.
	Document []byte `cbor:"5,keyasint,omitempty"`
	// WantDocument asks for the body of the peer's revision.
	WantDocument bool `cbor:"6,keyasint,omitempty"`
	// Gossip is set whenever Revision is.
	Gossip *Gossip `cbor:"16,keyasint,omitempty"`
}

// Hello names the sender.
type Hello struct {
	Process       string              `cbor:"1,keyasint"`
	FailureDomain string              `cbor:"2,keyasint"`
	Target        request.TargetID    `cbor:"3,keyasint,omitempty"`
	Service       string              `cbor:"4,keyasint,omitempty"`
	Incarnation   request.Incarnation `cbor:"5,keyasint,omitempty"`
}

// Heartbeat reports the state of an agent and its target.
type Heartbeat struct {
	// TargetAlive says that the target answered lately.
	TargetAlive bool `cbor:"1,keyasint"`
	// Draining says that the target takes no new work.
	Draining bool `cbor:"2,keyasint,omitempty"`
	// Running counts the attempts at the agent.
	Running int `cbor:"3,keyasint,omitempty"`
	// EngineRunning and EngineWaiting are the engine's own report, LoadAgeMillis old.
	EngineRunning int `cbor:"4,keyasint,omitempty"`
	EngineWaiting int `cbor:"5,keyasint,omitempty"`
	LoadAgeMillis int `cbor:"6,keyasint,omitempty"`
	// Models lists what is loaded.
	Models []string `cbor:"7,keyasint,omitempty"`
	// CacheUsagePermille is the used part of the prefix cache, in thousandths.
	CacheUsagePermille int `cbor:"8,keyasint,omitempty"`
	// LastActivityAgeMillis is how long ago the target last gave a sign of life: a token
	// or an answer to a probe.
	LastActivityAgeMillis int `cbor:"20,keyasint,omitempty"`
	// StalledMillis is how long no stream that had begun has moved; zero when one
	// moves or none had begun.
	StalledMillis int `cbor:"21,keyasint,omitempty"`
	// PendingTokens counts the tokens that the running attempts of all entries
	// may still generate.
	PendingTokens int `cbor:"22,keyasint,omitempty"`
	// Entries counts the entries that have a link to the agent.
	Entries int `cbor:"23,keyasint,omitempty"`
	// ModelsUnchanged says that Models is as in the heartbeat before.
	ModelsUnchanged bool `cbor:"24,keyasint,omitempty"`
	// UndeclaredModels lists the models of running generations that the configuration does
	// not declare any more, and Role is the engine's role where one is declared.
	UndeclaredModels []string `cbor:"40,keyasint,omitempty"`
	Role             string   `cbor:"41,keyasint,omitempty"`
}

// The silence that an agent promises not to exceed on a link: with work on it, and
// without.
const (
	BusyHeartbeatInterval = 50 * time.Millisecond
	IdleHeartbeatInterval = 4 * time.Second
)

var decoding = mustDecMode()

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
	return &Reader{decoder: decoding.NewDecoder(r)}
}

// Read decodes the next frame into frame, a pointer. It returns io.EOF at a clean end.
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
