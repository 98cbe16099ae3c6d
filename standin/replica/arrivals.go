package replica

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// entryHeader is the header field in which the stand-in of the callers names the address of
// the entry that a request is sent to, as a proxy does. Entries forward it.
const entryHeader = "Forwarded"

// SetEntry names the address of the entry that a request is sent to.
func SetEntry(header http.Header, address string) { header.Set(entryHeader, "by="+address) }

// entryOf returns the address of the entry that forwarded a request, or "" if unknown.
func entryOf(header http.Header) string { return strings.TrimPrefix(header.Get(entryHeader), "by=") }

// Arrival is one request or call that reached a target, executed or not.
type Arrival struct {
	// Request is the attempt ID, or "" for a call that an entry makes on its own behalf.
	Request string
	// Entry is the address of the entry that forwarded the request, or "" if unknown.
	Entry string
	// Connection is the remote address of the connection.
	Connection  string
	Target      string
	Version     string
	Incarnation int64
	Path        string
	// FromKVCopy is set when the request asks to resume from a KV copy.
	FromKVCopy bool
	// PromptParts is the list of the parts of the prompt, as sent.
	PromptParts string
	// Shed is set when the target was shedding, Leaving when it was leaving. RetryAfter is
	// the Retry-After of the response, if the target was shedding.
	Shed, Leaving bool
	RetryAfter    string
	At            time.Time
}

func (r *Replica) recordArrival(req *http.Request, faults Faults) {
	l := r.fleet.ExecutionLog
	l.mu.Lock()
	defer l.mu.Unlock()
	id := req.Header.Get("Attempt-Id")
	expectedID := req.Header.Get("Expected-Instance")
	shedding := faults.Shedding && !faults.Silent && id != "" && (expectedID == "" || expectedID == r.config.ID)
	retryAfter := ""
	if shedding {
		retryAfter = faults.RetryAfter
	}
	l.arrivals = append(l.arrivals, Arrival{
		Request: id, Entry: entryOf(req.Header), Connection: req.RemoteAddr,
		Target: r.config.ID, Version: r.config.Version, Incarnation: r.config.Incarnation, Path: req.URL.Path,
		FromKVCopy: req.Header.Get("Kv-From") != "", PromptParts: req.Header.Get("Prompt-Prefix"),
		Shed: shedding, RetryAfter: retryAfter, Leaving: faults.Leaving,
		At: time.Now(),
	})
}

// AllArrivals returns all that reached a target, oldest first.
func (l *ExecutionLog) AllArrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.arrivals)
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
