// Package peers exchanges peer updates between entries. An update reports the work of one
// entry at the targets in one datagram: a delta with the recent changes after each change,
// and a full update periodically. A prompt that was just placed is sent at once in a partial
// update. Later updates repair the loss of earlier ones. Updates only influence the choice
// of targets, so an entry that receives none continues to work alone.
//
// It uses datagrams rather than links because an update needs neither ordering nor
// retransmission, and a handshake with each of many entries would cost a starting process
// more than all the updates that it sends. Only changes of the store that are too long for a datagram
// are asked for over a connection.
package peers

import (
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/process/origins"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/process/prompts"
	"github.com/mulberrylane/mulberrylane/process/quarantine"
	"github.com/mulberrylane/mulberrylane/process/rollout"
	"github.com/mulberrylane/mulberrylane/request"
)

// maxDatagram is the maximum size of an encoded update; larger ones are not sent.
const maxDatagram = 32 << 10

// ErrTooLong means that an update does not fit a datagram.
var ErrTooLong = errors.New("too long for a datagram")

// maxNameBytes limits the name of a sender, as that of a registered entry.
const maxNameBytes = 200

// Update is a message with the work of one entry at the targets.
type Update struct {
	// Full reports whether Work and Runs hold the whole state, and not only changes.
	Full bool `cbor:"13,keyasint,omitempty"`
	// Partial reports whether the update holds only some keys of Work. Everything else is
	// then unchanged since the sender's previous update.
	Partial bool `cbor:"15,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the sender's link, zero if it is not known.
	LinkMbps float64 `cbor:"14,keyasint,omitempty"`
	// Entry is the name of the sender. Incarnation identifies one run of it, and Sequence
	// numbers the updates of that run.
	Entry       string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	// Work maps a target to the tokens to prefill, the decoding attempts and the tokens in
	// memory.
	Work map[request.TargetID][3]int `cbor:"4,keyasint,omitempty"`
	// Usage maps a service to the requests and retries in the window of the retry budget.
	Usage map[string][2]int `cbor:"7,keyasint,omitempty"`
	// CallsInFlight maps a service to the calls that the sender has under way at its targets.
	// Entries of a build that does not report them leave it out.
	CallsInFlight map[string]int `cbor:"28,keyasint,omitempty"`
	// Down lists targets that the sender has just marked down.
	Down []request.TargetID `cbor:"5,keyasint,omitempty"`
	// Replaced lists targets at whose addresses the sender has just found another target.
	Replaced []request.TargetID `cbor:"9,keyasint,omitempty"`
	// Successors lists targets that the sender has just adopted during an outage of the
	// store.
	Successors []Successor `cbor:"10,keyasint,omitempty"`
	// Draining lists targets that have just announced to the sender that they drain.
	Draining []DrainingTarget `cbor:"21,keyasint,omitempty"`
	// CachedPrompts lists prompts that the sender has just found cached by engines after
	// its start.
	CachedPrompts []CachedPrompt `cbor:"11,keyasint,omitempty"`
	// FailureRates maps targets to the failure rate that the sender saw, in percent.
	FailureRates map[request.TargetID]int `cbor:"12,keyasint,omitempty"`
	// Speeds maps engines to the relative time that the sender observed, in percent, if that is
	// news to the others.
	Speeds map[request.TargetID]int `cbor:"26,keyasint,omitempty"`
	// Deferred maps targets in Work to the tokens to prefill of prompts that are less urgent
	// than the first and the second rank, where prompts wait for each other.
	Deferred map[request.TargetID][2]int `cbor:"27,keyasint,omitempty"`
	// Ready reports whether the sender accepts requests.
	Ready bool `cbor:"8,keyasint,omitempty"`
	// SessionCopies holds the KV copies of a build that knew them by the session of their
	// streams. A session does not identify a request, so they are neither sent nor used.
	SessionCopies map[string]kvcopies.Copy `cbor:"6,keyasint,omitempty"`
	// Runs holds the sender's streams whose callers can be served from a KV copy if they come
	// back.
	Runs map[kvcopies.Number]kvcopies.Run `cbor:"22,keyasint,omitempty"`
	// AmbiguousRuns lists runs of other entries that the sender cannot tell from others.
	AmbiguousRuns []kvcopies.RunRef `cbor:"23,keyasint,omitempty"`
	// Origins holds the sender's streams by the version that began them, of services with several.
	Origins origins.Streams `cbor:"29,keyasint,omitempty"`
	// Crashes lists engines that crashed lately, Survivals requests with suspected parts that
	// an engine survived, and Quarantined the parts that are not sent to engines.
	Crashes     []Crash           `cbor:"18,keyasint,omitempty"`
	Survivals   []Survival        `cbor:"19,keyasint,omitempty"`
	Quarantined []QuarantinedPart `cbor:"20,keyasint,omitempty"`
	// Rollouts holds what the sender reports about the roll-outs of services. It is in some updates
	// only.
	Rollouts map[string]rollout.Report `cbor:"24,keyasint,omitempty"`
	// Question and Answer make the message one about the store, which reports nothing else
	// and has no sequence number.
	Question *SyncQuestion `cbor:"16,keyasint,omitempty"`
	Answer   *SyncAnswer   `cbor:"17,keyasint,omitempty"`
}

// Crash is the crash of an engine as the sender saw it.
type Crash struct {
	quarantine.Crash `cbor:"1,keyasint"`
	// Age is the time since the crash, in nanoseconds; the clocks of entries differ.
	Age time.Duration `cbor:"2,keyasint"`
}

// Survival is a request that an engine survived.
type Survival struct {
	Part quarantine.Part `cbor:"1,keyasint"`
	// Age is the time since the engine began to respond, in nanoseconds.
	Age time.Duration `cbor:"2,keyasint"`
}

// QuarantinedPart is a part in quarantine.
type QuarantinedPart struct {
	Part quarantine.Part `cbor:"1,keyasint"`
	// Age is the time since the first crash that counted, Remaining the time until the end
	// of the quarantine, in nanoseconds.
	Age       time.Duration `cbor:"2,keyasint"`
	Remaining time.Duration `cbor:"3,keyasint"`
	// Stored is set if the sender knows it from the store alone.
	Stored bool `cbor:"4,keyasint,omitempty"`
}

// Successor is a restarted target that was found at the address of its previous
// incarnation.
type Successor struct {
	Old         request.TargetID    `cbor:"1,keyasint"`
	ID          request.TargetID    `cbor:"2,keyasint"`
	Incarnation request.Incarnation `cbor:"3,keyasint"`
}

// DrainingTarget is an incarnation of a target that drains.
type DrainingTarget struct {
	ID          request.TargetID    `cbor:"1,keyasint"`
	Incarnation request.Incarnation `cbor:"2,keyasint"`
}

// CachedPrompt locates the engine that has the prompt of a session cached.
type CachedPrompt struct {
	Session  string           `cbor:"1,keyasint"`
	Location prompts.Location `cbor:"2,keyasint"`
}

// percent is the factor by which updates scale rates.
const percent = 100

// SetFailureRates sets the failure rates of the update, given as fractions.
func (u *Update) SetFailureRates(rates map[request.TargetID]float64) {
	u.FailureRates = make(map[request.TargetID]int, len(rates))
	for id, rate := range rates {
		u.FailureRates[id] = int(percent * rate)
	}
}

// SetSpeeds sets the relative times of engines of the update.
func (u *Update) SetSpeeds(speeds map[request.TargetID]float64) {
	if len(speeds) == 0 {
		return
	}
	u.Speeds = make(map[request.TargetID]int, len(speeds))
	for id, speed := range speeds {
		u.Speeds[id] = int(math.Round(percent * speed))
	}
}

// EachSpeed calls f with each relative time of an engine in the update.
func (u *Update) EachSpeed(f func(id request.TargetID, relativeTime float64)) {
	for id, speed := range u.Speeds {
		if speed > 0 {
			f(id, float64(speed)/percent)
		}
	}
}

// SetWork sets the sender's work at a target.
func (u *Update) SetWork(id request.TargetID, work placement.Work) {
	u.Work[id] = [3]int{work.PrefillTokens, work.Decoding, work.MemoryTokens}
	if work.Deferred != [2]int{} {
		if u.Deferred == nil {
			u.Deferred = map[request.TargetID][2]int{}
		}
		u.Deferred[id] = work.Deferred
	}
}

// PeerState returns the part of the update that placement uses.
func (u *Update) PeerState() placement.PeerState {
	state := placement.PeerState{
		Work:         make(map[request.TargetID]placement.Work, len(u.Work)),
		FailureRates: make(map[request.TargetID]float64, len(u.FailureRates)),
	}
	for id, w := range u.Work {
		state.Work[id] = placement.Work{PrefillTokens: w[0], Decoding: w[1], MemoryTokens: w[2], Deferred: u.Deferred[id]}
	}
	for id, rate := range u.FailureRates {
		state.FailureRates[id] = float64(rate) / percent
	}
	return state
}

// Conn sends and receives updates, and questions and answers that are too long for a datagram.
type Conn struct {
	conn *net.UDPConn
	// listener accepts the connections of entries that ask, client opens those of this one.
	listener net.Listener
	client   *http.Client
	// buffer receives datagrams. A new one for each would make up most of what an idle
	// entry allocates.
	buffer []byte

	mu      sync.Mutex
	senders senders
}

// Listen opens a UDP socket and a TCP listener at an IP address and port.
func Listen(address string) (*Conn, error) {
	conn, listener, err := listenBoth(address)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	return &Conn{
		conn: conn, listener: listener, client: newTransferClient(), buffer: make([]byte, maxDatagram), senders: senders{},
	}, nil
}

// Address returns the IP address and port that the socket receives at.
func (c *Conn) Address() string { return c.conn.LocalAddr().String() }

// datagramOverhead is the size of the headers of UDP, IP and the link, in bytes.
const datagramOverhead = 46

// Send sends an update to each address and returns its size on the link in bytes. It tries
// all addresses and returns the first error.
func (c *Conn) Send(update Update, addresses []string) (int, error) {
	data, err := cbor.Marshal(update)
	if err != nil {
		return 0, errors.Wrap(err, "peers")
	}
	if len(data) > maxDatagram {
		return 0, errors.Wrapf(ErrTooLong, "peer update of %d bytes", len(data))
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

// Receive returns the next message about the store, or the next update that is newer than all
// before it from the same sender, and the address of the sender. It returns an error after the
// connection is closed. Only one goroutine may call it at a time.
func (c *Conn) Receive() (Update, netip.AddrPort, error) {
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(c.buffer)
		if err != nil {
			return Update{}, netip.AddrPort{}, errors.Wrap(err, "peers")
		}
		var update Update
		if cbor.Unmarshal(c.buffer[:n], &update) != nil || update.Entry == "" || len(update.Entry) > maxNameBytes {
			continue
		}
		if update.Question != nil || update.Answer != nil || c.accept(update) {
			return update, from, nil
		}
	}
}

func (c *Conn) accept(update Update) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.senders.accept(time.Now(), update)
}

// Close closes the socket and the listener.
func (c *Conn) Close() error {
	err := c.listener.Close()
	if closeErr := c.conn.Close(); closeErr != nil {
		err = closeErr
	}
	return errors.WithStack(err)
}
