//go:build review

package bed

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["last-tenant"] = lastTenant }

// revokeWithin is RevokeMs of a small site.
const revokeWithin = 5 * time.Second

// bookings returns a configuration with one route for calls.
func bookings(version int, tenants []tenant) configuration {
	return configuration{
		Version: version,
		Routes: []route{{
			Name: "book-visit", Host: host, Prefix: "/puxa403/", RouteType: "non_idempotent", Service: "bookings",
			TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, MaxAttempts: 1,
		}},
		Services: []service{{Name: "bookings", HealthPath: "/healthz", MaxConnections: 96}},
		Tenants:  tenants,
	}
}

// lastTenant takes away the key of a connected client by removing its tenant, the last one.
func lastTenant(b *bed, trouble bool) bool {
	var mu sync.Mutex
	ranAt := map[string]time.Time{}
	for i, zone := range []string{"naxos", "paros", "syros"} {
		b.newReplica(fmt.Sprintf("i-%d", i), "bookings", zone, 6, false, func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Attempt-Id")
			mu.Lock()
			ranAt[id] = time.Now()
			mu.Unlock()
			b.record("replica: runs %s, Tenant %q", id, r.Header.Get("Tenant"))
			if sleep(r.Context(), 30*time.Millisecond) {
				sign(w, id)
				_, _ = w.Write([]byte("answer to " + id))
			}
		})
	}
	b.configure(bookings(1, []tenant{{Name: workspace, ApiKeys: []string{apiKey}}}))
	g := b.newGateway("edge-naxos-1", "naxos", nil)
	g.start()
	g.waitReady()
	client := b.dial(g)
	defer client.close()
	broken := 0
	var revoked time.Time
	for i := range 50 {
		if i == 10 {
			tenants := []tenant{{Name: workspace, ApiKeys: []string{apiKey}}}
			if trouble {
				tenants = []tenant{}
				b.record("operator: removes the only tenant with its key")
			}
			b.configure(bookings(2, tenants))
			revoked = time.Now()
		}
		m := message{method: http.MethodPost, path: "/puxa403/2f", id: fmt.Sprintf("book-%d", i), timeLeft: time.Second, body: []byte("visit")}
		sent := time.Now()
		if client == nil {
			client = b.dial(g)
		}
		a := client.send(m, 3*time.Second)
		if a.status == 0 || a.header.Get("Connection") == "close" {
			client.close()
			client = nil
		}
		mu.Lock()
		_, ran := ranAt[m.id]
		mu.Unlock()
		if ran && trouble && !revoked.IsZero() && sent.Sub(revoked) > revokeWithin {
			broken++
			b.record("BROKEN: %s was sent %.3f s after the ack of the configuration that took its key away, and ran", m.id, sent.Sub(revoked).Seconds())
		}
		if !ran && !trouble {
			b.record("BROKEN: %s was not run though its key is there", m.id)
			broken++
		}
		time.Sleep(200 * time.Millisecond)
	}
	b.record("requests that ran though their key was gone: %d", broken)
	return broken > 0
}
