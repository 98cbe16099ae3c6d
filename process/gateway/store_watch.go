package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

const (
	// pollEvery is how often the store is asked for changes. Calls are paid for, and
	// each change of a target would wake every entry that waits for one; a second
	// leaves the bounds on configurations and leaving targets another one.
	pollEvery = 900 * time.Millisecond
	// eagerFor is how long after its start an entry waits at the store for changes
	// instead, so that it serves as soon as it can.
	eagerFor = 6 * time.Second
	// eagerWait is how long one such call waits.
	eagerWait = time.Second
	// answerWithin is how long the store may take besides the wait.
	answerWithin = 600 * time.Millisecond
	// gatherFor is the pause after changes while waiting for them, so that one call
	// brings several.
	gatherFor = 200 * time.Millisecond
	// storePause is the least pause after a call that failed, retryEvery the least time
	// between two calls while the store is away: refused calls are paid for as well.
	storePause = 50 * time.Millisecond
	retryEvery = 250 * time.Millisecond
	// awayWithin is how long most calls may take while the store is away, so that its
	// return is seen soon; each third call gets awayLong, in case it is only slow.
	awayWithin = 250 * time.Millisecond
	awayLong   = 900 * time.Millisecond
	// leaseLife is how long an entry that is gone stays registered, keepAliveEvery
	// how often it renews that.
	leaseLife      = 12 * time.Second
	keepAliveEvery = 4 * time.Second
)

// watchStore keeps configuration, targets and entries as the store has them.
func (g *Gateway) watchStore() {
	f := &follower{gateway: g}
	for g.background.Err() == nil {
		begun := time.Now()
		err := f.step()
		if err == nil || g.background.Err() != nil {
			continue
		}
		f.failed(err)
		f.pause(max(storePause, retryEvery-time.Since(begun)))
	}
}

// follower is the state of the watch on the store.
type follower struct {
	gateway *Gateway
	// revision is the one to go on from; zero means that all is to be read.
	revision int64
	// away says that the last call failed, failures counts the failed ones in a row.
	away     bool
	failures int
	// listed says that a configuration and the targets were read once.
	listed bool
}

// within returns how long the store may take for a call besides what it waits.
func (f *follower) within() time.Duration {
	switch {
	case f.failures == 0:
		return answerWithin
	case f.failures%3 == 0:
		return awayLong
	default:
		return awayWithin
	}
}

func (f *follower) step() error {
	if f.revision == 0 {
		return f.list()
	}
	return f.watch()
}

// list reads everything there is.
func (f *follower) list() error {
	g := f.gateway
	ctx, cancel := g.withTimeout(f.within())
	defer cancel()
	sent := bootClock()
	items, revision, err := g.store.Range(ctx, "")
	g.metrics.storeCall("range", err)
	if err != nil {
		return errors.Wrap(err, "list")
	}
	var ids []request.TargetID
	for _, item := range items {
		if id, ok := strings.CutPrefix(item.Key, platform.TargetPrefix); ok {
			ids = append(ids, request.TargetID(id))
		}
	}
	f.returned()
	g.control.do(func() {
		c := g.control
		for _, id := range c.registry.Reconcile(time.Now(), ids) {
			c.deregister(id, "not registered")
		}
		clear(c.peers)
	})
	for _, item := range items {
		f.apply(item)
	}
	f.confirm(sent)
	f.revision = revision
	if !f.listed && g.table.Load() != nil {
		f.listed = true
		close(g.synced)
	}
	g.log.Event("store_listed", "items", len(items), "revision", revision)
	return nil
}

// watch takes up what changed.
func (f *follower) watch() error {
	g := f.gateway
	eager := time.Since(g.control.startedAt) < eagerFor && !f.away
	wait := time.Millisecond
	if eager {
		wait = eagerWait
	}
	ctx, cancel := g.withTimeout(wait + f.within())
	defer cancel()
	sent := bootClock()
	items, revision, err := g.store.Watch(ctx, "", f.revision, wait)
	g.metrics.storeCall("watch", err)
	if errors.Is(err, platform.ErrCompacted) {
		g.log.Event("store_history_gone", "revision", f.revision)
		f.revision = 0
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	f.returned()
	for _, item := range items {
		f.apply(item)
	}
	f.confirm(sent)
	f.revision = max(f.revision, revision)
	if eager {
		f.pause(gatherFor)
	} else {
		f.pause(pollEvery)
	}
	return nil
}

func (f *follower) confirm(sent time.Duration) {
	g := f.gateway
	if g.table.Load() != nil {
		g.control.do(func() { g.control.confirmFreshness(sent) })
	}
}

// returned notes that the store answers.
func (f *follower) returned() {
	g := f.gateway
	f.failures = 0
	if f.away {
		f.away = false
		g.log.Event("store_back", "configurationAge", g.configurationAge())
	}
	g.control.do(func() { g.control.registry.MarkStoreAvailable(time.Now()) })
}

// failed notes that a call to the store failed. Later calls use new connections,
// since the one of before may be silent for good.
func (f *follower) failed(err error) {
	g := f.gateway
	f.failures++
	if !f.away {
		f.away = true
		g.log.Event("store_away", "error", err.Error(),
			"configurationAge", g.configurationAge())
	}
	g.control.do(func() { g.control.registry.MarkStoreUnavailable() })
	g.store.Reconnect()
}

// configurationAge is for logs.
func (g *Gateway) configurationAge() string {
	fresh := g.control.currentFreshness()
	if !fresh.HasConfiguration() {
		return "unknown"
	}
	return fresh.Age(bootClock()).String()
}

func (f *follower) pause(d time.Duration) { pause(f.gateway.background, d) }

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// apply takes up one item. What cannot be read is passed over: the others hold.
func (f *follower) apply(item platform.Item) {
	switch {
	case item.Key == platform.ConfigurationKey:
		if !item.Removed {
			f.applyConfiguration(item)
		}
	case strings.HasPrefix(item.Key, platform.TargetPrefix):
		f.applyTarget(item)
	case strings.HasPrefix(item.Key, platform.EntryPrefix):
		f.applyEntry(item)
	}
}

func (f *follower) applyConfiguration(item platform.Item) {
	g := f.gateway
	document, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		g.log.Event("configuration_unreadable", "revision", item.Revision, "error", err.Error())
		return
	}
	table, err := routes.Compile(document)
	if err != nil {
		g.log.Event("configuration_rejected", "version", document.Version, "error", err.Error())
		return
	}
	if old := g.table.Load(); old != nil && table.Version() <= old.Version() {
		return
	}
	g.table.Store(table)
	g.ingress.use(table.Limits())
	g.control.do(func() { g.control.setEngines(table) })
	g.log.Event("configuration_in_force", "version", table.Version(), "revision", item.Revision, "routes", table.RouteCount())
}

