package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/eventlog"
	"github.com/mulberrylane/mulberrylane/process/quarantine"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// oddRegistrations maps target IDs to registrations that name no target to use. Those that can
// be read name bookings, and most of them an address at which nothing listens.
func oddRegistrations(soundAddress string) map[string]string {
	registration := func(field, raw string) string {
		fields := map[string]any{
			"Service": "bookings", "Address": "127.0.0.1:1", "Zone": "naxos", "Slots": 6, "State": "ready", "Sequence": 1,
		}
		delete(fields, field)
		value, err := json.Marshal(fields)
		if err != nil {
			panic(err)
		}
		if raw == "" {
			return string(value)
		}
		return `{"` + field + `":` + raw + `,` + string(value[1:])
	}
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	return map[string]string{
		"b-empty": "", "b-nul": "\x00", "b-text": "not json", "b-deep": strings.Repeat(`{"a":`, 20000),
		"b-nested":        registration("Extension", deep),
		"b-port-large":    registration("Address", `"127.0.0.1:70000"`),
		"b-port-zero":     registration("Address", `"127.0.0.1:0"`),
		"b-port-negative": registration("Address", `"127.0.0.1:-4"`),
		"b-port-name":     registration("Address", `"127.0.0.1:http"`),
		"b-slots-large":   registration("Slots", "9223372036854775807"),
		"b-slots-sound":   registration("Slots", "9223372036854775807,\"Address\":\""+soundAddress+"\""),
		"b-slots-less":    registration("Slots", "-7"),
		"b-slots-none":    registration("Slots", ""),
		"b-born-large":    registration("born", "1e300"),
		"b-born-larger":   registration("born", "1e400"),
		"b-zone-large":    registration("Zone", `"`+strings.Repeat("z", 1<<20)+`"`),
		"b-zone-none":     registration("Zone", ""),
		"b-sequence":      registration("Sequence", `"1"`),
		"b-utf8":          registration("Zone", "\"\xff\""),
	}
}

func (d *deployment) putOddRegistrations(soundAddress string) []string {
	var keys []string
	for id, value := range oddRegistrations(soundAddress) {
		d.store.Put(platform.TargetPrefix+id, []byte(value))
		keys = append(keys, platform.TargetPrefix+id)
	}
	return keys
}

// expectUnretriedCalls sends calls and checks that each is served at its first attempt.
func (d *deployment) expectUnretriedCalls(g *Gateway, count int) {
	d.t.Helper()
	for range count {
		for _, req := range []*callerRequest{bookingRequest(), statusRequest()} {
			assert.Equal(d.t, d.send(g, req).status, http.StatusOK)
			assert.Equal(d.t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 1)
		}
	}
}

func TestStoreWatch_OddRegistrationsCostNoRetries(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprintf("listed=%t", listed), func(t *testing.T) {
			var out strings.Builder
			d := newDeployment(t)
			d.log = eventlog.New(&out)
			sound := d.startApplication("a1", "naxos")
			var odd []string
			if listed {
				odd = d.putOddRegistrations(sound.Config().AdvertisedAddress)
			}
			g := d.startEntryWithTargets("entry-1", 1)
			if !listed {
				odd = d.putOddRegistrations(sound.Config().AdvertisedAddress)
			}
			d.startApplication("a2", "paros")
			d.waitWithin(applyTimeout, func() bool { return d.knows(g, "a2") })
			assert.Equal(t, g.targetCount(), 2)
			d.expectUnretriedCalls(g, 30)
			d.startApplication("a3", "syros")
			d.waitWithin(applyTimeout, func() bool { return g.targetCount() == 3 })
			d.expectUnretriedCalls(g, 5)
			time.Sleep(100 * time.Millisecond)
			d.log.Close()
			text := out.String()
			for _, event := range []string{`"retried"`, `"hedged"`, `"panic"`, `"target_lost"`} {
				assert.Assert(t, !strings.Contains(text, event), event)
			}
			for _, key := range odd {
				assert.Equal(t, strings.Count(text, `"registration_unreadable" key="`+key+`"`), 1, key)
			}
			for line := range strings.Lines(text) {
				assert.Assert(t, len(line) < 1000, "a line has %d bytes", len(line))
			}
		})
	}
}

