package callpage

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// OpType is the type of an operation.
type OpType uint8

// The types of operations.
const (
	// OpLookup reads the record of a call.
	OpLookup OpType = iota
	// OpReserve records a reservation. If Previous is set, it may replace that
	// reservation, which must be sealed or never sent.
	OpReserve
	// OpRelease removes the reservation Previous, which must be sealed or never sent.
	OpRelease
	// OpSettle records the reply to the reservation Nonce.
	OpSettle
)

// Operation reads or changes the record of one call.
type Operation struct {
	Type    OpType
	CallKey CallKey
	// Digest is the digest of the call; a record with another digest is a conflict.
	Digest string
	// Previous is the reservation to replace or remove.
	Previous request.Nonce
	// Nonce is the reservation to record or settle.
	Nonce       request.Nonce
	Request     request.ID
	Target      request.TargetID
	Incarnation request.Incarnation
	// Reply is the target's response.
	Reply *request.CallReply
	// Retention is how long the outcome of the call is kept.
	Retention time.Duration
}

// Status is the outcome of an operation.
type Status uint8

// The statuses.
const (
	// StatusAbsent means that the page has no reservation of the call.
	StatusAbsent Status = iota
	// StatusReserved means that the reservation of this operation is recorded.
	StatusReserved
	// StatusFound means that the page has another reservation of the call, or its
	// outcome; Record holds it.
	StatusFound
	// StatusConflict means that the key belongs to another call; Record holds it.
	StatusConflict
	// StatusExpired means that the page may have held the call and pruned it.
	StatusExpired
	// StatusFull means that the page has no room and no reservation of the call.
	StatusFull
)

// Result holds the status of one operation and, unless the status is StatusAbsent,
// StatusExpired or StatusFull, the record of the call.
type Result struct {
	Status Status
	Record Record
}

// ResultOf returns the result of op on the existing record of its key.
func ResultOf(op Operation, record Record) Result {
	if op.Digest != "" && op.Digest != record.Digest {
		return Result{Status: StatusConflict, Record: record}
	}
	return Result{Status: StatusFound, Record: record}
}

// IsFinal reports whether the call is done, so that later versions of the page give the
// same result until they prune the record.
func (r Result) IsFinal() bool { return r.Record.Done }

// Apply applies ops in order to a copy of the page. If changed is false, the copy
// equals the page.
func (p *Page) Apply(now time.Time, ops []Operation) (next *Page, results []Result, changed bool) {
	next = &Page{prunedBefore: p.prunedBefore, records: slices.Clone(p.records), tombstones: p.tombstones, size: p.size}
	results = make([]Result, 0, len(ops))
	for _, op := range ops {
		result, wrote := next.apply(now, op)
		results = append(results, result)
		changed = changed || wrote
	}
	if changed {
		next.prune(now, longestRetention(ops))
	}
	return next, results, changed
}

func (p *Page) apply(now time.Time, op Operation) (result Result, changed bool) {
	index, found := p.find(op.CallKey)
	if !found {
		return p.applyAbsent(now, op, index)
	}
	record := &p.records[index]
	switch {
	case op.Type == OpSettle && record.Nonce == op.Nonce && !record.Done:
		p.settle(now, record, op)
		return Result{Status: StatusFound, Record: *record}, true
	case op.Type == OpReserve && record.Nonce == op.Nonce && !record.Done:
		return Result{Status: StatusReserved, Record: *record}, false
	case op.Type == OpReserve && isPrevious(record, op):
		p.size -= record.size()
		*record = newRecord(now, op)
		p.size += record.size()
		return Result{Status: StatusReserved, Record: *record}, true
	case op.Type == OpRelease && isPrevious(record, op):
		p.size -= record.size()
		p.records = slices.Delete(p.records, index, index+1)
		return Result{Status: StatusAbsent}, true
	default:
		return ResultOf(op, *record), false
	}
}

// isPrevious reports whether the record holds the reservation that op replaces or
// removes.
func isPrevious(record *Record, op Operation) bool {
	return !record.Done && !op.Previous.IsZero() && record.Nonce == op.Previous
}

func (p *Page) applyAbsent(now time.Time, op Operation, index int) (Result, bool) {
	if p.wasPruned(op.CallKey) {
		return Result{Status: StatusExpired}, false
	}
	if op.Type != OpReserve {
		return Result{Status: StatusAbsent}, false
	}
	record := newRecord(now, op)
	if p.size+record.size() > MaxPageBytes || len(op.CallKey.Key) > MaxKeyBytes {
		return Result{Status: StatusFull}, false
	}
	p.records = slices.Insert(p.records, index, record)
	p.size += record.size()
	return Result{Status: StatusReserved, Record: record}, true
}

func newRecord(now time.Time, op Operation) Record {
	return Record{
		CallKey: op.CallKey, Request: op.Request, Digest: op.Digest, Nonce: op.Nonce,
		Target: op.Target, Incarnation: op.Incarnation, Written: now.UnixMilli(),
	}
}

func (p *Page) settle(now time.Time, record *Record, op Operation) {
	p.size -= record.size()
	record.Done = true
	record.Written = now.UnixMilli()
	record.ReplyDigest = op.Reply.Digest()
	stored := *op.Reply
	record.BodyStored = replySize(&stored) <= reservedReplyBytes && len(stored.Body) <= MaxStoredReplyBytes
	if !record.BodyStored {
		stored.Body = nil
		stored.Header = nil
	}
	record.Reply = &stored
	p.size += record.size()
}

func longestRetention(ops []Operation) time.Duration {
	longest := time.Duration(0)
	for _, op := range ops {
		longest = max(longest, op.Retention)
	}
	return longest
}

// pruneSteps divides the retention into steps: a page is pruned at most once per
// step.
const pruneSteps = 32

// prune removes records older than the retention. It advances prunedBefore first,
// so that a removed key that carries a time is never taken for a new one; a key
// without a time leaves a tombstone for the same reason.
func (p *Page) prune(now time.Time, retention time.Duration) {
	cutoff := now.Add(-retention)
	if retention <= 0 || cutoff.Sub(p.prunedBefore) < retention/pruneSteps {
		return
	}
	p.prunedBefore = cutoff
	kept := p.records[:0]
	for _, record := range p.records {
		if !p.isExpired(record) {
			kept = append(kept, record)
			continue
		}
		if at, timed := record.CallKey.Time(); !timed || !at.Before(p.prunedBefore) {
			p.addTombstone(record.CallKey)
		}
	}
	p.records = kept
	p.updateSize()
}

// isExpired reports whether a record was last written before prunedBefore and, if
// it has no outcome, the deadline of its reservation was before prunedBefore too.
func (p *Page) isExpired(record Record) bool {
	last := time.UnixMilli(record.Written)
	if deadline := record.Nonce.Deadline(); !record.Done && deadline.After(last) {
		last = deadline
	}
	return last.Before(p.prunedBefore)
}

// addTombstone records the pruning of a key that prunedBefore does not cover.
func (p *Page) addTombstone(key CallKey) {
	at, found := p.findTombstone(key)
	if found {
		return
	}
	sum := key.digest()
	p.tombstones = slices.Insert(slices.Clone(p.tombstones), at*tombstoneBytes, sum[:tombstoneBytes]...)
}
