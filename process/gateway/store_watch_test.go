package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/registry"
	"github.com/mulberrylane/mulberrylane/standin/kv"
)

// applyTimeout is the bound on applying a configuration on both deployments.
const applyTimeout = 2 * time.Second

func (d *deployment) waitWithin(timeout time.Duration, condition func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		assert.Assert(d.t, time.Now().Before(deadline), "not within %s", timeout)
		time.Sleep(20 * time.Millisecond)
	}
}

func TestAuthorize_UnknownKeysAndRoutesAreRejected(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	unknownKey := bookingRequest()
	unknownKey.APIKey = "unknown"
	assert.Equal(t, d.send(g, unknownKey).status, http.StatusUnauthorized)
	unknownRoute := newCallerRequest(http.MethodGet, "/nowhere/1", "")
	assert.Equal(t, d.send(g, unknownRoute).status, http.StatusNotFound)
	anonymous := newCallerRequest(http.MethodGet, "/open/1", "")
	anonymous.APIKey = "unknown"
	assert.Equal(t, d.send(g, anonymous).status, http.StatusOK)
}

func TestConfiguration_AppliedWithinTimeoutAndNeverDowngraded(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	d.configure(func(config map[string]any) {
		config["Routes"] = append(config["Routes"].([]any), map[string]any{
			"Name": "new", "Host": testHost, "Prefix": "/new/", "RouteType": "idempotent", "TimeoutMs": 1000,
			"Service": "bookings", "MaxAttempts": 2,
		})
	})
	added := func() bool { return d.send(g, newCallerRequest(http.MethodGet, "/new/1", "")).status == http.StatusOK }
	d.waitWithin(applyTimeout, added)
	d.version -= 2
	d.configure(func(config map[string]any) { config["Routes"] = config["Routes"].([]any)[:4] })
	time.Sleep(applyTimeout)
	assert.Assert(t, added(), "an older version became active")
}

func TestAuthorize_RevokedKeyIsRejected(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
	d.configure(func(config map[string]any) {
		config["Tenants"] = []any{map[string]any{"Name": "crew", "ApiKeys": []string{"another"}}}
	})
	d.waitWithin(applyTimeout, func() bool { return d.send(g, bookingRequest()).status == http.StatusUnauthorized })
}

// The last key is revoked together with its workspace. The entry then accepted any request.
func TestAuthorize_LastWorkspaceIsRemoved(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
	d.configure(func(config map[string]any) { config["Tenants"] = []any{} })
	unauthorized := func() bool { return d.send(g, bookingRequest()).status == http.StatusUnauthorized }
	d.waitWithin(applyTimeout, unauthorized)
	assert.Equal(t, d.send(g, newCallerRequest(http.MethodGet, "/open/1", "")).status, http.StatusOK)
	restarted := d.startReadyEntry("entry-2")
	assert.Equal(t, d.send(restarted, bookingRequest()).status, http.StatusUnauthorized)
}

// The bound on revoked keys also holds for an entry that cannot reach the store.
func TestStoreOutage_KeysRejectedWithinRevocationBound(t *testing.T) {
	for name, faults := range map[string]kv.Faults{"down": {Outage: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.startApplication("a1", "naxos")
			g := d.startReadyEntry("entry-1")
			d.store.SetFaults(faults)
			outageStart := time.Now()
			revokeWithin := g.settings.Bounds.RevokeWithin.Std()
			d.waitWithin(revokeWithin, func() bool { return d.send(g, bookingRequest()).status == http.StatusServiceUnavailable })
			assert.Assert(t, time.Since(outageStart) > revokeWithin/2, "keys were rejected sooner than needed")
			assert.Assert(t, !g.ready())
			open := newCallerRequest(http.MethodGet, "/open/1", "")
			assert.Equal(t, d.send(g, open).status, http.StatusOK)
			unknownKey := bookingRequest()
			unknownKey.APIKey = "unknown"
			assert.Equal(t, d.send(g, unknownKey).status, http.StatusServiceUnavailable)
			d.store.SetFaults(kv.Faults{})
			d.waitWithin(applyTimeout, func() bool { return d.send(g, bookingRequest()).status == http.StatusOK })
		})
	}
}

func TestTargets_DrainingAndDeregisteredGetNoNewWork(t *testing.T) {
	d := newDeployment(t)
	draining := d.startApplication("a1", "naxos")
	deregistered := d.startApplication("a2", "naxos")
	d.startApplication("a3", "paros")
	g := d.startReadyEntry("entry-1")
	d.register(draining, "draining")
	d.store.Delete(platform.TargetPrefix + "a2")
	time.Sleep(applyTimeout)
	for range 12 {
		req := statusRequest()
		assert.Equal(t, d.send(g, req).status, http.StatusOK)
		assert.Equal(t, d.fleet.ExecutionLog.Executions(req.AttemptID)[0].Target, "a3")
	}
	_ = deregistered
}

func TestStoreOutage_ExpiredRegistrationsKeptForGracePeriod(t *testing.T) {
	d := newDeployment(t)
	restored, expired := d.startApplication("a1", "naxos"), d.startApplication("a2", "paros")
	g := d.startReadyEntry("entry-1")
	d.store.SetFaults(kv.Faults{Outage: true})
	d.waitUntil(func() bool {
		unavailable := false
		g.control.do(func() { unavailable = g.control.registry.StoreUnavailable() })
		return unavailable
	})
	d.store.Delete(platform.TargetPrefix + restored.Config().ID)
	d.store.Delete(platform.TargetPrefix + expired.Config().ID)
	d.store.SetFaults(kv.Faults{})
	d.waitWithin(applyTimeout, func() bool { return d.send(g, statusRequest()).status == http.StatusOK })
	assert.Equal(t, g.targetCount(), 2)
	d.register(restored, "ready")
	d.waitWithin(registry.LeaseExpiryGrace+applyTimeout, func() bool { return g.targetCount() == 1 })
	assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
}