// knows reports whether an entry has a target in its table.
func (d *deployment) knows(g *Gateway, id string) bool {
	known := false
	g.control.do(func() { known = g.control.table.Get(request.TargetID(id)) != nil })
	return known
}

// takesWork reports whether an entry may send new work to a target.
func (d *deployment) takesWork(g *Gateway, id request.TargetID) bool {
	takes := false
	g.control.do(func() {
		t := g.control.table.Get(id)
		takes = t != nil && !t.IsDraining() && !t.Down(time.Now())
	})
	return takes
}

// Another writer overwrites the registration of a sound target, which writes it again later.
func TestStoreWatch_TargetWhoseRegistrationTurnsOddGetsNoNewWorkMeanwhile(t *testing.T) {
	for name, odd := range map[string]string{
		"text": "not json", "empty": "", "port": `{"Service":"writer","Address":"127.0.0.1:70000","Zone":"naxos","Slots":64,"State":"ready"}`,
		"state": `{"Service":"writer","Address":"127.0.0.1:1","Zone":"naxos","Slots":64,"State":"asleep"}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			engines := map[string]*replica.Replica{}
			for _, id := range []string{"e1", "e2"} {
				engines[id] = d.startReplica(replica.Config{
					ID: id, Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: testEvents,
					PrefillTime: 50 * time.Millisecond, EventInterval: 150 * time.Millisecond, Slots: 64,
				})
			}
			g := d.startReadyEntry("entry-1")
			running := streamRequest()
			r := d.openStream(context.Background(), g, running)
			r.skipTo(t, 1)
			overwritten := d.executingReplica(running.AttemptID, engines["e1"], engines["e2"])
			id := request.TargetID(overwritten.Config().ID)
			d.store.Put(platform.TargetPrefix+string(id), []byte(odd))
			d.waitWithin(applyTimeout, func() bool { return !d.takesWork(g, id) })
			for range 6 {
				req := streamRequest()
				d.openStream(context.Background(), g, req).skipTo(t, 1)
				assert.Assert(t, d.fleet.ExecutionLog.Executions(req.AttemptID)[0].Target != string(id))
			}
			r.expectRest(t, running.AttemptID, 1)
			assert.Equal(t, d.fleet.ExecutionLog.Arrivals(running.AttemptID), 1)
			d.register(overwritten, "ready")
			d.waitWithin(applyTimeout, func() bool { return d.takesWork(g, id) })
			used := func() bool {
				req := streamRequest()
				d.openStream(context.Background(), g, req).skipTo(t, 1)
				return d.fleet.ExecutionLog.Executions(req.AttemptID)[0].Target == string(id)
			}
			d.waitUntil(used)
			var incarnation request.Incarnation
			g.control.do(func() { incarnation = g.control.table.Get(id).Incarnation })
			assert.Equal(t, incarnation, request.Incarnation(overwritten.Config().Incarnation))
		})
	}
}

// A registration that could replace a sound target, but whose service no configuration names.
func TestStoreWatch_UndeclaredServiceAtAddressOfTargetChangesNothing(t *testing.T) {
	d := newDeployment(t)
	sound := d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	d.store.Put(platform.TargetPrefix+"x1", []byte(`{"Service":"undeclared","Address":"`+sound.Config().AdvertisedAddress+
		`","Zone":"naxos","Slots":6,"State":"ready","born":9007199254740991}`))
	d.startEngine("e1", "naxos")
	d.waitWithin(applyTimeout, func() bool { return d.knows(g, "e1") })
	assert.Assert(t, d.takesWork(g, "a1"))
	d.expectUnretriedCalls(g, 10)
}

