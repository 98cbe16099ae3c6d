//go:build review

package stand

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() {
	cases["recovery"] = runRecovery
}

const (
	recoveryEngines = 6
	// requestInterval is the time between two requests of the traffic.
	requestInterval = 150 * time.Millisecond
	// downTime is how long the gateways are down, engineDownTime an engine that crashed.
	downTime       = 1400 * time.Millisecond
	engineDownTime = 1200 * time.Millisecond
	// recoverTime is RecoverS.
	recoverTime = 12 * time.Second
	// settleTime is how much later the requests are sent that count: the engines are back by then.
	settleTime = 4 * time.Second
	// crashesAfter is the time from the first request that a gateway passes on after its start to
	// the first crash, crashGap that between two crashes.
	crashesAfter = 200 * time.Millisecond
	crashGap     = 300 * time.Millisecond
)

// traffic sends requests that share the first part of their prompts, each with one retry.
type traffic struct {
	d        *deployment
	gateways []*gateway
	mu       sync.Mutex
	sent     int
}

// request sends one request and reports whether it was served.
func (t *traffic) request(number int) bool {
	for try := range 2 {
		g := t.gateways[(number+try)%len(t.gateways)]
		a := t.d.send(g, clientRequest{
			attempt: fmt.Sprintf("request%d.%d", number, try+1), method: "POST", path: "/lohu930/2f", body: fmt.Sprintf("notes %d", number),
			prefix: fmt.Sprintf("5c1e07a0:200,%x:9400", 0x91bd0000+number), counts: "9600,100",
		}, nil)
		if a.status == http.StatusOK && a.complete {
			return true
		}
		// A third of the time limit at most, less what has passed.
		time.Sleep(min(max(a.retryAfter, 100*time.Millisecond), 8*time.Second))
	}
	return false
}

// send sends requests for d, and returns how many of them were served when all have ended.
func (t *traffic) send(d time.Duration) func() (served, sent int) {
	var group sync.WaitGroup
	served, sent := 0, 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(requestInterval) {
		t.mu.Lock()
		number := t.sent
		t.sent++
		t.mu.Unlock()
		sent++
		group.Go(func() {
			if t.request(number) {
				t.mu.Lock()
				served++
				t.mu.Unlock()
			}
		})
	}
	return func() (int, int) {
		group.Wait()
		return served, sent
	}
}

// crashReading crashes an engine that has sent the head of a stream and reads its prompt, and
// starts another one in its place later.
func (d *deployment) crashReading(f *fleet, crashed map[*replica]bool) {
	for range 100 {
		f.mu.Lock()
		var chosen *replica
		for _, r := range f.replicas {
			for _, current := range r.active {
				if current.events == 0 && !crashed[r] {
					chosen = r
				}
			}
		}
		f.mu.Unlock()
		if chosen == nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		crashed[chosen] = true
		d.record("replica %s crashes", chosen.ID)
		chosen.crash()
		time.AfterFunc(engineDownTime, func() {
			next := chosen.replicaConfig
			next.ID, next.Address, next.Born = chosen.ID+"b", "127.0.0.1:0", 0
			d.register(f.start(next).replicaConfig)
			d.record("replica %s runs in place of %s", next.ID, chosen.ID)
		})
		time.AfterFunc(3600*time.Millisecond, func() { d.store.Delete("servers/" + chosen.ID) })
		return
	}
	panic("no engine reads a prompt")
}

// runRecovery kills all gateways, and lets engines crash one after the other when they are back.
func runRecovery(d *deployment) bool {
	f := newFleet(d.record)
	for i := range recoveryEngines {
		r := f.start(replicaConfig{
			ID: fmt.Sprintf("i-engine%d", i), Service: "huvo11a", Zone: []string{"naxos", "paros", "syros"}[i%3], Address: "127.0.0.1:0", Slots: 128,
			Engine: true, HeadFirst: true, Interval: 40 * time.Millisecond,
		})
		d.register(r.replicaConfig)
	}
	d.configure([]any{route("/lohu930/", "streaming", "huvo11a", 5)}, []any{engineService(true)})
	gateways := []*gateway{d.startGateway("edge-naxos-1", "naxos"), d.startGateway("edge-paros-1", "paros")}
	d.awaitReady(gateways...)
	t := &traffic{d: d, gateways: gateways}

	served, sent := t.send(5 * time.Second)()
	d.record("before the final fault: %d of %d requests served", served, sent)
	servedBefore := 4*served >= sent
	// TROUBLE may name one of the two disruptions, for which the other one is left out.
	kills, crashes := d.trouble && os.Getenv("TROUBLE") != "crashes", d.trouble && os.Getenv("TROUBLE") != "kill"
	if kills {
		for _, g := range gateways {
			g.kill()
		}
		d.record("all gateways killed")
		time.Sleep(downTime)
		for _, g := range gateways {
			d.runAgain(g)
		}
	}
	back := time.Now()
	f.mu.Lock()
	runs := len(f.runs)
	f.mu.Unlock()
	var during func() (int, int)
	sending := make(chan struct{})
	go func() {
		during = t.send(recoverTime)
		close(sending)
	}()
	if crashes {
		for first := false; !first; time.Sleep(2 * time.Millisecond) {
			f.mu.Lock()
			first = len(f.runs) > runs
			f.mu.Unlock()
		}
		crashed := map[*replica]bool{}
		time.Sleep(crashesAfter)
		for range 3 {
			d.crashReading(f, crashed)
			time.Sleep(crashGap)
		}
	}
	<-sending
	time.Sleep(time.Until(back.Add(recoverTime + settleTime)))
	after := t.send(6 * time.Second)
	served, sent = after()
	d.record("later than %s after the gateways were back: %d of %d requests served", recoverTime+settleTime, served, sent)
	servedDuring, sentDuring := during()
	d.record("until then: %d of %d", servedDuring, sentDuring)
	if servedBefore && 4*served < sent {
		d.record("RECOVER: less than a quarter is served")
		return false
	}
	return true
}
