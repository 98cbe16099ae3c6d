package link

import (
	"io"
	"sync"
	"sync/atomic"
)

// Traffic counts what links carried, in both directions.
type Traffic struct {
	// Bytes and Packets count the payload of UDP packets.
	Bytes   uint64
	Packets uint64
	// ControlBytes counts the frames of control streams, each with the headers of
	// a packet of its own.
	ControlBytes uint64
}

const (
	// headerBytes is what the IP and UDP headers of one packet take.
	headerBytes = 28
	// sealBytes is what QUIC adds to a packet with one short frame.
	sealBytes = 30
)

// meter counts what a stream carries.
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

// wireBytes returns what the frames take on the network.
func (m *meter) wireBytes() uint64 {
	return m.bytes.Load() + m.frames.Load()*(headerBytes+sealBytes)
}

// WireBytes returns the bytes on the network, packet headers included.
func (t Traffic) WireBytes() uint64 { return t.Bytes + headerBytes*t.Packets }

func (t Traffic) plus(o Traffic) Traffic {
	return Traffic{
		Bytes:        t.Bytes + o.Bytes,
		Packets:      t.Packets + o.Packets,
		ControlBytes: t.ControlBytes + o.ControlBytes,
	}
}

// Traffic returns what the link carried so far.
func (l *Link) Traffic() Traffic {
	stats := l.connection.ConnectionStats()
	carried := Traffic{
		Bytes:   stats.BytesSent + stats.BytesReceived,
		Packets: stats.PacketsSent + stats.PacketsReceived,
	}
	if control := l.traffic.control.Load(); control != nil {
		carried.ControlBytes = control.wireBytes()
	}
	return carried
}

// Registry knows the open links of a process. The zero value is ready for use.
type Registry struct {
	mu     sync.Mutex
	open   map[*Link]struct{}
	closed Traffic
}

// Add notes an open link.
func (r *Registry) Add(l *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = map[*Link]struct{}{}
	}
	r.open[l] = struct{}{}
}

// Remove notes the end of a link and keeps its traffic in the total.
func (r *Registry) Remove(l *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.open[l]; !ok {
		return
	}
	delete(r.open, l)
	r.closed = r.closed.plus(l.Traffic())
}

// Len returns the number of open links.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// Traffic returns what all links carried since the process started.
func (r *Registry) Traffic() Traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.closed
	for l := range r.open {
		total = total.plus(l.Traffic())
	}
	return total
}
