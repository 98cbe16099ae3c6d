//go:build review

package stand

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["attempts"] = runAttempts
}

const (
	attemptEngines = 10
	attemptStreams = 260
	// faultyEngines lose the rest of lostShare in 100 of their streams at most, for lostTime.
	faultyEngines = 6
	lostShare     = 40
	lostTime      = 4 * time.Second
	lostAfter     = 5
	maxAttempts   = 2
	// mayExceed is how many requests may run on more replicas than their route allows.
	mayExceed = 3
)

// runAttempts lets some replicas lose the rest of some streams, of which the client has events.
func runAttempts(d *deployment) bool {
	f := newFleet(d.record)
	var mu sync.Mutex
	var lossEnds time.Time
	for i := range attemptEngines {
		r := f.start(replicaConfig{
			ID: fmt.Sprintf("i-engine%d", i), Service: "huvo11a", Zone: []string{"naxos", "paros", "syros"}[i%3], Address: "127.0.0.1:0", Slots: 128,
			Engine: true, Interval: 20 * time.Millisecond,
		})
		r.breakOff = func(_ string, sent int) bool {
			mu.Lock()
			defer mu.Unlock()
			if i >= faultyEngines || !time.Now().Before(lossEnds) || sent%lostAfter != 0 {
				return false
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if 100*(r.lost+1) > lostShare*r.begun {
				return false
			}
			r.lost++
			return true
		}
		d.register(r.replicaConfig)
	}
	d.configure([]any{route("/lohu930/", "streaming", "huvo11a", maxAttempts)}, []any{engineService("huvo11a", true)})
	g := d.startGateway("edge-naxos-1", "naxos")
	d.awaitReady(g)
	if d.trouble {
		mu.Lock()
		lossEnds = time.Now().Add(lostTime)
		mu.Unlock()
		d.record("%d of %d replicas lose the rest of %d in 100 streams for %s", faultyEngines, attemptEngines, lostShare, lostTime)
	}
	var group sync.WaitGroup
	for i := range attemptStreams {
		group.Go(func() {
			r := &generation{name: fmt.Sprintf("plain%d", i), prefix: fmt.Sprintf("%x:200,%x:300", 0x1000+i, 0x9000+i), prompt: fmt.Sprintf("plain prompt %d", i), counts: "500,200"}
			d.collect(r, []*gateway{g}, nil)
		})
		time.Sleep(14 * time.Millisecond)
	}
	group.Wait()
	for _, r := range f.replicas {
		d.record("replica %s: %d streams, rest of %d lost", r.ID, r.begun, r.lost)
	}
	replicas := map[string]map[string]bool{}
	for _, s := range f.runs {
		if replicas[s.attempt] == nil {
			replicas[s.attempt] = map[string]bool{}
		}
		replicas[s.attempt][s.replica] = true
	}
	exceeded := 0
	for attempt, on := range replicas {
		if len(on) > maxAttempts {
			exceeded++
			d.record("BUDGET: attempt %s ran on %d replicas; MaxAttempts is %d", attempt, len(on), maxAttempts)
		}
	}
	d.record("%d attempts ran on more replicas than MaxAttempts", exceeded)
	return exceeded <= mayExceed
}
