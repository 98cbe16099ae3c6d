package replica

import (
	"net/http"
	"time"
)

// EntryHeader is the header field in which the stand-in of the callers names the address of
// the entry that a request is sent to. Entries forward it.
const EntryHeader = "Sent-To-Entry"

// Arrival is one request or call that reached a target, executed or not.
type Arrival struct {
	// Request is the attempt ID, or "" for a call that an entry makes on its own behalf.
	Request string
	// Entry is the address of the entry that forwarded the request, or "" if unknown.
	Entry string
	// Connection is the remote address of the connection.
	Connection  string
	Target      string
	Incarnation int64
	Path        string
	// FromKVCopy is set when the request asks to resume from a KV copy.
	FromKVCopy bool
	// Shed is set when the target was shedding, Leaving when it was leaving.
	Shed, Leaving bool
	At            time.Time
}

func (r *Replica) recordArrival(req *http.Request, faults Faults) {
	l := r.fleet.ExecutionLog
	l.mu.Lock()
	defer l.mu.Unlock()
	id := req.Header.Get("Attempt-Id")
	l.arrivals = append(l.arrivals, Arrival{
		Request: id, Entry: req.Header.Get(EntryHeader), Connection: req.RemoteAddr,
		Target: r.config.ID, Incarnation: r.config.Incarnation, Path: req.URL.Path,
		FromKVCopy: req.Header.Get("Kv-From") != "", Shed: faults.Shedding && id != "", Leaving: faults.Leaving,
		At: time.Now(),
	})
}

// Arrivals returns how often a request arrived at a target, executed or not.
func (l *ExecutionLog) Arrivals(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, arrival := range l.arrivals {
		if arrival.Request == request {
			count++
		}
	}
	return count
}

// ArrivalsAt returns what reached a target, oldest first: the requests, or the calls that
// entries make on their own behalf.
func (l *ExecutionLog) ArrivalsAt(target string, requests bool) []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	var arrivals []Arrival
	for _, arrival := range l.arrivals {
		if arrival.Target == target && (arrival.Request != "") == requests {
			arrivals = append(arrivals, arrival)
		}
	}
	return arrivals
}
