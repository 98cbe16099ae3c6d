//go:build review

package bed

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stream-attempts"] = streamAttempts }

const (
	// maxAttempts is MaxAttempts of the route.
	maxAttempts = 2
	// allowedOver is how many requests may run on more replicas.
	allowedOver = 3
	// lossTime is how long answers are lost, lossInterval the time from one such time to the next,
	// lossShare the replicas in a hundred that lose answers then, lossRate the answers in a hundred
	// that each of them loses.
	lossTime, lossInterval = 4 * time.Second, 7 * time.Second
	lossShare, lossRate    = 60, 40
	lossPeriods            = 8
)

// attempts records which replicas ran which request.
type attempts struct {
	mu   sync.Mutex
	runs map[string]map[string]bool
}

func (a *attempts) add(request, replica string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs[request] == nil {
		a.runs[request] = map[string]bool{}
	}
	a.runs[request][replica] = true
	return len(a.runs[request])
}

// percent draws a number from 0 to 99 that is the same for the same words.
func percent(words ...any) int {
	digest := fnv.New64a()
	_, _ = fmt.Fprint(digest, words...)
	return int(digest.Sum64() >> 33 % 100)
}

// streamAttempts lets replicas lose the answers of generations that they run, and counts on how
// many replicas each client attempt runs.
func streamAttempts(b *bed, trouble bool) bool {
	config := modelService(1)
	config.Routes[0].MaxAttempts = maxAttempts
	b.configure(config)
	zones := []string{"naxos", "paros", "syros"}
	ran := &attempts{runs: map[string]map[string]bool{}}
	var began time.Time
	for i := range 36 {
		id := fmt.Sprintf("i-%08x", i)
		generate := b.generate(id)
		b.newReplica(id, "survey-writer", zones[i%3], 128, true, func(w http.ResponseWriter, r *http.Request) {
			request := r.Header.Get("Attempt-Id")
			if request != "" {
				ran.add(request, id)
			}
			period, since := time.Since(began)/lossInterval, time.Since(began)%lossInterval
			if trouble && since < lossTime && period < lossPeriods && percent("replica", id, period) < lossShare && percent(request, id, period) < lossRate {
				w = &losing{ResponseWriter: w, events: 1 + percent("events", request, id)%(streamEvents/3)}
				defer func() {
					if w.(*losing).lost {
						b.record("%s: the answer to %s was lost, its channel reset", id, request)
					}
				}()
			}
			generate(w, r)
		})
	}
	var gateways []*gateway
	for i := range 4 {
		gateways = append(gateways, b.newGateway(fmt.Sprintf("edge-%s-%d", zones[i%3], i), zones[i%3], nil))
		gateways[i].start()
	}
	for _, g := range gateways {
		g.waitReady()
	}
	began = time.Now()
	all := b.requestGenerations(gateways, began.Add(lossPeriods*lossInterval))
	over := 0
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for request, replicas := range ran.runs {
		if len(replicas) > maxAttempts {
			over++
			b.record("BROKEN: %s ran on %d replicas, MaxAttempts is %d", request, len(replicas), maxAttempts)
		}
	}
	b.record("%d generations asked for, %d of their attempts ran on more than %d replicas", len(all), over, maxAttempts)
	return over > allowedOver
}

// losing loses the rest of an answer after some events, by a reset of its channel.
type losing struct {
	http.ResponseWriter
	events int
	lost   bool
}

// Unwrap lets http.ResponseController flush.
func (l *losing) Unwrap() http.ResponseWriter { return l.ResponseWriter }

// Write implements http.ResponseWriter.
func (l *losing) Write(data []byte) (int, error) {
	if l.events--; l.events >= 0 {
		return l.ResponseWriter.Write(data)
	}
	l.lost = true
	if conn, _, err := http.NewResponseController(l.ResponseWriter).Hijack(); err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}