// Targets of a new service may register before the configuration that declares it is read.
func TestStoreWatch_TargetsRegisteredBeforeTheirServiceIsDeclaredAreUsed(t *testing.T) {
	d := newDeployment(t)
	early := d.startReplica(replica.Config{ID: "n1", Service: "new", FailureDomain: "naxos", CallTime: 10 * time.Millisecond, Slots: 6})
	d.startApplication("a1", "naxos")
	g := d.startEntryWithTargets("entry-1", 1)
	late := d.startReplica(replica.Config{ID: "n2", Service: "new", FailureDomain: "naxos", CallTime: 10 * time.Millisecond, Slots: 6})
	removed := d.startReplica(replica.Config{ID: "n3", Service: "new", FailureDomain: "naxos", CallTime: 10 * time.Millisecond, Slots: 6})
	d.store.Delete(platform.TargetPrefix + removed.Config().ID)
	d.configure(func(config map[string]any) {
		config["Services"] = append(config["Services"].([]any), map[string]any{"Name": "new", "MaxConnections": 100, "HealthPath": replica.HealthPath})
		config["Routes"] = append(config["Routes"].([]any), map[string]any{
			"Name": "new", "Host": testHost, "Prefix": "/new/", "RouteType": "idempotent", "TimeoutMs": 5000, "TargetLatencyMs": 500,
			"Service": "new", "MaxAttempts": 2,
		})
	})
	d.waitWithin(applyTimeout, func() bool { return d.knows(g, "n1") && d.knows(g, "n2") })
	assert.Assert(t, !d.knows(g, "n3"))
	used := map[request.TargetID]bool{}
	d.waitUntil(func() bool {
		req := newCallerRequest(http.MethodGet, "/new/1", "")
		assert.Equal(t, d.send(g, req).status, http.StatusOK)
		used[request.TargetID(d.fleet.ExecutionLog.Executions(req.AttemptID)[0].Target)] = true
		return used[request.TargetID(early.Config().ID)] && used[request.TargetID(late.Config().ID)]
	})
}

// overflowingMs is a number of milliseconds that wraps to 448,384 ns in 64 bits.
const overflowingMs = 18446744073710

// A configuration with numbers out of range must cut no caller off.
func TestConfiguration_OddNumbersCutNoCallerOff(t *testing.T) {
	limit := func(name string, value any) func(config map[string]any) {
		return func(config map[string]any) { config["Limits"].(map[string]any)[name] = value }
	}
	routes := func(name string, value any) func(config map[string]any) {
		return func(config map[string]any) {
			for _, route := range config["Routes"].([]any) {
				route.(map[string]any)[name] = value
			}
		}
	}
	engine := func(name string, value any) func(config map[string]any) {
		return func(config map[string]any) {
			config["Services"].([]any)[0].(map[string]any)["Engine"].(map[string]any)[name] = value
		}
	}
	for name, change := range map[string]func(config map[string]any){
		"header size":      limit("MaxHeaderBytes", int64(1<<63-1)),
		"no header size":   limit("MaxHeaderBytes", -1),
		"body size":        limit("MaxBodyBytes", int64(1<<63-1)),
		"negative body":    limit("MaxBodyBytes", -1),
		"no body":          limit("MaxBodyBytes", 0),
		"header time":      limit("HeaderTimeoutMs", overflowingMs),
		"idle time":        limit("IdleTimeoutMs", overflowingMs),
		"no idle time":     limit("IdleTimeoutMs", 0),
		"no limits":        func(config map[string]any) { delete(config, "Limits") },
		"time":             routes("TimeoutMs", overflowingMs),
		"negative time":    routes("TimeoutMs", -overflowingMs),
		"latency":          routes("TargetLatencyMs", int64(-1<<63)),
		"no latency":       routes("TargetLatencyMs", 0),
		"pause":            routes("GapAimMs", overflowingMs),
		"no attempts":      routes("MaxAttempts", -5),
		"priority":         routes("Priority", int64(-1<<63)),
		"copy time":        engine("HandleS", 1e300),
		"negative copy":    engine("HandleS", -1e300),
		"tokens per event": engine("Stride", int64(1<<63-1)),
		"no memory":        engine("KvCapacityTokens", -1),
		"memory":           engine("KvCapacityTokens", int64(1<<63-1)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.startApplication("a1", "naxos")
			d.startApplication("a2", "paros")
			d.startEngine("e1", "naxos")
			d.startEngine("e2", "paros")
			g := d.startReadyEntry("entry-1")
			d.configure(change)
			d.waitWithin(applyTimeout, func() bool { return g.table.Load().Version() == int64(d.version) })
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for range 3 {
				req := bookingRequest()
				req.Body = "a body"
				response, err := client.Do(req.httpRequest(context.Background(), g))
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, response.StatusCode, http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			d.expectUnretriedCalls(g, 3)
			stream := streamRequest()
			d.openStream(context.Background(), g, stream).expectRest(t, stream.AttemptID, 0)
			assert.Equal(t, d.fleet.ExecutionLog.Arrivals(stream.AttemptID), 1)
		})
	}
}

