// Package callpage is the deciding core of the pages on which calls that may not
// be repeated are recorded. A page is one value of the key-value service and is
// only ever changed by compare-and-swap. Apply carries out a batch of operations
// on a copy of a page; every operation may be applied again after the answer to a
// compare-and-swap was lost, as it recognises its own nonce.
//
// The package does no I/O, has no goroutine and no lock, and is given the time.
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

// CallKey names a call for ever: the caller's idempotency key within its workspace.
type CallKey struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
}

// Compare orders names.
func (n CallKey) Compare(other CallKey) int {
	if c := strings.Compare(n.Workspace, other.Workspace); c != 0 {
		return c
	}
	return strings.Compare(n.Key, other.Key)
}

func (n CallKey) sum() [sha256.Size]byte {
	return sha256.Sum256([]byte(n.Workspace + "\x00" + n.Key))
}

// PageIndex returns which of count pages the call is recorded on.
func (n CallKey) PageIndex(count int) int {
	sum := n.sum()
	number := uint64(0)
	for _, b := range sum[:8] {
		number = number<<8 | uint64(b)
	}
	return int(number % uint64(count))
}

// Time returns the time that a UUIDv7 key carries.
func (n CallKey) Time() (time.Time, bool) {
	id, err := uuid.Parse(n.Key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// Record is what a page holds of one call.
type Record struct {
	CallKey CallKey `cbor:"1,keyasint"`
	// Request is the id under which the call is answered.
	Request request.ID `cbor:"2,keyasint"`
	// Digest identifies method, path and body of the call.
	Digest string `cbor:"3,keyasint"`
	// Nonce, Target and Incarnation name the reservation.
	Nonce       request.Nonce       `cbor:"4,keyasint"`
	Target      request.TargetID    `cbor:"5,keyasint"`
	Incarnation request.Incarnation `cbor:"6,keyasint"`
	// Done says that the call was run and its outcome is known.
	Done bool `cbor:"7,keyasint,omitempty"`
	// ReplyDigest identifies the reply of a call that is done.
	ReplyDigest string `cbor:"8,keyasint,omitempty"`
	// Reply is the reply, without its body when that is over MaxStoredReply.
	Reply *request.CallReply `cbor:"9,keyasint,omitempty"`
	// BodyStored says that Reply is whole.
	BodyStored bool `cbor:"10,keyasint,omitempty"`
	// Written is when the record was last changed, in Unix milliseconds.
	Written int64 `cbor:"11,keyasint"`
}

const (
	// MaxPageBytes bounds a page; it leaves room below the service's limit of 1 MB.
	MaxPageBytes = 900 << 10
	// MaxStoredReply bounds the body of a reply that is kept on a page.
	MaxStoredReply = 4 << 10
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 255
	// recordOverhead is more than a record takes beside its texts and its reply.
	recordOverhead = 320
	// replyRoom is kept free for the reply of a reserved call.
	replyRoom = MaxStoredReply + 1<<10
	// tombstoneBytes is what a forgotten key takes.
	tombstoneBytes = 16
)

// page is the form in which a page is stored.
type page struct {
	// Floor is the time, in Unix milliseconds, before which timed keys were
	// dropped: an older key that is not on the page is not known any more.
	Floor   int64    `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
	// Forgotten holds the first bytes of the digests of dropped keys without a
	// time, one after the other and in order.
	Forgotten []byte `cbor:"3,keyasint,omitempty"`
}

// Page is one page. Its zero value is empty. It is not changed once it is made.
type Page struct {
	floor     time.Time
	records   []Record
	forgotten []byte
	size      int
}

var encoding = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode reads a page from the value of its key; no value is an empty page.
func Decode(data []byte) (*Page, error) {
	if len(data) == 0 {
		return &Page{}, nil
	}
	var stored page
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return nil, errors.Wrap(err, "call page")
	}
	p := &Page{floor: time.UnixMilli(stored.Floor), records: stored.Records, forgotten: stored.Forgotten}
	p.measure()
	return p, nil
}

// Encode writes the page as the value of its key.
func (p *Page) Encode() ([]byte, error) {
	data, err := encoding.Marshal(page{Floor: p.floor.UnixMilli(), Records: p.records, Forgotten: p.forgotten})
	return data, errors.Wrap(err, "call page")
}

// Len returns how many calls the page holds.
func (p *Page) Len() int { return len(p.records) }

// Size is an upper bound of the encoded bytes once all reserved calls are done.
func (p *Page) Size() int { return p.size }

func (p *Page) measure() {
	p.size = len(p.forgotten) + recordOverhead
	for i := range p.records {
		p.size += p.records[i].size()
	}
}

func (r *Record) size() int {
	size := recordOverhead + len(r.CallKey.Workspace) + len(r.CallKey.Key) + len(r.Target)
	if !r.Done {
		return size + replyRoom
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

func (p *Page) find(name CallKey) (int, bool) {
	return slices.BinarySearchFunc(p.records, name, func(r Record, n CallKey) int { return r.CallKey.Compare(n) })
}

func (p *Page) findForgotten(name CallKey) (at int, found bool) {
	sum := name.sum()
	count := len(p.forgotten) / tombstoneBytes
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
	return p.forgotten[i*tombstoneBytes : (i+1)*tombstoneBytes]
}

// Settled returns the record of a call that is done and says whether there is one.
// It holds on every later page that still has the record.
func (p *Page) Settled(name CallKey) (Record, bool) {
	at, found := p.find(name)
	if !found || !p.records[at].Done {
		return Record{}, false
	}
	return p.records[at], true
}

// expired says that the page may have held the call and dropped it.
func (p *Page) expired(name CallKey) bool {
	if _, found := p.findForgotten(name); found {
		return true
	}
	at, timed := name.Time()
	return timed && at.Before(p.floor)
}
