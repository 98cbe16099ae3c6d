// Package peers carries what entries tell each other of their work at the targets:
// one datagram with what changed lately after each change, and with the whole of it
// now and then. A prompt that was placed is told at once, in a datagram of its own. A
// lost one is made good by those that follow. The word of another entry only steers
// the choice of targets, so an entry that hears nothing goes on alone.
//
// Datagrams rather than links: a snapshot needs no order and no repeat, and a
// handshake with each of many entries would cost a starting process more than all
// that it says.
package peers

import (
	"net"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/process/prompts"
	"github.com/mulberrylane/mulberrylane/request"
)

// maxDatagram bounds a message; larger ones are not sent.
const maxDatagram = 32 << 10

// Update is what one entry has at the targets.
type Update struct {
	// Full says that Work and Copies hold all there is, and not only what changed.
	Full bool `cbor:"13,keyasint,omitempty"`
	// Partial says that the message holds some of Work alone, and that all else is as the
	// sender told before.
	Partial bool `cbor:"15,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the sender's link; zero means that it is not known.
	LinkMbps float64 `cbor:"14,keyasint,omitempty"`
	// Entry is the name of the sender, Boot tells its lives apart and Number counts
	// the messages of one life.
	Entry       string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	// Work maps a target to unread tokens, answering attempts and tokens in memory.
	Work map[request.TargetID][3]int `cbor:"4,keyasint,omitempty"`
	// Usage maps a service to requests and repeats in the window of the budget.
	Usage map[string][2]int `cbor:"7,keyasint,omitempty"`
	// Down lists targets that the sender found dead a moment ago.
	Down []request.TargetID `cbor:"5,keyasint,omitempty"`
	// Replaced lists targets at whose addresses the sender found others a moment ago.
	Replaced []request.TargetID `cbor:"9,keyasint,omitempty"`
	// Successors lists targets that the sender adopted a moment ago, while the store was
	// away.
	Successors []Successor `cbor:"10,keyasint,omitempty"`
	// CachedPrompts lists prompts that the sender found in the memory of engines a moment ago,
	// after its start.
	CachedPrompts []CachedPrompt `cbor:"11,keyasint,omitempty"`
	// FailureRates maps targets to the share of failures that the sender saw, in percent.
	FailureRates map[request.TargetID]int `cbor:"12,keyasint,omitempty"`
	// Ready says that the sender takes requests.
	Ready bool `cbor:"8,keyasint,omitempty"`
	// KVCopies maps sessions to the copies of their running answers.
	KVCopies map[string]KVCopy `cbor:"6,keyasint,omitempty"`
}

// Successor is the next life of a target, found at its address.
type Successor struct {
	Old         request.TargetID    `cbor:"1,keyasint"`
	ID          request.TargetID    `cbor:"2,keyasint"`
	Incarnation request.Incarnation `cbor:"3,keyasint"`
}

// CachedPrompt says where the prompt of a session was read.
type CachedPrompt struct {
	Session string           `cbor:"1,keyasint"`
	Place   prompts.Location `cbor:"2,keyasint"`
}

// KVCopy says where the memory of a running answer can be gone on from.
type KVCopy struct {
	// RequestID is the request that made it.
	RequestID request.ID `cbor:"1,keyasint"`
	// Target holds it; the target's later lives do not.
	Target      request.TargetID    `cbor:"2,keyasint"`
	Incarnation request.Incarnation `cbor:"3,keyasint"`
	// Handle and Source are set for a copy that was asked for while the run went on:
	// its name, and the address of the target that ran it.
	Handle string `cbor:"4,keyasint,omitempty"`
	Source string `cbor:"5,keyasint,omitempty"`
}

// ResumeSource returns what a target at address is told to go on from.
func (c KVCopy) ResumeSource(address string) (source, name string) {
	if c.Handle != "" {
		return c.Source, c.Handle
	}
	return address, string(c.RequestID)
}

// percent is what a share is multiplied by in a message.
const percent = 100

// SetFailureRates puts shares of failures into the message.
func (m *Update) SetFailureRates(shares map[request.TargetID]float64) {
	m.FailureRates = make(map[request.TargetID]int, len(shares))
	for id, share := range shares {
		m.FailureRates[id] = int(percent * share)
	}
}

// SetWork puts the sender's work at a target into the message.
func (m *Update) SetWork(id request.TargetID, work placement.Work) {
	m.Work[id] = [3]int{work.PrefillTokens, work.Decoding, work.MemoryTokens}
}

// PeerState returns what placement takes of the message.
func (m *Update) PeerState() placement.PeerState {
	word := placement.PeerState{
		Work:         make(map[request.TargetID]placement.Work, len(m.Work)),
		FailureRates: make(map[request.TargetID]float64, len(m.FailureRates)),
	}
	for id, w := range m.Work {
		word.Work[id] = placement.Work{PrefillTokens: w[0], Decoding: w[1], MemoryTokens: w[2]}
	}
	for id, share := range m.FailureRates {
		word.FailureRates[id] = float64(share) / percent
	}
	return word
}

// Conn sends and receives messages.
type Conn struct {
	conn *net.UDPConn

	mu sync.Mutex
	// last holds the number of the newest message of each sender's life.
	last map[string]mark
}

type mark struct {
	boot   int64
	number uint64
}

// Listen opens the socket at an IP address and port.
func Listen(address string) (*Conn, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	return &Conn{conn: conn, last: map[string]mark{}}, nil
}

// Address returns the IP address and port that others send to.
func (c *Conn) Address() string { return c.conn.LocalAddr().String() }

// datagramOverhead is what the headers of UDP, IP and the link add to a message, in
// bytes.
const datagramOverhead = 46

// Send sends a message to each address and returns how many bytes each one takes. The
// first error is returned after all were tried.
func (c *Conn) Send(message Update, addresses []string) (int, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return 0, errors.Wrap(err, "peers")
	}
	if len(data) > maxDatagram {
		return 0, errors.Errorf("message of %d bytes is too long for a datagram", len(data))
	}
	var first error
	for _, address := range addresses {
		remote, err := net.ResolveUDPAddr("udp", address)
		if err == nil {
			_, err = c.conn.WriteToUDP(data, remote)
		}
		if err != nil && first == nil {
			first = errors.Wrapf(err, "peer %s", address)
		}
	}
	return len(data) + datagramOverhead, first
}

// Receive returns the next message that is newer than those before it of the same
// sender. It fails once the connection is closed.
func (c *Conn) Receive() (Update, error) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDP(buffer)
		if err != nil {
			return Update{}, errors.Wrap(err, "peers")
		}
		var message Update
		if cbor.Unmarshal(buffer[:n], &message) != nil || message.Entry == "" {
			continue
		}
		if c.newer(message) {
			return message, nil
		}
	}
}

func (c *Conn) newer(message Update) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.last[message.Entry]
	if message.Incarnation < last.boot || message.Incarnation == last.boot && message.Sequence <= last.number {
		return false
	}
	c.last[message.Entry] = mark{boot: message.Incarnation, number: message.Sequence}
	return true
}

// Close closes the socket.
func (c *Conn) Close() error { return errors.WithStack(c.conn.Close()) }
