package link

import (
	"io"
	"sync"
	"sync/atomic"
)

// Traffic counts the traffic of links in both directions.
type Traffic struct {
	// Bytes and Packets count UDP payload bytes and UDP packets.
	Bytes   uint64
	Packets uint64
	// ControlBytes counts the bytes of control streams on the network, as if every
	// frame were sent in a packet of its own.
	ControlBytes uint64
}

const (
	// udpHeaderBytes is the size of the IP and UDP headers of one packet.
	udpHeaderBytes = 28
	// quicOverheadBytes is what QUIC adds to a packet that carries one short frame.
	quicOverheadBytes = 30
)

// meter counts the bytes and frames of a stream.
type meter struct {
	raw           io.ReadWriter
	bytes, frames atomic.Uint64
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) { return m.count(m.raw.Read(p)) }

// Write implements io.Writer.
func (m *meter) Write(p []byte) (int, error) { return m.count(m.raw.Write(p)) }

func (m *meter) count(n int, err error) (int, error) {
	m.bytes.Add(uint64(n))
	m.frames.Add(1)
	return n, err
}

// networkBytes returns the bytes that the frames take on the network.
func (m *meter) networkBytes() uint64 {
	return m.bytes.Load() + m.frames.Load()*(udpHeaderBytes+quicOverheadBytes)
}

// WireBytes returns the bytes on the network, including packet headers.
func (t Traffic) WireBytes() uint64 { return t.Bytes + udpHeaderBytes*t.Packets }

func (t Traffic) add(other Traffic) Traffic {
	return Traffic{
		Bytes:        t.Bytes + other.Bytes,
		Packets:      t.Packets + other.Packets,
		ControlBytes: t.ControlBytes + other.ControlBytes,
	}
}

// Traffic returns the link's traffic so far.
func (l *Link) Traffic() Traffic {
	stats := l.connection.ConnectionStats()
	total := Traffic{
		Bytes:   stats.BytesSent + stats.BytesReceived,
		Packets: stats.PacketsSent + stats.PacketsReceived,
	}
	if controlMeter := l.activity.controlMeter.Load(); controlMeter != nil {
		total.ControlBytes = controlMeter.networkBytes()
	}
	return total
}

// Registry tracks the open links of a process and their total traffic. The zero value
// is ready for use.
type Registry struct {
	mu            sync.Mutex
	open          map[*Link]struct{}
	closedTraffic Traffic
}

// Add registers an open link.
func (r *Registry) Add(l *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = map[*Link]struct{}{}
	}
	r.open[l] = struct{}{}
}

// Remove unregisters a closed link and keeps its traffic in the total.
func (r *Registry) Remove(l *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.open[l]; !ok {
		return
	}
	delete(r.open, l)
	r.closedTraffic = r.closedTraffic.add(l.Traffic())
}

// Len returns the number of open links.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// Traffic returns the traffic of all links since the process started.
func (r *Registry) Traffic() Traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.closedTraffic
	for l := range r.open {
		total = total.add(l.Traffic())
	}
	return total
}
