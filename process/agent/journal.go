package agent

import (
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/wire"
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

	mu     sync.Mutex
	prompt []request.TokenID
	// accepted counts the leading tokens that came with the Run.
	accepted int
	tokens   []request.TokenID
	end      *wire.End
	// changed is closed and replaced at each change.
	changed chan struct{}
	ended   time.Time
}

func newRecord(run wire.Run, cancel func()) *record {
	return &record{
		generation: run.Generation,
		attempt:    run.Attempt,
		cancel:     cancel,
		accepted:   len(run.Accepted),
		tokens:     append([]request.TokenID(nil), run.Accepted...),
		changed:    make(chan struct{}),
	}
}

func (r *record) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
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
	prompt  []request.TokenID
	tokens  []request.TokenID
	end     *wire.End
	changed <-chan struct{}
}

// since returns the record from position on.
func (r *record) since(position int) view {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := view{prompt: r.prompt, end: r.end, changed: r.changed}
	if position < len(r.tokens) {
		v.tokens = r.tokens[position:len(r.tokens):len(r.tokens)]
	}
	return v
}

// journal holds the records of one agent by request.
type journal struct {
	mu      sync.Mutex
	records map[request.ID]*record
}

func newJournal() *journal { return &journal{records: map[request.ID]*record{}} }

// add stores a record and returns the one it replaces, if any.
func (j *journal) add(r *record) (replaced *record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	replaced = j.records[r.generation.ID]
	j.records[r.generation.ID] = r
	return replaced
}

// remove drops a record unless a newer one took its place.
func (j *journal) remove(r *record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.records[r.generation.ID] == r {
		delete(j.records, r.generation.ID)
	}
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
