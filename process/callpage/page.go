// Package callpage implements the pages on which non-idempotent calls are
// recorded. A page is one value in the store and is changed only by
// compare-and-swap. Apply applies a batch of operations to a copy of a page. If the
// response to a compare-and-swap is lost, its operations can be applied again,
// because each recognizes its own nonce.
//
// The package does no I/O, starts no goroutines, takes no locks, and receives the
// current time from its caller.
package callpage

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/request"
)

// CallKey identifies a call permanently: the caller's idempotency key within its
// workspace.
type CallKey struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
}

// Compare orders keys by workspace, then by key.
func (k CallKey) Compare(other CallKey) int {
	if c := strings.Compare(k.Workspace, other.Workspace); c != 0 {
		return c
	}
	return strings.Compare(k.Key, other.Key)
}

func (k CallKey) digest() [sha256.Size]byte {
	return sha256.Sum256([]byte(k.Workspace + "\x00" + k.Key))
}

// PageIndex returns the index of the page, out of count, that records the call.
func (k CallKey) PageIndex(count int) int {
	sum := k.digest()
	value := uint64(0)
	for _, b := range sum[:8] {
		value = value<<8 | uint64(b)
	}
	return int(value % uint64(count))
}

// Time returns the time in a UUIDv7 key, or false for any other key.
func (k CallKey) Time() (time.Time, bool) {
	id, err := uuid.Parse(k.Key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// Record is the record of one call.
type Record struct {
	CallKey CallKey `cbor:"1,keyasint"`
	// Request is the ID of the submission that made the reservation.
	Request request.ID `cbor:"2,keyasint"`
	// Digest identifies the method, path and body of the call.
	Digest string `cbor:"3,keyasint"`
	// Nonce, Target and Incarnation identify the reservation.
	Nonce       request.Nonce       `cbor:"4,keyasint"`
	Target      request.TargetID    `cbor:"5,keyasint"`
	Incarnation request.Incarnation `cbor:"6,keyasint"`
	// Done means that the call was run and its outcome is known.
	Done bool `cbor:"7,keyasint,omitempty"`
	// ReplyDigest identifies the reply of a call that is done.
	ReplyDigest string `cbor:"8,keyasint,omitempty"`
	// Reply is the reply; its header and body are omitted if they are too large to
	// store (see MaxStoredReplyBytes).
	Reply *request.CallReply `cbor:"9,keyasint,omitempty"`
	// BodyStored means that Reply is complete.
	BodyStored bool `cbor:"10,keyasint,omitempty"`
	// Written is when the record was last changed, in Unix milliseconds.
	Written int64 `cbor:"11,keyasint"`
}

const (
	// MaxPageBytes bounds the size of a page, with a margin below the store's limit of
	// 1 MB.
	MaxPageBytes = 900 << 10
	// MaxStoredReplyBytes bounds the body, in bytes, of a reply that is stored on a page.
	MaxStoredReplyBytes = 4 << 10
	// MaxKeyBytes bounds the length of an idempotency key.
	MaxKeyBytes = 255
	// recordOverhead is an upper bound of the encoded size of a record without its
	// strings and its reply.
	recordOverhead = 320
	// reservedReplyBytes is kept free for the reply of each reserved call.
	reservedReplyBytes = MaxStoredReplyBytes + 1<<10
	// tombstoneBytes is the size of a tombstone: the first bytes of the digest of a
	// pruned key.
	tombstoneBytes = 16
)

// page is the stored form of a Page.
type page struct {
	// PrunedBefore is the time, in Unix milliseconds, before which records were
	// pruned: a key with an older time that is not on the page may have been pruned.
	PrunedBefore int64    `cbor:"1,keyasint"`
	Records      []Record `cbor:"2,keyasint"`
	// Tombstones holds the first tombstoneBytes of the digest of each pruned key
	// that PrunedBefore does not cover, concatenated in ascending order.
	Tombstones []byte `cbor:"3,keyasint,omitempty"`
}

// Page is one page of records. It is immutable; its zero value is empty.
type Page struct {
	prunedBefore time.Time
	records      []Record
	tombstones   []byte
	size         int
}

var encoding = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode decodes the stored value of a page; no data is an empty page.
func Decode(data []byte) (*Page, error) {
	if len(data) == 0 {
		return &Page{}, nil
	}
	var stored page
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return nil, errors.Wrap(err, "call page")
	}
	p := &Page{prunedBefore: time.UnixMilli(stored.PrunedBefore), records: stored.Records, tombstones: stored.Tombstones}
	p.updateSize()
	return p, nil
}

// Encode encodes the page for the store.
func (p *Page) Encode() ([]byte, error) {
	data, err := encoding.Marshal(page{PrunedBefore: p.prunedBefore.UnixMilli(), Records: p.records, Tombstones: p.tombstones})
	return data, errors.Wrap(err, "call page")
}

// Len returns the number of calls on the page.
func (p *Page) Len() int { return len(p.records) }

// Size returns an upper bound of the encoded size in bytes once all reserved calls
// are done.
func (p *Page) Size() int { return p.size }

func (p *Page) updateSize() {
	p.size = len(p.tombstones) + recordOverhead
	for i := range p.records {
		p.size += p.records[i].size()
	}
}

func (r *Record) size() int {
	size := recordOverhead + len(r.CallKey.Workspace) + len(r.CallKey.Key) + len(r.Target)
	if !r.Done {
		return size + reservedReplyBytes
	}
	return size + replySize(r.Reply)
}

func replySize(reply *request.CallReply) int {
	if reply == nil {
		return 0
	}
	size := len(reply.Body) + 32
	for _, field := range reply.Header {
		size += len(field.Name) + len(field.Value) + 16
	}
	return size
}

func (p *Page) find(key CallKey) (int, bool) {
	return slices.BinarySearchFunc(p.records, key, func(r Record, n CallKey) int { return r.CallKey.Compare(n) })
}

func (p *Page) findTombstone(key CallKey) (at int, found bool) {
	sum := key.digest()
	count := len(p.tombstones) / tombstoneBytes
	low, high := 0, count
	for low < high {
		middle := (low + high) / 2
		if bytes.Compare(p.tombstone(middle), sum[:tombstoneBytes]) < 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, low < count && bytes.Equal(p.tombstone(low), sum[:tombstoneBytes])
}

func (p *Page) tombstone(i int) []byte {
	return p.tombstones[i*tombstoneBytes : (i+1)*tombstoneBytes]
}

// Settled returns the record of a call that is done, if there is one. The record is
// the same in every later version of the page that still has it.
func (p *Page) Settled(key CallKey) (Record, bool) {
	at, found := p.find(key)
	if !found || !p.records[at].Done {
		return Record{}, false
	}
	return p.records[at], true
}

// wasPruned reports whether the page may have held the call and pruned it.
func (p *Page) wasPruned(key CallKey) bool {
	if _, found := p.findTombstone(key); found {
		return true
	}
	at, timed := key.Time()
	return timed && at.Before(p.prunedBefore)
}
