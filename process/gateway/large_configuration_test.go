package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// slowLink is the bandwidth of a slow link in megabits a second, fastLink that of a fast one: half of those
	// of the deployments. So is the number of routes, which the race detector makes slow to decode.
	slowLink, fastLink = 5, 100
	bitsPerByte        = 8
	// revokeWithin is the bound on revocations of the deployments that have slow links, applyWithin that on
	// bringing a configuration into force there.
	revokeWithin = 5 * time.Second
	applyWithin  = 3 * time.Second
)

// startEntryBehindLink starts an entry whose link to the store has the given bandwidth in megabits a second.
func (d *deployment) startEntryBehindLink(name string, mbps int) *Gateway {
	d.t.Helper()
	relay, err := network.NewTCPRelay(d.address)
	assert.NilError(d.t, err)
	d.t.Cleanup(relay.Close)
	relay.SetFaults(network.TCPFaults{BytesPerSecond: mbps * 1e6 / bitsPerByte})
	direct := d.address
	d.address = relay.Address()
	defer func() { d.address = direct }()
	settings := d.entrySettings(name)
	settings.LinkMbps = float64(mbps)
	settings.Bounds.RevokeWithin = version.Duration(revokeWithin)
	// Without it, calls to the store are held open in the first seconds.
	settings.FirstStart = true
	return d.startEntryWith(settings)
}

// addRoutes adds routes with random names, and publishes the configuration.
func (d *deployment) addRoutes(count int) {
	d.configure(func(config map[string]any) {
		for range count {
			name := fmt.Sprintf("/%016x/", rand.Uint64())
			config["Routes"] = append(config["Routes"].([]any), map[string]any{
				"Name": name, "Host": fmt.Sprintf("%08x.example", rand.Uint32()), "Prefix": name, "RouteType": "idempotent",
				"TimeoutMs": 5000, "TargetLatencyMs": 500, "Service": "bookings", "MaxAttempts": 2,
			})
		}
	})
}

// bringIntoForce writes changes and checks that each is in force at all entries within the bound, and that
// the entries stay ready all the while.
func (d *deployment) bringIntoForce(entries []*Gateway, changes []func(), interval time.Duration) {
	d.t.Helper()
	written := map[int]time.Time{}
	first, start := d.version, time.Now()
	overdue := func() {
		for _, g := range entries {
			active := int(g.configurationVersion())
			if at, ok := written[active+1]; ok && time.Since(at) > applyWithin {
				d.t.Fatalf("%s has version %d %s after version %d was written", g.settings.Name, active, time.Since(at), active+1)
			}
			assert.Assert(d.t, g.ready(), "%s is not ready with version %d", g.settings.Name, active)
		}
	}
	for i, change := range changes {
		for time.Since(start) < time.Duration(i)*interval {
			overdue()
			time.Sleep(10 * time.Millisecond)
		}
		change()
		written[d.version] = time.Now()
	}
	for time.Since(written[first+len(changes)]) < applyWithin+100*time.Millisecond {
		overdue()
		time.Sleep(10 * time.Millisecond)
	}
}

// startFleetBehindLinks starts entries with the given links in two failure domains.
func (d *deployment) startFleetBehindLinks(links ...int) []*Gateway {
	var entries []*Gateway
	for i, mbps := range links {
		entries = append(entries, d.startEntryBehindLink(fmt.Sprintf("entry-%d", i+1), mbps))
	}
	for _, g := range entries {
		d.waitUntil(func() bool {
			known := 0
			g.control.do(func() { known = len(g.control.peerLastSeen) })
			return g.ready() && known == len(links)-1
		})
	}
	return entries
}

// repeated returns a change that is made several times.
func repeated(change func(), times int) []func() {
	changes := make([]func(), times)
	for i := range changes {
		changes[i] = change
	}
	return changes
}

// A configuration grows to more than a thousand routes and then changes several times a second.
func TestLargeConfiguration_ChangesAreInForceBehindSlowLinks(t *testing.T) {
	for name, links := range map[string][]int{
		"a fast link":     {slowLink, slowLink, fastLink, slowLink},
		"slow links only": {slowLink, slowLink, slowLink, slowLink},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.startApplication("a1", "naxos")
			entries := d.startFleetBehindLinks(links...)
			d.bringIntoForce(entries, repeated(func() { d.addRoutes(700) }, 2), applyWithin)
			d.bringIntoForce(entries, repeated(func() { d.addRoutes(1) }, 12), 330*time.Millisecond)
		})
	}
}

// A target leaves while large configurations are on their way.
func TestLargeConfiguration_DoesNotDelayLeavingTargets(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	gone := d.startApplication("a2", "paros")
	entries := d.startFleetBehindLinks(slowLink, slowLink, slowLink)
	d.addRoutes(1400)
	time.Sleep(applyTimeout)
	for range 4 {
		d.addRoutes(1)
		time.Sleep(100 * time.Millisecond)
	}
	d.register(gone, "draining")
	left := time.Now()
	for _, g := range entries {
		for {
			draining := false
			g.control.do(func() { draining = g.control.table.Get("a2").Draining })
			if draining {
				break
			}
			assert.Assert(t, time.Since(left) < applyTimeout, "%s does not know it", g.settings.Name)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// The configuration that an entry lacks after the store came back from a copy does not fit a datagram. It
// refused all keys until the configuration was written again.
func TestLargeConfiguration_IsLearnedFromAnotherEntry(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	entry := d.startReadyEntry("entry-1")
	before := d.store.Copy()
	d.addRoutes(2800)
	d.waitWithin(applyTimeout, func() bool { return int(entry.configurationVersion()) == d.version })
	d.store.GoBack(before)
	d.waitWithin(applyTimeout, func() bool { return entry.control.position().Era == d.store.Era() })
	other := d.startEntry("entry-2")
	d.waitWithin(applyTimeout, func() bool { return int(other.configurationVersion()) == d.version })
	assert.Equal(t, d.send(other, bookingRequest()).status, http.StatusOK)
}

// The response of the store takes longer than its other calls may, but arrives all the while.
func TestLargeConfiguration_SlowTransferIsNoOutage(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startEntryBehindLink("entry-1", slowLink)
	d.waitUntil(g.ready)
	d.addRoutes(2750)
	d.waitWithin(applyTimeout+storeTimeout, func() bool { return int(g.configurationVersion()) == d.version })
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
}

// Every entry read a change that does not fit a datagram from the store itself.
func TestLargeConfiguration_IsReadFromTheStoreOnce(t *testing.T) {
	for name, routes := range map[string]int{"packed in a datagram": 700, "over a connection": 2000} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.startApplication("a1", "naxos")
			entries := d.startFleetBehindLinks(fastLink, fastLink, fastLink, fastLink)
			before, start := d.store.Calls(), time.Now()
			d.addRoutes(routes)
			for _, g := range entries {
				d.waitWithin(applyTimeout, func() bool { return int(g.configurationVersion()) == d.version })
			}
			d.addRoutes(1)
			for _, g := range entries {
				d.waitWithin(applyTimeout, func() bool { return int(g.configurationVersion()) == d.version })
			}
			calls := d.store.Calls()
			reads := calls.Watches + calls.Ranges - before.Watches - before.Ranges
			assert.Assert(t, reads <= int64(time.Since(start)/pollInterval)+1, "%d reads in %s", reads, time.Since(start))
		})
	}
}
