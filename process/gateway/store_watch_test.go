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

// applyWithin is the bound on a configuration on both deployments.
const applyWithin = 2 * time.Second

func (s *site) within(bound time.Duration, holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(bound)
	for !holds() {
		assert.Assert(s.t, time.Now().Before(deadline), "not within %s", bound)
		time.Sleep(20 * time.Millisecond)
	}
}

func TestUnknownKeysAndRoutesAreDenied(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos")
	g := s.entry("entry-1")
	stranger := booking()
	stranger.APIKey = "unknown"
	assert.Equal(t, s.send(g, stranger).status, http.StatusUnauthorized)
	lost := newAsk(http.MethodGet, "/nowhere/1", "")
	assert.Equal(t, s.send(g, lost).status, http.StatusNotFound)
	anonymous := newAsk(http.MethodGet, "/open/1", "")
	anonymous.APIKey = "unknown"
	assert.Equal(t, s.send(g, anonymous).status, http.StatusOK)
}

func TestConfigurationIsInForceWithinItsBoundAndNeverBack(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos")
	g := s.entry("entry-1")
	s.configure(func(config map[string]any) {
		config["Routes"] = append(config["Routes"].([]any), map[string]any{
			"Name": "new", "Host": testHost, "Prefix": "/new/", "RouteType": "idempotent", "TimeoutMs": 1000,
			"Service": "bookings", "MaxAttempts": 2,
		})
	})
	added := func() bool { return s.send(g, newAsk(http.MethodGet, "/new/1", "")).status == http.StatusOK }
	s.within(applyWithin, added)
	s.version -= 2
	s.configure(func(config map[string]any) { config["Routes"] = config["Routes"].([]any)[:4] })
	time.Sleep(applyWithin)
	assert.Assert(t, added(), "an older version came into force")
}

func TestKeyTakenAwayIsOfNoUse(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos")
	g := s.entry("entry-1")
	assert.Equal(t, s.send(g, booking()).status, http.StatusOK)
	s.configure(func(config map[string]any) {
		config["Tenants"] = []any{map[string]any{"Name": "crew", "ApiKeys": []string{"another"}}}
	})
	s.within(applyWithin, func() bool { return s.send(g, booking()).status == http.StatusUnauthorized })
}

// The bound on keys holds for an entry that does not reach the store, too.
func TestEntryCutFromTheStoreStopsTrustingKeys(t *testing.T) {
	for name, faults := range map[string]kv.Faults{"down": {Outage: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.application("a1", "naxos")
			g := s.entry("entry-1")
			s.store.SetFaults(faults)
			cut := time.Now()
			revoke := g.settings.Bounds.RevokeWithin.Std()
			s.within(revoke, func() bool { return s.send(g, booking()).status == http.StatusServiceUnavailable })
			assert.Assert(t, time.Since(cut) > revoke/2, "keys were given up sooner than needed")
			assert.Assert(t, !g.ready())
			open := newAsk(http.MethodGet, "/open/1", "")
			assert.Equal(t, s.send(g, open).status, http.StatusOK)
			stranger := booking()
			stranger.APIKey = "unknown"
			assert.Equal(t, s.send(g, stranger).status, http.StatusServiceUnavailable)
			s.store.SetFaults(kv.Faults{})
			s.within(applyWithin, func() bool { return s.send(g, booking()).status == http.StatusOK })
		})
	}
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	s := newSite(t)
	leaving := s.application("a1", "naxos")
	gone := s.application("a2", "naxos")
	s.application("a3", "paros")
	g := s.entry("entry-1")
	s.register(leaving, "draining")
	s.store.Delete(platform.TargetPrefix + "a2")
	time.Sleep(applyWithin)
	for range 12 {
		a := status()
		assert.Equal(t, s.send(g, a).status, http.StatusOK)
		assert.Equal(t, s.fleet.ExecutionLog.Executions(a.AttemptID)[0].Target, "a3")
	}
	_ = gone
}

func TestRegistrationsThatLapsedWithTheStoreAreBelievedForAWhile(t *testing.T) {
	s := newSite(t)
	back, gone := s.application("a1", "naxos"), s.application("a2", "paros")
	g := s.entry("entry-1")
	s.store.SetFaults(kv.Faults{Outage: true})
	s.eventually(func() bool {
		away := false
		g.control.do(func() { away = g.control.registry.StoreUnavailable() })
		return away
	})
	s.store.Delete(platform.TargetPrefix + back.Config().ID)
	s.store.Delete(platform.TargetPrefix + gone.Config().ID)
	s.store.SetFaults(kv.Faults{})
	s.within(applyWithin, func() bool { return s.send(g, status()).status == http.StatusOK })
	assert.Equal(t, g.targets(), 2)
	s.register(back, "ready")
	s.within(registry.LeaseExpiryGrace+applyWithin, func() bool { return g.targets() == 1 })
	assert.Equal(t, s.send(g, status()).status, http.StatusOK)
}