// Other writers may leave anything among the registrations of entries.
func TestStoreWatch_OddEntriesAreNoPeers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	odd := map[string]string{
		"o-empty": "", "o-nul": "\x00", "o-null": "null", "o-number": "1e400", "o-deep": strings.Repeat("[", 20000),
		"o-type": `{"peers":7}`, "o-none": `{}`, "o-name": `{"peers":"nowhere.example:9"}`, "o-port-name": `{"peers":"127.0.0.1:http"}`,
		"o-port": `{"peers":"127.0.0.1:70000"}`, "o-zero": `{"peers":"127.0.0.1:0"}`, "o-negative": `{"peers":"127.0.0.1:-4"}`,
		"o-many": `{"peers":"224.0.0.1:9"}`, "o-long": `{"peers":"127.0.0.1:9","failureDomain":"` + strings.Repeat("z", 1<<20) + `"}`,
		"o-utf8": "{\"peers\":\"127.0.0.1:9\",\"failureDomain\":\"\xff\"}", "o\tname": `{"peers":"127.0.0.1:9"}`, "": `{"peers":"127.0.0.1:9"}`,
		"o-link": `{"peers":"127.0.0.1:9","linkMbps":-1}`, "o-link-text": `{"peers":"127.0.0.1:9","linkMbps":"fast"}`,
		strings.Repeat("o", 300): `{"peers":"127.0.0.1:9"}`,
	}
	for name, value := range odd {
		d.store.Put(platform.EntryPrefix+name, []byte(value))
	}
	entries := d.startEntries("entry-1", "entry-2")
	for _, g := range entries {
		known := 0
		g.control.do(func() { known = len(g.control.peers) })
		assert.Equal(t, known, 2)
		d.expectUnretriedCalls(g, 3)
	}
	d.startEntries("entry-3")
	d.waitWithin(applyTimeout, func() bool {
		known := 0
		entries[0].control.do(func() { known = len(entries[0].control.peers) })
		return known == 3
	})
}

// Another writer overwrites the registration of an entry.
func TestStoreWatch_EntryWhoseRegistrationTurnsOddStaysAPeer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	entries := d.startEntries("entry-1", "entry-2")
	d.store.Put(platform.EntryPrefix+"entry-2", []byte(`{"peers":"127.0.0.1:70000"}`))
	d.startApplication("a2", "naxos")
	d.waitWithin(applyTimeout, func() bool { return d.knows(entries[0], "a2") })
	address := ""
	entries[0].control.do(func() { address = entries[0].control.peers["entry-2"].address })
	assert.Equal(t, address, entries[1].peers.Address())
	restored := func() bool {
		for _, value := range d.storeValues(platform.EntryPrefix) {
			if strings.Contains(string(value), entries[1].peers.Address()) {
				return true
			}
		}
		return false
	}
	d.waitUntil(restored)
}