// setEngines tells the placement which services have engines.
func (c *control) setEngines(table *routes.Table) {
	for _, name := range table.Services() {
		memory := 0
		if engine := table.Service(name).Engine; engine != nil {
			memory = engine.KVCapacityTokens
		}
		c.table.SetEngineMemory(name, memory)
	}
}

func (f *follower) applyTarget(item platform.Item) {
	g := f.gateway
	id := request.TargetID(strings.TrimPrefix(item.Key, platform.TargetPrefix))
	if item.Removed {
		g.control.do(func() {
			if g.control.registry.Deregister(time.Now(), id) {
				g.control.deregister(id, "registration removed")
			}
		})
		return
	}
	registration, err := platform.DecodeRegistration(item)
	if err != nil {
		g.log.Event("registration_unreadable", "key", item.Key, "error", err.Error())
		return
	}
	g.control.do(func() { g.control.register(registration) })
}

func (c *control) register(r placement.Registration) {
	c.registry.Register(r.ID)
	old := c.table.Get(r.ID)
	if old == nil || old.Draining != r.Draining || old.Incarnation != r.Incarnation {
		c.gateway.log.Event("target_registered", "target", r.ID, "service", r.Service,
			"failureDomain", r.FailureDomain, "leaving", r.Draining, "incarnation", r.Incarnation)
	}
	c.table.Register(r)
}

// entryRecord is what an entry registers of itself.
type entryRecord struct {
	Peers string `json:"peers"`
}

func (f *follower) applyEntry(item platform.Item) {
	g := f.gateway
	name := strings.TrimPrefix(item.Key, platform.EntryPrefix)
	if item.Removed {
		g.control.do(func() { delete(g.control.peers, name) })
		return
	}
	var record entryRecord
	if err := json.Unmarshal(item.Value, &record); err != nil || record.Peers == "" {
		g.log.Event("entry_unreadable", "key", item.Key)
		return
	}
	g.control.do(func() { g.control.peers[name] = record.Peers })
}

// maintainRegistration keeps this entry registered, so that the others find it.
func (g *Gateway) maintainRegistration() {
	lease := int64(0)
	for g.background.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = g.takeLease()
		} else {
			err = g.keepLease(lease)
			if errors.Is(err, platform.ErrNotFound) {
				lease = 0
				continue
			}
		}
		if err != nil {
			g.log.Event("entry_not_registered", "error", err.Error())
		}
		wait := keepAliveEvery
		if lease == 0 {
			wait = time.Second
		}
		pause(g.background, wait)
	}
}

func (g *Gateway) takeLease() (int64, error) {
	ctx, cancel := g.withTimeout(answerWithin)
	defer cancel()
	lease, err := g.store.GrantLease(ctx, leaseLife)
	g.metrics.storeCall("lease", err)
	if err != nil {
		return 0, errors.Wrap(err, "register")
	}
	value, err := json.Marshal(entryRecord{Peers: g.peers.Address()})
	if err != nil {
		return 0, errors.WithStack(err)
	}
	write := platform.Write{Key: platform.EntryPrefix + g.settings.Name, Value: value, Lease: lease}
	_, err = g.store.Commit(ctx, nil, []platform.Write{write}, nil)
	g.metrics.storeCall("swap", err)
	if err != nil {
		return 0, errors.Wrap(err, "register")
	}
	return lease, nil
}

func (g *Gateway) keepLease(lease int64) error {
	ctx, cancel := g.withTimeout(answerWithin)
	defer cancel()
	err := g.store.KeepAlive(ctx, lease)
	g.metrics.storeCall("keep", err)
	return errors.Wrap(err, "register")
}
