//go:build review

package stand

import (
	"bufio"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["crossed-handle"] = runCrossedHandle
}

const (
	warmUpRequests = 540
	longStreams    = 12
	lateStreams    = 10
	// faultyReplicas is how many of the six send an answer twice.
	faultyReplicas = 3
	// spoiled is how many answers a faulty replica spoils, of 100 of which it may spoil
	// spoiledShare: one is sent twice, one broken off.
	spoiled      = 2
	spoiledShare = 3
	// breakAfter is the event after which the stream is broken off that got the wrong handle.
	breakAfter = 20
)

// crossing is the fault of some replicas: each sends one answer to a kv-move a second time, where
// the answer to the next request on that channel is due, and breaks off the stream whose kv-move
// that was.
type crossing struct {
	mu sync.Mutex
	d  *deployment
	// crashed is the replica that has crashed.
	crashed *replica
	// faulty holds the replicas that have sent an answer twice.
	faulty map[*replica]bool
	// crossed maps the attempts that got the wrong answer to whether they are to be broken off.
	crossed map[string]bool
}

// answerMove answers a kv-move, and then the requests that follow on its channel.
func (c *crossing) answerMove(r *replica, w http.ResponseWriter, status int, answer []byte) bool {
	c.mu.Lock()
	crashed := c.crashed
	c.mu.Unlock()
	if crashed == nil || status != http.StatusOK {
		return false
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	must(err)
	go func() {
		defer func() { _ = conn.Close() }()
		send := func(status int, header string, body []byte) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
		}
		send(status, "Content-Type: application/json\r\n", answer)
		reader := bufio.NewReader(buffer)
		for {
			next, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if next.URL.Path != "/v1/kv-move" {
				// This channel serves nothing else.
				send(http.StatusServiceUnavailable, "Not-Executed: 1\r\nAttempt-Id: "+next.Header.Get("Attempt-Id")+"\r\n", nil)
				continue
			}
			call, status, nextAnswer := r.copyRun(next.Body)
			if c.sendsTwice(r, call, status) {
				c.d.record("replica %s: sends %s once more, where the answer to the kv-move of %s is due", r.ID, answer, call.Id)
				send(http.StatusOK, "Content-Type: application/json\r\n", answer)
				time.Sleep(5 * time.Millisecond)
			}
			answer = nextAnswer
			send(status, "Content-Type: application/json\r\n", answer)
		}
	}()
	return true
}

// sendsTwice reports whether the previous answer on a channel is sent again before that to a call.
func (c *crossing) sendsTwice(r *replica, call moveCall, status int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.fleet.mu.Lock()
	answers := r.begun
	r.fleet.mu.Unlock()
	if status != http.StatusOK || r.Zone == c.crashed.Zone || c.faulty[r] || len(c.faulty) >= faultyReplicas || 100*spoiled > spoiledShare*answers {
		return false
	}
	c.d.record("replica %s: spoils %d of %d answers", r.ID, spoiled, answers)
	c.faulty[r], c.crossed[call.Id] = true, true
	return true
}

// breakOff reports whether a stream that got the wrong handle is to be broken off.
func (c *crossing) breakOff(attempt string, sent int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.crossed[attempt] || sent < breakAfter {
		return false
	}
	c.crossed[attempt] = false
	return true
}

// runCrossedHandle crashes the engine that keeps the copies of several runs, and lets another
// engine answer one of the calls for new copies twice.
func runCrossedHandle(d *deployment) bool {
	f := newFleet(d.record)
	c := &crossing{d: d, faulty: map[*replica]bool{}, crossed: map[string]bool{}}
	f.onMove = c.answerMove
	for i, zone := range []string{"naxos", "naxos", "naxos", "naxos", "paros", "paros"} {
		r := f.start(replicaConfig{
			ID: fmt.Sprintf("i-engine%d", i), Service: "huvo11a", Zone: zone, Address: "127.0.0.1:0", Slots: 128, Engine: true,
			Interval: 40 * time.Millisecond,
		})
		r.breakOff = c.breakOff
		d.register(r.replicaConfig)
	}
	d.configure([]any{route("/lohu930/", "streaming", "huvo11a", 5)}, []any{engineService(true)})
	g := d.startGateway("edge-naxos-1", "naxos")
	d.awaitReady(g)

	var group sync.WaitGroup
	var mu sync.Mutex
	var all []*generation
	start := func(name string, number, tokens, events int) {
		r := &generation{
			name: fmt.Sprintf("%s%d", name, number), prompt: fmt.Sprintf("%s prompt %d", name, number), counts: fmt.Sprintf("%d,%d", tokens, 5*events),
			prefix: fmt.Sprintf("%x:200,%x%x:%d", number+0x1000, name, number, tokens-200),
		}
		mu.Lock()
		all = append(all, r)
		mu.Unlock()
		group.Go(func() { d.collect(r, []*gateway{g, g}, nil) })
	}
	for i := range warmUpRequests {
		start("warm", i, 240, 2)
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	for i := range longStreams {
		start("long", i, 800, 150)
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for i := range lateStreams {
		start("late", i, 4800, 60)
	}
	if d.trouble {
		time.Sleep(200 * time.Millisecond)
		crashed := f.replicas[len(f.replicas)-1]
		c.mu.Lock()
		c.crashed = crashed
		c.mu.Unlock()
		d.record("replica %s crashes", crashed.ID)
		crashed.crash()
	}
	group.Wait()
	held := true
	for _, r := range all {
		if e, found := r.foreign(); found {
			held = false
			d.record("MIXED: %s got event %d %q, which is not of its own prompt", r.name, e.id, e.data)
		}
	}
	return d.checkMemory(f) && held
}
