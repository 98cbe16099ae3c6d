//go:build review

package stand

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["unframed-stream"] = runUnframedStream
	cases["unframed-call"] = runUnframedCall
}

// startUnframed starts replicas, each a process of its own, whose answers have no length.
func (d *deployment) startUnframed(count int, engine bool, service string, interval time.Duration) []*process {
	processes := make([]*process, count)
	for i := range processes {
		config := replicaConfig{
			ID: fmt.Sprintf("i-replica%d", i), Service: service, Zone: []string{"naxos", "paros", "syros"}[i%3], Address: freeAddress(),
			Slots: 128, Engine: engine, Interval: interval, Unframed: true, Born: time.Now().UnixMilli(),
		}
		processes[i] = d.startReplicaProcess(config)
		d.register(config)
	}
	return processes
}

const (
	unframedReplicas = 6
	unframedStreams  = 18
)

// runUnframedStream kills the process of one engine while streams run there.
func runUnframedStream(d *deployment) bool {
	processes := d.startUnframed(unframedReplicas, true, "huvo11a", 40*time.Millisecond)
	d.configure([]any{route("/lohu930/", "streaming", "huvo11a", 5)}, []any{engineService(false)})
	g := d.startGateway("edge-naxos-1", "naxos")
	d.awaitReady(g)
	var group sync.WaitGroup
	var mu sync.Mutex
	held := true
	for i := range unframedStreams {
		group.Go(func() {
			r := &generation{name: fmt.Sprintf("plain%d", i), prefix: fmt.Sprintf("77aa01%02d:200,91bd3f%02d:900", i, i), prompt: fmt.Sprintf("plain prompt %d", i)}
			complete := d.collect(r, []*gateway{g, g}, nil)
			mu.Lock()
			defer mu.Unlock()
			if _, found := r.foreign(); found || complete && len(r.events) != sessionEvents {
				held = false
				d.record("ORDER: %s ended as complete after event %d of %d", r.name, len(r.events), sessionEvents)
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	if d.trouble {
		processes[0].kill()
		d.record("i-replica0 killed")
	}
	group.Wait()
	return held
}

// runUnframedCall kills the process of one application replica while it answers safe requests.
func runUnframedCall(d *deployment) bool {
	processes := d.startUnframed(unframedReplicas, false, "wuno96b", 300*time.Millisecond)
	d.configure([]any{route("/cuti104/", "idempotent", "wuno96b", 2)}, []any{applicationService("wuno96b")})
	g := d.startGateway("edge-naxos-1", "naxos")
	d.awaitReady(g)
	var group sync.WaitGroup
	var mu sync.Mutex
	held := true
	for i := range 60 {
		time.Sleep(20 * time.Millisecond)
		if d.trouble && i == 30 {
			processes[0].kill()
			d.record("i-replica0 killed")
		}
		group.Go(func() {
			attempt := fmt.Sprintf("status%d.1", i)
			a := d.send(g, clientRequest{attempt: attempt, method: "GET", path: "/cuti104/lo20", timeLimit: 5 * time.Second}, nil)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && a.complete && a.body != attempt+" "+callBody {
				held = false
				d.record("MIXED: %s got a success with the body %q, which is not the whole one", attempt, strings.TrimSpace(a.body))
			}
		})
	}
	group.Wait()
	return held
}