func TestStoreWatch_OddQuarantinesHaveNoEffect(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	entries := d.startEntries("entry-1", "entry-2")
	now := time.Now().UnixMilli()
	until := now + time.Minute.Milliseconds()
	record := func(part string, from, until int64) []byte {
		value, err := json.Marshal(quarantineRecord{Service: "writer", Part: part, From: from, Until: until})
		assert.NilError(t, err)
		return value
	}
	long := strings.Repeat("p", 40<<10)
	for key, value := range map[string][]byte{
		"empty": {}, "nul": {0}, "deep": []byte(strings.Repeat("[", 20000)), "large": []byte(`{"service":"writer","part":"p","until":1e400}`),
		"float": []byte(`{"service":"writer","part":"p","until":1e300}`), "other/key": record("p", now, until),
	} {
		d.store.Put(platform.QuarantinePrefix+key, value)
	}
	d.store.Put(quarantineKey(quarantine.Part{Service: "writer", ID: long}), record(long, now, until))
	d.store.Put(quarantineKey(quarantine.Part{Service: long, ID: "p"}), []byte(`{"service":"`+long+`","part":"p","until":9223372036854775807}`))
	d.store.Put(quarantineKey(quarantine.Part{Service: "writer", ID: "endless"}), record("endless", -1<<63, 1<<63-1))
	d.store.Put(quarantineKey(quarantine.Part{Service: "writer", ID: "ends first"}), record("ends first", until, now))
	d.store.Put(quarantineKey(quarantine.Part{Service: "writer", ID: "later"}), record("later", now, until))
	for _, g := range entries {
		d.waitWithin(applyTimeout, func() bool { return g.quarantines(quarantine.Part{Service: "writer", ID: "later"}) })
		for _, part := range []quarantine.Part{
			{Service: "writer", ID: "p"}, {Service: "writer", ID: long}, {Service: long, ID: "p"},
			{Service: "writer", ID: "endless"}, {Service: "writer", ID: "ends first"},
		} {
			assert.Assert(t, !g.quarantines(part))
		}
	}
	// What peers report must still fit into a datagram.
	var before uint64
	entries[0].control.do(func() { before = entries[0].control.peerUpdates["entry-2"].Sequence })
	d.waitWithin(applyTimeout, func() bool {
		var now uint64
		entries[0].control.do(func() { now = entries[0].control.peerUpdates["entry-2"].Sequence })
		return now > before+1
	})
}

// Most entries learn of changes from others, in datagrams that large values do not fit into.
func TestStoreSync_OddRegistrationsReachNoEntryAndHideNoOther(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	sound := d.startApplication("a1", "naxos")
	entries := d.startEntries("entry-1", "entry-2", "entry-3")
	d.putOddRegistrations(sound.Config().AdvertisedAddress)
	d.startApplication("a2", "paros")
	d.store.SetFaults(kv.Faults{Outage: true})
	time.Sleep(500 * time.Millisecond)
	d.store.Put(platform.TargetPrefix+"b-later", []byte(`{"Service":"bookings","Address":"127.0.0.1:70000","Zone":"`+strings.Repeat("z", 40<<10)+`"}`))
	d.store.SetFaults(kv.Faults{})
	d.startApplication("a3", "paros")
	for _, g := range entries {
		d.waitUntil(func() bool { return d.knows(g, "a2") && d.knows(g, "a3") })
		assert.Equal(t, g.targetCount(), 3)
		d.expectUnretriedCalls(g, 5)
	}
	d.startApplication("a4", "paros")
	for _, g := range entries {
		d.waitWithin(applyTimeout, func() bool { return d.knows(g, "a4") })
	}
}