func TestStoreWatch_InvalidRegistrationDoesNotAffectOthers(t *testing.T) {
	d := newDeployment(t)
	for key, value := range map[string]string{
		"x1": "not json", "x2": `{"Service":7}`, "x3": `{"Service":"bookings"}`,
		"x4": `{"Service":"bookings","Address":"1.2.3.4:5","State":"asleep"}`,
		"x5": `{"Service":"bookings","Address":"nowhere","State":"ready"}`,
	} {
		d.store.Put(platform.TargetPrefix+key, []byte(value))
	}
	d.startApplication("a1", "naxos")
	g := startEntryAmongInvalid(d)
	assert.Equal(t, g.targetCount(), 1)
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
}

// startEntryAmongInvalid starts an entry while the store holds one valid and five
// invalid registrations, and deletes the invalid ones afterwards.
func startEntryAmongInvalid(d *deployment) *Gateway {
	for _, key := range []string{"x1", "x2", "x3", "x4", "x5"} {
		defer func() { d.store.Delete(platform.TargetPrefix + key) }()
	}
	values := d.storeValues(platform.TargetPrefix)
	assert.Equal(d.t, len(values), 6)
	return d.startEntryWithTargets("entry-1", 1)
}

func TestStoreWatch_RelistsAfterCompaction(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	d.store.SetFaults(kv.Faults{Outage: true})
	time.Sleep(200 * time.Millisecond)
	d.startApplication("a2", "paros")
	d.store.Compact(d.store.Revision())
	d.store.SetFaults(kv.Faults{})
	d.waitWithin(applyTimeout, func() bool { return g.targetCount() == 2 })
}

func TestStoreOutage_EntryStarts(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	d.store.SetFaults(kv.Faults{Outage: true})
	ready := make(chan *Gateway)
	go func() { ready <- d.startEntryWithTargets("entry-1", 1) }()
	time.Sleep(300 * time.Millisecond)
	d.store.SetFaults(kv.Faults{})
	assert.Equal(t, d.send(<-ready, bookingRequest()).status, http.StatusOK)
}

// All entries crashed; callers that retry for the last time must not be refused during
// the milliseconds that an entry takes to read the store.
func TestStart_RequestsWaitForInitialSync(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	d.store.SetFaults(kv.Faults{Delay: 60 * time.Millisecond})
	g := d.startEntry("entry-1")
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
}

// During a store outage a starting entry must refuse requests soon.
func TestStart_RequestsRefusedSoonDuringStoreOutage(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	d.store.SetFaults(kv.Faults{Outage: true})
	g := d.startEntry("entry-1")
	req := bookingRequest()
	req.DeadlineRemaining = time.Second
	start := time.Now()
	assert.Equal(t, d.send(g, req).status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(start) < req.DeadlineRemaining/4, "delayed for %s", time.Since(start))
}

func TestStop_RunningRequestsComplete(t *testing.T) {
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 2)
	stopped := make(chan error)
	go func() { stopped <- g.Stop(context.Background()) }()
	d.waitWithin(applyTimeout, func() bool {
		response, err := http.Get("http://" + g.ingress.healthListener.Addr().String() + "/v1/readyz")
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode == http.StatusServiceUnavailable
	})
	late := streamRequest()
	lateStream := d.openStream(context.Background(), g, late)
	assert.Assert(t, lateStream.response.Close, "a draining entry keeps the connection open")
	lateStream.expectRest(t, late.AttemptID, 0)
	r.expectRest(t, req.AttemptID, 2)
	assert.NilError(t, <-stopped)
}

func TestLimits_ChangeAppliesToRequestsAndEndsNone(t *testing.T) {
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 1)
	for body := range 3 {
		d.configure(func(config map[string]any) {
			config["Limits"] = map[string]any{
				"MaxHeaderBytes": 16384, "MaxBodyBytes": 100 + body, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 9000 + body,
			}
		})
		oversized := bookingRequest()
		oversized.Body = strings.Repeat("x", 101+body)
		d.waitWithin(applyTimeout, func() bool {
			http.DefaultClient.CloseIdleConnections()
			return d.send(g, oversized).status == http.StatusRequestEntityTooLarge
		})
		assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
	}
	r.expectRest(t, req.AttemptID, 1)
}

// An entry without peers sends no updates, but must drop expired copies all the same.
func TestKVCopy_OfInterruptedStreamExpires(t *testing.T) {
	d := newDeployment(t)
	for id, failureDomain := range map[string]string{"e1": "naxos", "e2": "paros", "e3": "syros"} {
		d.startEngine(id, failureDomain)
	}
	g := d.startReadyEntry("entry-1")
	ctx, disconnect := context.WithCancel(context.Background())
	d.openStream(ctx, g, streamRequest()).skipTo(t, 14)
	disconnect()
	copyCount := func() int {
		n := 0
		g.control.do(func() {
			for _, run := range g.control.kvCopies.Own(time.Now()) {
				if run.Copy.Target != "" {
					n++
				}
			}
		})
		return n
	}
	d.waitUntil(func() bool { return copyCount() == 1 })
	d.waitUntil(func() bool { return copyCount() == 0 })
}
