package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// record is the journal of one attempt at a generation: everything an entry
// needs to go on with the answer from any position.
//
// Invariant: tokens only grow; nothing is appended after end is set.
type record struct {
	generation request.Generation
	attempt    request.AttemptNumber
	cancel     func()

	mu sync.Mutex
	// epoch is that of the newest attachment; readers of older ones are superseded.
	epoch  uint64
	prompt []request.TokenID
	// accepted counts the leading tokens that came with the Run.
	accepted int
	tokens   []request.TokenID
	end      *wire.End
	// waiting holds a channel with room for one signal for each reader.
	waiting []chan struct{}
	ended   time.Time
}

func newRecord(run wire.Run, cancel func()) *record {
	return &record{
		generation: run.Generation,
		attempt:    run.Attempt,
		cancel:     cancel,
		epoch:      run.Epoch,
		accepted:   len(run.Accepted),
		tokens:     append([]request.TokenID(nil), run.Accepted...),
	}
}

// signal tells all readers that the record changed.
func (r *record) signal() {
	for _, reader := range r.waiting {
		select {
		case reader <- struct{}{}:
		default:
		}
	}
}

// subscribe returns a channel that gets a signal after a change.
func (r *record) subscribe() chan struct{} {
	changed := make(chan struct{}, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = append(r.waiting, changed)
	return changed
}

func (r *record) unsubscribe(changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = slices.DeleteFunc(r.waiting, func(c chan struct{}) bool { return c == changed })
}

// begin stores the prompt as tokens.
func (r *record) begin(prompt []request.TokenID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prompt = prompt
	r.signal()
}

// append adds tokens of the engine.
func (r *record) append(tokens []request.TokenID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens, tokens...)
	r.signal()
}

// finish ends the record; later calls change nothing.
func (r *record) finish(end wire.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return
	}
	end.Request = r.generation.ID
	end.Attempt = r.attempt
	end.Position = len(r.tokens)
	r.end = &end
	r.ended = time.Now()
	r.signal()
}

// view is what a reader sees of a record at one instant. Its slices are never
// written again.
type view struct {
	prompt []request.TokenID
	tokens []request.TokenID
	end    *wire.End
	epoch  uint64
}

// since returns the record from position on.
func (r *record) since(position int) view {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := view{prompt: r.prompt, end: r.end, epoch: r.epoch}
	if position < len(r.tokens) {
		v.tokens = r.tokens[position:len(r.tokens):len(r.tokens)]
	}
	return v
}

// newestEpoch returns the epoch of the newest attachment.
func (r *record) newestEpoch() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch
}

// attach makes the asker the newest reader of the record, and returns the
// tokens before the position it asks for.
func (r *record) attach(ask wire.Attach) ([]request.TokenID, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case ask.Workspace != r.generation.Workspace:
		return nil, errUnknownRequest()
	case ask.BodyDigest != r.generation.BodyDigest:
		return nil, fault.New(fault.KeyConflict, "")
	case ask.Position > len(r.tokens) || request.HashTokens(r.tokens[:ask.Position]) != ask.PrefixDigest:
		return nil, fault.New(fault.NotFound, "the journal does not hold what the caller has")
	case ask.Epoch <= r.epoch:
		return nil, fault.New(fault.Superseded, "")
	}
	r.epoch = ask.Epoch
	r.signal()
	return r.tokens[:ask.Position:ask.Position], nil
}

func errUnknownRequest() error { return fault.New(fault.NotFound, "there is no such request") }

// size is the memory that the record takes, in tokens.
func (r *record) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.prompt) + len(r.tokens)
}

const (
	// journalRetention is how long an ended record stays for a reconnecting caller.
	journalRetention = 30 * time.Second
	// maxRetainedTokens bounds the ended records of one agent, at 4 bytes a token.
	maxRetainedTokens = 4 << 20
)

// journal holds the records of one agent by request.
type journal struct {
	mu      sync.Mutex
	records map[request.ID]*record
	// retired lists ended records, oldest first, and retained sums their sizes.
	retired  []retiredRecord
	retained int
}

type retiredRecord struct {
	record *record
	size   int
	until  time.Time
}

func newJournal() *journal { return &journal{records: map[request.ID]*record{}} }

// add stores a record and returns the one it replaces, if any. A run of an older
// attachment or attempt than the one known is refused.
func (j *journal) add(r *record) (replaced *record, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	replaced = j.records[r.generation.ID]
	if replaced != nil {
		epoch := replaced.newestEpoch()
		if epoch > r.epoch || epoch == r.epoch && replaced.attempt >= r.attempt {
			return nil, fault.New(fault.Superseded, "")
		}
	}
	j.records[r.generation.ID] = r
	return replaced, nil
}

// get returns the record of a request, or nil.
func (j *journal) get(id request.ID) *record {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.records[id]
}

// retire keeps an ended record for its retention and drops those that are over
// theirs or over the bound.
func (j *journal) retire(r *record, now time.Time) {
	size := r.size()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.retired = append(j.retired, retiredRecord{record: r, size: size, until: now.Add(journalRetention)})
	j.retained += size
	j.trim(now)
}

func (j *journal) trim(now time.Time) {
	for len(j.retired) > 0 {
		oldest := j.retired[0]
		if j.retained <= maxRetainedTokens && now.Before(oldest.until) {
			return
		}
		j.retired = j.retired[1:]
		j.retained -= oldest.size
		if id := oldest.record.generation.ID; j.records[id] == oldest.record {
			delete(j.records, id)
		}
	}
}

// sweep drops ended records that are over their retention.
func (j *journal) sweep(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.trim(now)
}

// running counts the records that have not ended.
func (j *journal) running() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for _, r := range j.records {
		if r.since(0).end == nil {
			count++
		}
	}
	return count
}

// pendingTokens counts the tokens that the records which have not ended may still
// generate.
func (j *journal) pendingTokens() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	pending := 0
	for _, r := range j.records {
		if v := r.since(0); v.end == nil {
			pending += max(0, r.generation.Sampling.MaxTokens-len(v.tokens))
		}
	}
	return pending
}
