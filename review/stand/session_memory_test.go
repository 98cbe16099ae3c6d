//go:build review

package stand

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["session-memory"] = runSessionMemory
}

const (
	crews         = 5
	plainStreams  = 6
	killAfter     = 12
	sessionEvents = 60
)

// generation is one request for a generation, which its client sends again after a broken
// channel, with the last event that it has.
type generation struct {
	name, path, prefix, counts, prompt string
	events                             []event
}

// collect sends the generation to one gateway after the other until it is complete. onEvent, if
// set, is called with the number of events that the client has.
func (d *deployment) collect(r *generation, gateways []*gateway, onEvent func(int)) (complete bool) {
	if r.counts == "" {
		r.counts = fmt.Sprintf("1100,%d", 5*sessionEvents)
	}
	if r.path == "" {
		r.path = "/lohu930/2f"
	}
	for try, g := range gateways {
		a := d.send(g, clientRequest{
			attempt: fmt.Sprintf("%s.%d", r.name, try+1), method: "POST", path: r.path, body: r.prompt,
			prefix: r.prefix, counts: r.counts, position: len(r.events),
		}, func(e event) {
			r.events = append(r.events, e)
			if onEvent != nil {
				onEvent(len(r.events))
			}
		})
		if a.complete && a.status == http.StatusOK {
			return true
		}
	}
	return false
}

// foreign returns the first event that the memory of the request's own prompt does not yield.
func (r *generation) foreign() (event, bool) {
	for i, e := range r.events {
		if e.id != i+1 || e.data != eventData(r.prompt, e.id) {
			return e, true
		}
	}
	return event{}, false
}

// runSessionMemory lets crews have three reports written of the same notes at once, whose prompts
// have their last part in common, and kills the gateway that they use. The clients go on at the
// other one.
func runSessionMemory(d *deployment) bool {
	f := newFleet(d.record)
	for i, zone := range []string{"naxos", "naxos", "paros", "paros", "syros", "syros"} {
		r := f.start(replicaConfig{
			ID: fmt.Sprintf("i-engine%d", i), Service: "huvo11a", Zone: zone, Address: "127.0.0.1:0", Slots: 128, Engine: true,
			Interval: 40 * time.Millisecond,
		})
		d.register(r.replicaConfig)
	}
	reports := []string{"lining", "silt", "rights"}
	var routes []any
	for _, report := range reports {
		routes = append(routes, route("/"+report+"/", "streaming", "huvo11a", 5))
	}
	d.configure(routes, []any{engineService(true)})
	first, second := d.startGateway("edge-naxos-1", "naxos"), d.startGateway("edge-paros-1", "paros")
	d.awaitReady(first, second)

	var group sync.WaitGroup
	var mu sync.Mutex
	reached, held := 0, true
	ready := make(chan struct{})
	run := func(r *generation, onEvent func(int), gateways ...*gateway) {
		group.Go(func() {
			complete := d.collect(r, gateways, onEvent)
			d.record("%s: %d events, complete %v", r.name, len(r.events), complete)
			if e, found := r.foreign(); found {
				mu.Lock()
				defer mu.Unlock()
				held = false
				d.record("MIXED: %s got event %d %q, which is not of its own prompt", r.name, e.id, e.data)
			}
		})
	}
	count := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		if n == killAfter {
			if reached++; reached == crews*len(reports) {
				close(ready)
			}
		}
	}
	for i := range crews {
		for j, report := range reports {
			run(&generation{
				name: fmt.Sprintf("crew%d-%s", i, report), path: "/" + report + "/2f", prompt: fmt.Sprintf("write the %s report of these notes of crew %d", report, i),
				prefix: fmt.Sprintf("5c1e07a%d:200,e4402b7%d:900", j, i),
			}, count, second, first)
		}
	}
	for i := range plainStreams {
		r := &generation{
			name: fmt.Sprintf("plain%d", i), path: "/lining/2f", prompt: fmt.Sprintf("write the lining report of other notes, %d", i),
			prefix: fmt.Sprintf("5c1e07a0:200,91bd3f0%d:900", i),
		}
		if i%2 == 0 {
			run(r, nil, second, first)
		} else {
			run(r, nil, first, second)
		}
	}
	select {
	case <-ready:
	case <-time.After(20 * time.Second):
		panic("the streams do not run")
	}
	if d.trouble {
		second.kill()
		d.record("%s killed", second.name)
	}
	group.Wait()
	return d.checkMemory(f) && held
}

// checkMemory reports whether all runs went on from the memory of their own requests.
func (d *deployment) checkMemory(f *fleet) bool {
	held := true
	for _, s := range f.runs {
		request, _, _ := strings.Cut(s.attempt, ".")
		source, _, _ := strings.Cut(s.memoryOf, ".")
		if s.memoryOf != "" && source != request {
			held = false
			d.record("MIXED: replica %s goes on with attempt %s from the memory of attempt %s", s.replica, s.attempt, s.memoryOf)
		}
	}
	return held
}
