package request

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Nonce identifies one reservation of a non-idempotent call. Its first eight
// bytes are the deadline of the call in Unix milliseconds, so that a reservation
// cannot have two deadlines; the rest is random.
type Nonce [24]byte

// NewNonce returns the nonce of a reservation with the given deadline.
func NewNonce(deadline time.Time, random [16]byte) Nonce {
	var n Nonce
	binary.BigEndian.PutUint64(n[:8], uint64(deadline.UnixMilli()))
	copy(n[8:], random[:])
	return n
}

// Deadline returns the time after which the call is never forwarded.
func (n Nonce) Deadline() time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(n[:8])))
}

// IsZero reports whether n identifies no reservation.
func (n Nonce) IsZero() bool { return n == Nonce{} }

// HeaderField is one header field of a call or a reply.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// CallBody is the HTTP request that is forwarded to an application target.
type CallBody struct {
	Method string `cbor:"1,keyasint"`
	// Path is relative to the service and includes the query.
	Path   string        `cbor:"2,keyasint"`
	Header []HeaderField `cbor:"3,keyasint,omitempty"`
	Body   []byte        `cbor:"4,keyasint,omitempty"`
}

// Digest returns the SHA-256 digest of method, path and body in hexadecimal.
func (c CallBody) Digest() string {
	hash := sha256.New()
	hash.Write([]byte(c.Method))
	hash.Write([]byte{0})
	hash.Write([]byte(c.Path))
	hash.Write([]byte{0})
	hash.Write(c.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// CallReply is the HTTP response of an application target.
type CallReply struct {
	Status int           `cbor:"1,keyasint"`
	Header []HeaderField `cbor:"2,keyasint,omitempty"`
	Body   []byte        `cbor:"3,keyasint,omitempty"`
}

// Digest returns the SHA-256 digest of status and body in hexadecimal.
func (r CallReply) Digest() string {
	hash := sha256.New()
	var status [8]byte
	binary.BigEndian.PutUint64(status[:], uint64(r.Status))
	hash.Write(status[:])
	hash.Write(r.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// GateState is the state of one reservation at the gate of a target: the component
// of the target's agent that forwards calls.
type GateState uint8

// The gate states. GateUnknown is the zero value, so an unset state guarantees nothing.
const (
	// GateUnknown means that the gate guarantees nothing about the call.
	GateUnknown GateState = 0
	// GateForwarded means that the call was forwarded to the target.
	GateForwarded GateState = 1
	// GateSealed means that the call was not and never will be forwarded.
	GateSealed GateState = 2
	// GateOtherIncarnation means that the reservation is for another incarnation of
	// the gate.
	GateOtherIncarnation GateState = 3
)

// String returns the name of s.
func (s GateState) String() string {
	switch s {
	case GateForwarded:
		return "passed"
	case GateSealed:
		return "sealed"
	case GateOtherIncarnation:
		return "other incarnation"
	default:
		return "unknown"
	}
}