func TestBrokenRegistrationSpoilsNoOther(t *testing.T) {
	s := newSite(t)
	for key, value := range map[string]string{
		"x1": "not json", "x2": `{"Service":7}`, "x3": `{"Service":"bookings"}`,
		"x4": `{"Service":"bookings","Address":"1.2.3.4:5","State":"asleep"}`,
		"x5": `{"Service":"bookings","Address":"nowhere","State":"ready"}`,
	} {
		s.store.Put(platform.TargetPrefix+key, []byte(value))
	}
	s.application("a1", "naxos")
	g := newSiteEntry(s)
	assert.Equal(t, g.targets(), 1)
	assert.Equal(t, s.send(g, booking()).status, http.StatusOK)
}

// newSiteEntry starts an entry on a site whose store holds more than targets.
func newSiteEntry(s *site) *Gateway {
	for _, key := range []string{"x1", "x2", "x3", "x4", "x5"} {
		defer func() { s.store.Delete(platform.TargetPrefix + key) }()
	}
	values := s.items(platform.TargetPrefix)
	assert.Equal(s.t, len(values), 6)
	return s.entryKnowing("entry-1", 1)
}

func TestHistoryThatIsGoneIsReadAnew(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos")
	g := s.entry("entry-1")
	s.store.SetFaults(kv.Faults{Outage: true})
	time.Sleep(200 * time.Millisecond)
	s.application("a2", "paros")
	s.store.Compact(s.store.Revision())
	s.store.SetFaults(kv.Faults{})
	s.within(applyWithin, func() bool { return g.targets() == 2 })
}

func TestEntryStartsWhileTheStoreIsAway(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos")
	s.store.SetFaults(kv.Faults{Outage: true})
	begun := make(chan *Gateway)
	go func() { begun <- s.entryKnowing("entry-1", 1) }()
	time.Sleep(300 * time.Millisecond)
	s.store.SetFaults(kv.Faults{})
	assert.Equal(t, s.send(<-begun, booking()).status, http.StatusOK)
}

// All entries died; callers that come back for the last time must not be refused for
// the milliseconds that an entry takes to read the store.
func TestStartingEntryHoldsRequestsUntilItHasReadTheStore(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos")
	s.store.SetFaults(kv.Faults{Delay: 60 * time.Millisecond})
	g := s.startEntry("entry-1")
	assert.Equal(t, s.send(g, booking()).status, http.StatusOK)
}

// What cannot be served is refused soon: the store does not answer.
func TestStartingEntryDoesNotHoldRequestsForLong(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos")
	s.store.SetFaults(kv.Faults{Outage: true})
	g := s.startEntry("entry-1")
	a := booking()
	a.DeadlineRemaining = time.Second
	begun := time.Now()
	assert.Equal(t, s.send(g, a).status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(begun) < a.DeadlineRemaining/4, "held for %s", time.Since(begun))
}

func TestPlannedStopCutsNoRequestOff(t *testing.T) {
	s := newSite(t)
	s.engine("e1", "naxos")
	g := s.entry("entry-1")
	a := report()
	r := s.open(context.Background(), g, a)
	r.skip(t, 2)
	stopped := make(chan error)
	go func() { stopped <- g.Stop(context.Background()) }()
	s.within(applyWithin, func() bool {
		response, err := http.Get("http://" + g.ingress.healthListener.Addr().String() + "/v1/readyz")
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode == http.StatusServiceUnavailable
	})
	late := report()
	again := s.open(context.Background(), g, late)
	assert.Assert(t, again.response.Close, "a leaving entry keeps the connection")
	again.events(t, late.AttemptID, 0)
	r.events(t, a.AttemptID, 2)
	assert.NilError(t, <-stopped)
}

func TestLimitsChangeForNewConnectionsOnly(t *testing.T) {
	s := newSite(t)
	s.engine("e1", "naxos")
	s.application("a1", "naxos")
	g := s.entry("entry-1")
	a := report()
	r := s.open(context.Background(), g, a)
	r.skip(t, 1)
	for body := range 3 {
		s.configure(func(config map[string]any) {
			config["Limits"] = map[string]any{
				"MaxHeaderBytes": 16384, "MaxBodyBytes": 100 + body, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 9000 + body,
			}
		})
		big := booking()
		big.Body = strings.Repeat("x", 101+body)
		s.within(applyWithin, func() bool {
			http.DefaultClient.CloseIdleConnections()
			return s.send(g, big).status == http.StatusRequestEntityTooLarge
		})
		assert.Equal(t, s.send(g, booking()).status, http.StatusOK)
	}
	r.events(t, a.AttemptID, 1)
}

// An entry without others tells nobody, and must forget all the same.
func TestCopiesOfBrokenStreamsAreForgotten(t *testing.T) {
	s := newSite(t)
	for id, zone := range map[string]string{"e1": "naxos", "e2": "paros", "e3": "syros"} {
		s.engine(id, zone)
	}
	g := s.entry("entry-1")
	ctx, leave := context.WithCancel(context.Background())
	s.open(ctx, g, report()).skip(t, 14)
	leave()
	held := func() int {
		n := 0
		g.control.do(func() { n = len(g.control.sessionCopies) })
		return n
	}
	s.eventually(func() bool { return held() == 1 })
	s.eventually(func() bool { return held() == 0 })
}
