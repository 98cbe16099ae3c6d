package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/origins"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// newOriginsDeployment returns a deployment whose streams may last as long as those of the deployments.
func newOriginsDeployment(t *testing.T) *deployment {
	d := newDeployment(t)
	d.configure(func(config map[string]any) {
		config["Routes"].([]any)[0].(map[string]any)["TimeoutMs"] = 25000
	})
	return d
}

// startEngineOf starts a model engine of a software version.
func (d *deployment) startEngineOf(id, version string) *replica.Replica {
	return d.startReplica(replica.Config{
		ID: id, Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: testEvents, Version: version,
		PrefillTime: 60 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128, Address: network.ProcessAddress(),
	})
}

// versionOf returns the version that a request ran on.
func (d *deployment) versionOf(id string) string {
	d.t.Helper()
	executions := d.fleet.ExecutionLog.Executions(id)
	assert.Assert(d.t, len(executions) > 0, "%s ran nowhere", id)
	return executions[len(executions)-1].Version
}

// takeUp returns the request with which a caller takes up a stream that began with an attempt.
func takeUp(began *callerRequest, position int) *callerRequest {
	again := streamRequest()
	again.Position, again.PromptID = position, began.AttemptID
	again.Header = http.Header{"Resumes": {began.AttemptID}}
	return again
}

// end ends an entry as a kill does.
func (g *Gateway) end() {
	g.cancel()
	_ = g.peers.Close()
	g.ingress.close()
}

// A stream whose target is lost went on at a target of another version.
func TestOrigin_StreamEndsWithTheLastTargetOfItsVersion(t *testing.T) {
	t.Parallel()
	d := newOriginsDeployment(t)
	engines := map[string]*replica.Replica{"v1": d.startEngineOf("e1", "v1"), "v2": d.startEngineOf("e2", "v2")}
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	stream := d.openStream(context.Background(), g, req)
	stream.skipTo(t, 5)
	began := d.versionOf(req.AttemptID)
	lost := engines[began]
	d.store.Delete("servers/" + lost.Config().ID)
	lost.Crash()
	lostAt := time.Now()
	var err error
	for err == nil {
		_, err = stream.stream.Next()
	}
	assert.Assert(t, !errors.Is(err, io.EOF), "the response looks complete")
	assert.Assert(t, time.Since(lostAt) < 3*time.Second, "it ended after %s", time.Since(lostAt))
	assert.Equal(t, d.versionOf(req.AttemptID), began)
	start := time.Now()
	response := d.send(g, takeUp(req, 5))
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(start) < 200*time.Millisecond, "refused after %s", time.Since(start))
}

// Callers took up their streams at another entry, and the text was joined from two versions.
func TestOrigin_TakeUpsStayWithTheirVersion(t *testing.T) {
	t.Parallel()
	d := newOriginsDeployment(t)
	for i := range 4 {
		d.startEngineOf(fmt.Sprint("e", i), fmt.Sprint("v", 1+i%2))
	}
	entries := d.startEntries("entry-1", "entry-2", "entry-3")
	var requests []*callerRequest
	for range 8 {
		req := streamRequest()
		d.openStream(context.Background(), entries[0], req).skipTo(t, 4)
		requests = append(requests, req)
	}
	d.waitUntil(func() bool {
		known := true
		for _, req := range requests {
			entries[1].control.do(func() {
				_, verdict := entries[1].control.origins.Version(time.Now(), "writer", request.ID(req.AttemptID))
				known = known && verdict == origins.Known
			})
		}
		return known
	})
	entries[0].end()
	for _, req := range requests {
		again := takeUp(req, 4)
		d.openStream(context.Background(), entries[1], again).expectRest(t, again.AttemptID, 4)
		assert.Equal(t, d.versionOf(again.AttemptID), d.versionOf(req.AttemptID))
		// The next attempt names the first one again.
		third := takeUp(req, 6)
		d.openStream(context.Background(), entries[2], third).expectRest(t, third.AttemptID, 6)
		assert.Equal(t, d.versionOf(third.AttemptID), d.versionOf(req.AttemptID))
	}
}

// All entries were killed at once and came back, also just after the old version had left. Callers took up
// their streams, and the text was joined from two versions.
func TestOrigin_AllEntriesLost(t *testing.T) {
	t.Parallel()
	for _, oldLeaves := range []bool{false, true} {
		t.Run(fmt.Sprint("old version leaves=", oldLeaves), func(t *testing.T) {
			t.Parallel()
			d := newOriginsDeployment(t)
			var old []*replica.Replica
			for i := range 4 {
				engine := d.startEngineOf(fmt.Sprint("e", i), fmt.Sprint("v", 1+i%2))
				if i%2 == 0 {
					old = append(old, engine)
				}
			}
			entries := d.startEntries("entry-1", "entry-2")
			var requests []*callerRequest
			for i := range 8 {
				req := streamRequest()
				ctx, breakOff := context.WithCancel(context.Background())
				d.openStream(ctx, entries[i%2], req).skipTo(t, 4)
				breakOff()
				requests = append(requests, req)
			}
			time.Sleep(2 * originsInterval)
			late := streamRequest()
			d.openStream(context.Background(), entries[0], late).skipTo(t, 4)
			for _, g := range entries {
				g.end()
			}
			if oldLeaves {
				for _, engine := range old {
					d.store.Delete("servers/" + engine.Config().ID)
					engine.Crash()
				}
			}
			for i := range entries {
				entries[i] = d.startEntryWithTargets(fmt.Sprint("entry-", i+1), 2)
			}
			time.Sleep(peerDiscoveryTime)
			resumed := 0
			for i, req := range requests {
				again := takeUp(req, 4)
				began := d.versionOf(req.AttemptID)
				if oldLeaves && began == "v1" {
					assert.Equal(t, d.send(entries[i%2], again).status, http.StatusServiceUnavailable)
					continue
				}
				d.openStream(context.Background(), entries[i%2], again).expectRest(t, again.AttemptID, 4)
				assert.Equal(t, d.versionOf(again.AttemptID), began)
				resumed++
			}
			assert.Assert(t, oldLeaves || resumed == len(requests))
			// What nobody knows is refused.
			again := takeUp(late, 4)
			if response := d.send(entries[1], again); response.status != http.StatusServiceUnavailable {
				assert.Equal(t, d.versionOf(again.AttemptID), d.versionOf(late.AttemptID))
			}
		})
	}
}
