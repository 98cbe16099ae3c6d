package link

import "sync"

// Traffic counts what links carried, in bytes and UDP packets of both directions.
type Traffic struct {
	Bytes   uint64
	Packets uint64
}

// headerBytes is what the IP and UDP headers of one packet take.
const headerBytes = 28

// WireBytes returns the bytes on the network, packet headers included.
func (t Traffic) WireBytes() uint64 { return t.Bytes + headerBytes*t.Packets }

func (t Traffic) plus(o Traffic) Traffic {
	return Traffic{Bytes: t.Bytes + o.Bytes, Packets: t.Packets + o.Packets}
}

// Traffic returns what the link carried so far.
func (l *Link) Traffic() Traffic {
	stats := l.connection.ConnectionStats()
	return Traffic{
		Bytes:   stats.BytesSent + stats.BytesReceived,
		Packets: stats.PacketsSent + stats.PacketsReceived,
	}
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
