package request

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Nonce names one reservation of a call that may not be repeated. Its first eight
// bytes are the deadline of the call in Unix milliseconds, so that nobody can
// give one reservation two deadlines; the rest is random.
type Nonce [24]byte

// NewNonce returns the nonce of a reservation with the given deadline.
func NewNonce(deadline time.Time, random [16]byte) Nonce {
	var n Nonce
	binary.BigEndian.PutUint64(n[:8], uint64(deadline.UnixMilli()))
	copy(n[8:], random[:])
	return n
}

// Deadline returns the instant after which the call is never passed on.
func (n Nonce) Deadline() time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(n[:8])))
}

// IsZero says that n names no reservation.
func (n Nonce) IsZero() bool { return n == Nonce{} }

// HeaderField is one header of a call or a reply.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// CallBody is what an application target is asked.
type CallBody struct {
	Method string `cbor:"1,keyasint"`
	// Path is the path below the service, with the query.
	Path   string        `cbor:"2,keyasint"`
	Header []HeaderField `cbor:"3,keyasint,omitempty"`
	Body   []byte        `cbor:"4,keyasint,omitempty"`
}

// Digest identifies method, path and body, in hexadecimal.
func (c CallBody) Digest() string {
	hash := sha256.New()
	hash.Write([]byte(c.Method))
	hash.Write([]byte{0})
	hash.Write([]byte(c.Path))
	hash.Write([]byte{0})
	hash.Write(c.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// CallReply is what an application target answered.
type CallReply struct {
	Status int           `cbor:"1,keyasint"`
	Header []HeaderField `cbor:"2,keyasint,omitempty"`
	Body   []byte        `cbor:"3,keyasint,omitempty"`
}

// Digest identifies status and body, in hexadecimal.
func (r CallReply) Digest() string {
	hash := sha256.New()
	var status [8]byte
	binary.BigEndian.PutUint64(status[:], uint64(r.Status))
	hash.Write(status[:])
	hash.Write(r.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// GateState is what the gate beside a target says of one reservation.
type GateState uint8

// The states. GateUnknown is the zero value: it promises nothing.
const (
	// GateUnknown means that the gate makes no promise.
	GateUnknown GateState = 0
	// GatePassed means that the call was passed on to the target.
	GatePassed GateState = 1
	// GateSealed means that the call was not and never will be passed on.
	GateSealed GateState = 2
	// GateOtherIncarnation means that the reservation names another life of the gate.
	GateOtherIncarnation GateState = 3
)

// String returns the state in words.
func (s GateState) String() string {
	switch s {
	case GatePassed:
		return "passed"
	case GateSealed:
		return "sealed"
	case GateOtherIncarnation:
		return "other incarnation"
	default:
		return "unknown"
	}
}
