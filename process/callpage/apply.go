package callpage

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// OpType selects what an operation does.
type OpType uint8

// The operations.
const (
	// OpLookup reads the record of a call.
	OpLookup OpType = iota
	// OpReserve records a reservation. With Previous set, it may take the place of
	// that reservation, which must be sealed or never sent.
	OpReserve
	// OpRelease removes the reservation Previous, which must be sealed or never sent.
	OpRelease
	// OpSettle records the reply to the reservation Nonce.
	OpSettle
)

// Operation is one operation on the record of one call.
type Operation struct {
	Type    OpType
	CallKey CallKey
	// Digest is that of the call; a record with another one is a conflict.
	Digest string
	// Previous is the reservation that is replaced or removed.
	Previous request.Nonce
	// Nonce is the reservation that is made or settled.
	Nonce       request.Nonce
	Request     request.ID
	Target      request.TargetID
	Incarnation request.Incarnation
	// Reply is what the target answered.
	Reply *request.CallReply
	// Retention is how long the outcome is kept.
	Retention time.Duration
}

// Status says how an operation came out.
type Status uint8

// The results.
const (
	// StatusAbsent means that the page has no reservation of the call.
	StatusAbsent Status = iota
	// StatusReserved means that the reservation of this operation stands.
	StatusReserved
	// StatusFound means that the page has another record of the call, or one that
	// is done: it is in Record.
	StatusFound
	// StatusConflict means that the key stands for another call: it is in Record.
	StatusConflict
	// StatusExpired means that the page may have held the call and dropped it.
	StatusExpired
	// StatusFull means that there is no room, and no reservation of the call.
	StatusFull
)

// Result answers one operation.
type Result struct {
	Status Status
	Record Record
}

// ResultOf returns the result of op on a record of its call that is done.
func ResultOf(op Operation, record Record) Result {
	if op.Digest != "" && op.Digest != record.Digest {
		return Result{Status: StatusConflict, Record: record}
	}
	return Result{Status: StatusFound, Record: record}
}

// IsFinal says that no later page can answer otherwise.
func (r Result) IsFinal() bool { return r.Record.Done }

// Apply carries out ops in order on a copy of the page. When changed is false the
// copy equals the page.
func (p *Page) Apply(now time.Time, ops []Operation) (next *Page, results []Result, changed bool) {
	next = &Page{floor: p.floor, records: slices.Clone(p.records), forgotten: p.forgotten, size: p.size}
	results = make([]Result, 0, len(ops))
	for _, op := range ops {
		result, wrote := next.apply(now, op)
		results = append(results, result)
		changed = changed || wrote
	}
	if changed {
		next.prune(now, retentionOf(ops))
	}
	return next, results, changed
}

func (p *Page) apply(now time.Time, op Operation) (result Result, changed bool) {
	at, found := p.find(op.CallKey)
	if !found {
		return p.applyAbsent(now, op, at)
	}
	record := &p.records[at]
	switch {
	case op.Type == OpSettle && record.Nonce == op.Nonce && !record.Done:
		p.settle(now, record, op)
		return Result{Status: StatusFound, Record: *record}, true
	case op.Type == OpReserve && record.Nonce == op.Nonce && !record.Done:
		return Result{Status: StatusReserved, Record: *record}, false
	case op.Type == OpReserve && replaces(record, op):
		p.size -= record.size()
		*record = reservation(now, op)
		p.size += record.size()
		return Result{Status: StatusReserved, Record: *record}, true
	case op.Type == OpRelease && replaces(record, op):
		p.size -= record.size()
		p.records = slices.Delete(p.records, at, at+1)
		return Result{Status: StatusAbsent}, true
	default:
		return ResultOf(op, *record), false
	}
}

// replaces says that op names the reservation of the record as dead.
func replaces(record *Record, op Operation) bool {
	return !record.Done && !op.Previous.IsZero() && record.Nonce == op.Previous
}

func (p *Page) applyAbsent(now time.Time, op Operation, at int) (Result, bool) {
	if p.expired(op.CallKey) {
		return Result{Status: StatusExpired}, false
	}
	if op.Type != OpReserve {
		return Result{Status: StatusAbsent}, false
	}
	record := reservation(now, op)
	if p.size+record.size() > MaxPageBytes || len(op.CallKey.Key) > MaxKeyBytes {
		return Result{Status: StatusFull}, false
	}
	p.records = slices.Insert(p.records, at, record)
	p.size += record.size()
	return Result{Status: StatusReserved, Record: record}, true
}

func reservation(now time.Time, op Operation) Record {
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
	kept := *op.Reply
	record.BodyStored = replySize(&kept) <= replyRoom && len(kept.Body) <= MaxStoredReply
	if !record.BodyStored {
		kept.Body = nil
		kept.Header = nil
	}
	record.Reply = &kept
	p.size += record.size()
}

func retentionOf(ops []Operation) time.Duration {
	longest := time.Duration(0)
	for _, op := range ops {
		longest = max(longest, op.Retention)
	}
	return longest
}

// pruneSteps is into how many steps the retention is divided: a page is pruned
// when one step is over.
const pruneSteps = 32

// prune drops what is older than the retention. It raises the floor first, so
// that a timed key which is dropped can never be taken for a new one; a key
// without a time leaves a tombstone for the same reason.
func (p *Page) prune(now time.Time, retention time.Duration) {
	floor := now.Add(-retention)
	if retention <= 0 || floor.Sub(p.floor) < retention/pruneSteps {
		return
	}
	p.floor = floor
	kept := p.records[:0]
	for _, record := range p.records {
		if !p.droppable(record) {
			kept = append(kept, record)
			continue
		}
		if at, timed := record.CallKey.Time(); !timed || !at.Before(p.floor) {
			p.bury(record.CallKey)
		}
	}
	p.records = kept
	p.measure()
}

// droppable says that a record was last written before the floor and its
// reservation, if it has no outcome, is past its deadline.
func (p *Page) droppable(record Record) bool {
	last := time.UnixMilli(record.Written)
	if deadline := record.Nonce.Deadline(); !record.Done && deadline.After(last) {
		last = deadline
	}
	return last.Before(p.floor)
}

// bury adds the tombstone of a key.
func (p *Page) bury(name CallKey) {
	at, found := p.findForgotten(name)
	if found {
		return
	}
	sum := name.sum()
	p.forgotten = slices.Insert(slices.Clone(p.forgotten), at*tombstoneBytes, sum[:tombstoneBytes]...)
}
