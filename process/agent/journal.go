package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// record is the journal record of one attempt at a generation. It holds everything that
// an entry needs to continue the output from any position.
//
// Invariant: tokens is append-only, and nothing is appended after end is set.
type record struct {
	generation request.Generation
	attempt    request.AttemptNumber
	cancel     func()

	mu sync.Mutex
	// epoch is that of the newest attachment, which supersedes older ones.
	epoch  uint64
	prompt []request.TokenID
	// accepted is the number of leading tokens that came with the wire.StartAttempt.
	accepted int
	tokens   []request.TokenID
	end      *wire.End
	// subscribers holds one channel for each attachment, with a buffer for one signal.
	subscribers []chan struct{}
	endedAt     time.Time
}

func newRecord(attempt wire.StartAttempt, cancel func()) *record {
	return &record{
		generation: attempt.Generation,
		attempt:    attempt.Attempt,
		cancel:     cancel,
		epoch:      attempt.Epoch,
		accepted:   len(attempt.Accepted),
		tokens:     append([]request.TokenID(nil), attempt.Accepted...),
	}
}

// notify signals all subscribers that the record has changed. The caller holds mu.
func (r *record) notify() {
	for _, subscriber := range r.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// subscribe returns a channel that receives a signal after a change of the record.
func (r *record) subscribe() chan struct{} {
	changed := make(chan struct{}, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, changed)
	return changed
}

func (r *record) unsubscribe(changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = slices.DeleteFunc(r.subscribers, func(c chan struct{}) bool { return c == changed })
}

// setPrompt stores the tokenized prompt.
func (r *record) setPrompt(prompt []request.TokenID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prompt = prompt
	r.notify()
}

// appendTokens appends tokens that the engine generated.
func (r *record) appendTokens(tokens []request.TokenID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens, tokens...)
	r.notify()
}

// finish ends the record. Only the first call has an effect.
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
	r.endedAt = time.Now()
	r.notify()
}

// recordSnapshot is the state of a record at one instant. Its slices are never modified.
type recordSnapshot struct {
	prompt []request.TokenID
	tokens []request.TokenID
	end    *wire.End
	epoch  uint64
}

// snapshotFrom returns the state of the record with the tokens from position on.
func (r *record) snapshotFrom(position int) recordSnapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := recordSnapshot{prompt: r.prompt, end: r.end, epoch: r.epoch}
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

// attach registers a new attachment, which supersedes older ones, and returns the tokens
// before the requested position.
func (r *record) attach(req wire.Attach) ([]request.TokenID, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case req.Workspace != r.generation.Workspace:
		return nil, errUnknownRequest()
	case req.BodyDigest != r.generation.BodyDigest:
		return nil, fault.New(fault.KeyConflict, "")
	case req.Position > len(r.tokens) || request.HashTokens(r.tokens[:req.Position]) != req.PrefixDigest:
		return nil, fault.New(fault.NotFound, "the journal does not hold what the caller has")
	case req.Epoch <= r.epoch:
		return nil, fault.New(fault.Superseded, "")
	}
	r.epoch = req.Epoch
	r.notify()
	return r.tokens[:req.Position:req.Position], nil
}

func errUnknownRequest() error { return fault.New(fault.NotFound, "there is no such request") }

// size returns the number of tokens that the record holds, as a measure of its memory.
func (r *record) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.prompt) + len(r.tokens)
}

const (
	// journalRetention is how long an ended record is kept for callers that reconnect.
	journalRetention = 30 * time.Second
	// maxRetainedTokens bounds the tokens of the ended records of one agent, at 4 bytes
	// a token.
	maxRetainedTokens = 4 << 20
)

// journal holds the records of one agent by request ID.
type journal struct {
	mu      sync.Mutex
	records map[request.ID]*record
	// retired lists the ended records, oldest first; retained is the sum of their sizes.
	retired  []retiredRecord
	retained int
}

type retiredRecord struct {
	record *record
	size   int
	until  time.Time
}

func newJournal() *journal { return &journal{records: map[request.ID]*record{}} }

// add stores a record and returns the record that it replaces, if any. It returns an
// error of kind Superseded if the stored record has a newer epoch, or the same epoch and
// the same or a later attempt.
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

// retire keeps an ended record for journalRetention, and evicts the oldest ended records
// that have expired or that exceed maxRetainedTokens.
func (j *journal) retire(r *record, now time.Time) {
	size := r.size()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.retired = append(j.retired, retiredRecord{record: r, size: size, until: now.Add(journalRetention)})
	j.retained += size
	j.evictLocked(now)
}

func (j *journal) evictLocked(now time.Time) {
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

// evict removes ended records whose retention has expired.
func (j *journal) evict(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evictLocked(now)
}

// running returns the number of records that have not ended.
func (j *journal) running() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for _, r := range j.records {
		if r.snapshotFrom(0).end == nil {
			count++
		}
	}
	return count
}

// pendingTokens returns the maximum number of tokens that the running attempts may still
// generate.
func (j *journal) pendingTokens() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	pending := 0
	for _, r := range j.records {
		if v := r.snapshotFrom(0); v.end == nil {
			pending += max(0, r.generation.Sampling.MaxTokens-len(v.tokens))
		}
	}
	return pending
}
