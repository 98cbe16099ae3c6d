//go:build review

package bed

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["moved-replicas"] = movedReplicas }

const (
	// recoverTime is RecoverS of a small site.
	recoverTime = 12 * time.Second
	// prefillRate is how many prompt tokens an engine reads in a millisecond.
	prefillRate = 8
	// promptTokens and streamEvents are the size of a generation, tokensPerEvent that of an event.
	promptTokens   = 8000
	streamEvents   = 60
	tokensPerEvent = 5
	// stepTime is how long an engine takes for the tokens of an event.
	stepTime = 30 * time.Millisecond
)

// modelService returns a configuration with one service of model replicas.
func modelService(version int) configuration {
	return configuration{
		Version: version,
		Routes: []route{{
			Name: "lining-report", Host: host, Prefix: "/lohu930/", RouteType: "streaming", Service: "survey-writer", TimeoutMs: 25000,
			TargetLatencyMs: 4500, GapAimMs: 700, Priority: 1, MaxAttempts: 5, SessionAffinity: true, StreamResumption: true,
		}},
		Services: []service{{Name: "survey-writer", HealthPath: "/healthz", MaxConnections: 610, Engine: &engine{
			Slots: 128, KvCapacityTokens: 88000, KvTokenBytes: 131072, Stride: tokensPerEvent, HandleS: 4, LinkMbps: 130000,
		}}},
	}
}

// generate serves a generation as a model replica does: it reads the prompt, then sends an event a
// step, and stops when its channel closes.
func (b *bed) generate(id string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		request, position := r.Header.Get("Attempt-Id"), 0
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &position)
		b.record("%s: runs %s after event %d", id, request, position)
		sign(w, request)
		w.Header().Set("Content-Type", "text/event-stream")
		if !sleep(r.Context(), (promptTokens+time.Duration(position)*tokensPerEvent)/prefillRate*time.Millisecond) {
			b.record("%s: the channel of %s was closed while its prompt was read", id, request)
			return
		}
		for event := position + 1; event <= streamEvents; event++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, strings.Repeat("x", 45))
			_ = http.NewResponseController(w).Flush()
			if !sleep(r.Context(), stepTime) {
				b.record("%s: the channel of %s was closed after event %d", id, request, event)
				return
			}
		}
	}
}

// generation is one request of a client for a generation, with one retry as the sheets have it.
type generation struct {
	sent   time.Time
	served bool
}

func (b *bed) requestGeneration(gateways []*gateway, number int) generation {
	g := generation{sent: time.Now()}
	for try := range 2 {
		left := 25*time.Second - time.Since(g.sent)
		client, err := b.tryDial(gateways[(number+try)%len(gateways)])
		if err != nil {
			b.record("client: lining-%d-%d: %v", number, try, err)
			time.Sleep(500 * time.Millisecond)
			continue
		}
		a := client.send(message{
			method: http.MethodPost, path: "/lohu930/2f", id: fmt.Sprintf("lining-%d-%d", number, try), timeLeft: left,
			body: bytes.Repeat([]byte("n"), 8000), header: []string{
				"Model: m", fmt.Sprintf("Token-Counts: %d,%d", promptTokens, streamEvents*tokensPerEvent),
				fmt.Sprintf("Prompt-Prefix: %08x:200,%08x:%d", number%50, 1000+number, promptTokens-200),
			},
		}, left)
		client.close()
		if g.served = a.status == http.StatusOK && a.complete && strings.Contains(string(a.body), fmt.Sprintf("id: %d\n", streamEvents)); g.served {
			break
		}
	}
	return g
}

const (
	// arrivalInterval is the time between two generations: 9.4 a second on the sheet.
	arrivalInterval = time.Second * 10 / 94
	// faultAt is when the final fault strikes, trafficTime how long there is traffic.
	faultAt, trafficTime = 10 * time.Second, 38 * time.Second
	// gatewaysDown and replicasDown are how long the processes are down after the fault: model
	// replicas take longer to start, but report before their entries lapse.
	gatewaysDown, replicasDown = 900 * time.Millisecond, 2 * time.Second
)

// movedReplicas lets all machines lose power. As they come back the replicas start again under the
// ids that they had, each at an address that another one had before; with CONTROL=same-address at
// their own.
func movedReplicas(b *bed, trouble bool) bool {
	b.configure(modelService(1))
	zones := []string{"naxos", "paros", "syros"}
	var replicas []*replica
	for i := range 36 {
		id := fmt.Sprintf("i-%08x", i)
		replicas = append(replicas, b.newReplica(id, "survey-writer", zones[i%3], 128, true, b.generate(id)))
	}
	var gateways []*gateway
	for i := range 4 {
		gateways = append(gateways, b.newGateway(fmt.Sprintf("edge-%s-%d", zones[i%3], i), zones[i%3], nil))
		gateways[i].start()
	}
	for _, g := range gateways {
		g.waitReady()
	}
	began := time.Now()
	back := began.Add(faultAt)
	var operator sync.WaitGroup
	operator.Go(func() {
		time.Sleep(faultAt)
		if trouble {
			b.losePower(gateways, replicas)
			back = time.Now()
			b.record("all machines are back")
		}
	})
	all := b.requestGenerations(gateways, began.Add(trafficTime))
	operator.Wait()
	return b.judgeRecovery(all, began.Add(faultAt), back)
}

func (b *bed) losePower(gateways []*gateway, replicas []*replica) {
	for _, g := range gateways {
		g.kill()
		b.record("%s: its machine lost power", g.name)
	}
	addresses := make([]string, len(replicas))
	for i, r := range replicas {
		r.losePower()
		addresses[i] = r.entry.Address
	}
	fault := time.Now()
	time.Sleep(gatewaysDown)
	for _, g := range gateways {
		g.notFirst()
		g.start()
	}
	time.Sleep(time.Until(fault.Add(replicasDown)))
	for i, r := range replicas {
		at := addresses[(i+1)%len(replicas)]
		if os.Getenv("CONTROL") == "same-address" {
			at = addresses[i]
		}
		replicas[i] = b.newReplicaAt(at, r.id, "survey-writer", r.entry.Zone, 128, true, b.generate(r.id))
		b.record("%s: started again at %s, was at %s", r.id, at, addresses[i])
		time.Sleep(5 * time.Millisecond)
	}
}

// requestGenerations requests generations until a time, and returns all when they have ended.
func (b *bed) requestGenerations(gateways []*gateway, until time.Time) []generation {
	var mu sync.Mutex
	var all []generation
	var running sync.WaitGroup
	for number := 0; time.Now().Before(until); number++ {
		running.Go(func() {
			g := b.requestGeneration(gateways, number)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, g)
		})
		time.Sleep(arrivalInterval)
	}
	running.Wait()
	return all
}

// judgeRecovery checks RECOVER: of the requests sent later than recoverTime after the machines
// were back, a quarter is served, if a quarter or more was before the final fault.
func (b *bed) judgeRecovery(all []generation, fault, back time.Time) bool {
	var before, after, servedBefore, servedAfter int
	for _, g := range all {
		switch {
		case g.sent.Before(fault.Add(-4 * time.Second)):
			before++
			if g.served {
				servedBefore++
			}
		case g.sent.After(back.Add(recoverTime)):
			after++
			if g.served {
				servedAfter++
			}
		}
	}
	b.record("before the fault: %d of %d served; later than RecoverS after the machines were back: %d of %d", servedBefore, before, servedAfter, after)
	if before == 0 || after == 0 || 4*servedBefore < before {
		panic("there is nothing to compare")
	}
	return 4*servedAfter < after
}
