package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/standin/replica"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// historyTime is how long callers send requests in a history.
	historyTime = 2500 * time.Millisecond
	// versionInterval is the interval between two versions of the configuration.
	versionInterval = 250 * time.Millisecond
	// historyCallers is the number of callers, each with a connection of its own.
	historyCallers = 12
)

// silenceHistory is a random history of a deployment of sound targets that fall silent for a
// second or so, beside versions of the configuration, reloads and changes of registrations.
type silenceHistory struct {
	*deployment
	gateway *Gateway
	random  *rand.Rand
	links   []*pausingLink
	targets []*replica.Replica
	// changes is how many kinds of changes are made.
	changes int
}

const (
	// basicChanges are routes, services, timeouts, keys, reloads and registrations; allChanges
	// are these, weights and limits.
	basicChanges = 6
	allChanges   = 8
)

func newSilenceHistory(t *testing.T, seed uint64) *silenceHistory {
	h := &silenceHistory{deployment: newDeployment(t), random: rand.New(rand.NewPCG(seed, 0))}
	for i, failureDomain := range []string{"naxos", "paros", "syros"} {
		for _, config := range []replica.Config{
			{Service: "writer", Engine: true, EventCount: testEvents, PrefillTime: 200 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128},
			{Service: "bookings", CallTime: 30 * time.Millisecond, Slots: 6},
			{Service: "other", CallTime: 30 * time.Millisecond, Slots: 6},
		} {
			config.ID, config.FailureDomain = fmt.Sprint(config.Service, i), failureDomain
			link := newPausingLink(t)
			config.AdvertisedAddress = link.Addr().String()
			r := h.startReplica(config)
			go link.run(r.Config().Address)
			h.links, h.targets = append(h.links, link), append(h.targets, r)
		}
	}
	// Few retries are allowed, as beside a failure of much of the deployment.
	settings := h.entrySettings("entry-1")
	settings.Bounds.RetryRatio, settings.Bounds.RetrySlack = 0.1, 1
	h.gateway = h.startEntryWith(settings)
	// Those of the service that is not declared yet are not used.
	undeclared := len(h.targets) / 3
	h.waitUntil(func() bool { return h.gateway.ready() && h.gateway.targetCount() >= len(h.targets)-undeclared })
	return h
}

// fallSilent makes random targets fall silent, at times all of them or all of a failure domain.
func (h *silenceHistory) fallSilent(random *rand.Rand) {
	const perDomain = 3
	first, count := random.IntN(len(h.links)), 1+random.IntN(4)
	switch random.IntN(4) {
	case 0:
		first, count = 0, len(h.links)
	case 1:
		first, count = perDomain*random.IntN(len(h.links)/perDomain), perDomain
	}
	for i := range count {
		go h.links[(first+i)%len(h.links)].pause(time.Second + time.Duration(random.IntN(500))*time.Millisecond)
	}
}

// change publishes a version or changes something else that operators change.
func (h *silenceHistory) change(random *rand.Rand) {
	routes := h.configuration["Routes"].([]any)
	status := routes[2].(map[string]any)
	switch random.IntN(h.changes) {
	case 0:
		// A route is added or removed.
		if len(routes) > 4 {
			h.configure(func(config map[string]any) { config["Routes"] = routes[:4] })
			return
		}
		h.configure(func(config map[string]any) {
			config["Routes"] = append(routes[:4:4], map[string]any{
				"Name": "added", "Host": testHost, "Prefix": "/added/", "RouteType": "idempotent", "TimeoutMs": 5000, "Service": "bookings",
			})
		})
	case 1:
		// A route is moved, and the service that it leaves is removed or comes back.
		delete(status, "WeightedBackends")
		h.configure(func(config map[string]any) {
			service := []string{"bookings", "other"}[random.IntN(2)]
			status["Service"], routes[3].(map[string]any)["Service"] = service, service
			config["Services"] = config["Services"].([]any)[:2]
			if service == "other" {
				config["Services"] = append(config["Services"].([]any), map[string]any{"Name": "other", "MaxConnections": 100, "HealthPath": replica.HealthPath})
			}
		})
	case 2:
		h.configure(func(map[string]any) { status["TimeoutMs"] = 4000 + random.IntN(2000) })
	case 3:
		h.configure(func(config map[string]any) {
			config["Tenants"] = []any{
				map[string]any{"Name": "crew", "ApiKeys": []string{testKey, fmt.Sprint("key-", h.version)}, "Priority": random.IntN(3)},
			}
		})
	case 4:
		bounds := h.gateway.settings.Bounds
		bounds.Grace = version.Duration(time.Duration(2+random.IntN(3)) * time.Second)
		h.gateway.control.do(func() { h.gateway.control.setBounds(bounds) })
	case 5:
		target := h.targets[random.IntN(len(h.targets))]
		h.store.Put(platform.TargetPrefix+target.Config().ID, target.RegistrationValue("ready"))
	case 6:
		// A part of a route's requests is moved.
		h.configure(func(config map[string]any) {
			status["WeightedBackends"] = []any{
				map[string]any{"Service": "bookings", "Weight": 1 + random.IntN(9)}, map[string]any{"Service": "other", "Weight": random.IntN(9)},
			}
			config["Services"] = append(config["Services"].([]any)[:2], map[string]any{"Name": "other", "MaxConnections": 100, "HealthPath": replica.HealthPath})
		})
	case 7:
		h.configure(func(config map[string]any) {
			config["Limits"] = map[string]any{
				"MaxHeaderBytes": 8192 + random.IntN(8192), "MaxBodyBytes": 1024 + random.IntN(8192),
				"HeaderTimeoutMs": 1000 + random.IntN(2000), "IdleTimeoutMs": 1500 + random.IntN(15000),
			}
		})
	}
}

// violation sends one request and returns what is wrong with its end, if anything.
func (h *silenceHistory) violation(client *http.Client, req *callerRequest) string {
	response, err := client.Do(req.httpRequest(context.Background(), h.gateway))
	if err != nil {
		return fmt.Sprintf("%s: no response: %s", req.Path, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return fmt.Sprintf("%s: broken off after %d bytes: %s", req.Path, len(body), err)
	case response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable:
		return fmt.Sprintf("%s: status %d", req.Path, response.StatusCode)
	}
	return ""
}

func TestSilence_RandomHistoriesLeaveNoRequestWithoutResponse(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			h := newSilenceHistory(t, seed)
			h.changes = basicChanges
			if seed >= 3 {
				h.changes = allChanges
			}
			end := time.Now().Add(historyTime)
			var callers sync.WaitGroup
			for i := range historyCallers {
				callers.Go(func() {
					client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
					defer client.CloseIdleConnections()
					for n := i; time.Now().Before(end); n++ {
						req := []func() *callerRequest{streamRequest, statusRequest, bookingRequest}[n%3]()
						assert.Check(t, is.Equal(h.violation(client, req), ""))
					}
				})
			}
			for step := 0; time.Now().Before(end); step++ {
				if step%4 == 0 {
					h.fallSilent(h.random)
				}
				h.change(h.random)
				time.Sleep(versionInterval)
			}
			callers.Wait()
			h.waitUntil(func() bool { return h.gateway.table.Load().Version() == int64(h.version) })
		})
	}
}
