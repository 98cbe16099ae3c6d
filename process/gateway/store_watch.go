package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/transfer"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/process/registry"
	"github.com/mulberrylane/mulberrylane/process/storesync"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

const (
	// pollInterval is how often the store is asked for changes. Calls are paid for, and
	// each change of a target would wake every entry that waits for one. Polling about
	// once a second leaves another second within the bounds on applying a configuration
	// and on sending no more work to a draining target.
	pollInterval = 900 * time.Millisecond
	// slowLinkPollInterval takes the place of pollInterval where a configuration takes long over the link:
	// fewer versions of it gather in one response.
	slowLinkPollInterval = pollInterval / 2
	// minPollPause is the least pause between two reads: a read may take longer than pollInterval.
	minPollPause = 100 * time.Millisecond
	// longPollPeriod is how long after its start an entry uses long polling instead, so
	// that it serves as soon as it can.
	longPollPeriod = 6 * time.Second
	// longPollWait is how long the store may hold one such call.
	longPollWait = 500 * time.Millisecond
	// storeTimeout is how long the store may take until its response to a call begins, not
	// counting longPollWait.
	storeTimeout = 600 * time.Millisecond
	// batchDelay is the pause between long polls, so that one call returns several
	// changes.
	batchDelay = 200 * time.Millisecond
	// minRetryDelay is the least pause after a failed call, retryInterval the least
	// time between two calls during an outage: refused calls are paid for as well.
	minRetryDelay = 50 * time.Millisecond
	retryInterval = 250 * time.Millisecond
	// maxRetryInterval limits that time for entries that are told of the end of an outage;
	// it doubles with each failure, maxRetryDoublings times at most.
	maxRetryInterval  = 4 * time.Second
	maxRetryDoublings = 4
	// outageTimeout is how long the response to most calls may take to begin during an outage, so
	// that its end is seen soon. Every third call may take outageLongTimeout, in case the store
	// is only slow.
	outageTimeout     = 250 * time.Millisecond
	outageLongTimeout = 900 * time.Millisecond
	// minLoggedTransfer is the size from which transfers are logged: more than some hundred registrations.
	minLoggedTransfer = 64 << 10
	// maxLoggedFields limits how many fields of a configuration one line names.
	maxLoggedFields = 8
)

// watchStore keeps configuration, targets and entries up to date with the store until
// the process stops.
func (g *Gateway) watchStore() {
	w := &storeWatcher{gateway: g}
	for g.background.Err() == nil {
		start := time.Now()
		err := errors.New("panic")
		g.protect("store watch", func() { err = w.step() })
		if err == nil || g.background.Err() != nil {
			continue
		}
		w.storeFailed(err)
		w.pauseUntilAnnounced(max(minRetryDelay, w.retryDelay()-time.Since(start)))
	}
}

// storeWatcher is the state of the watch on the store.
type storeWatcher struct {
	gateway *Gateway
	// position is the position in the store to watch from, zero if nothing is known. relist is set
	// when changes do not lead on from there, so that everything has to be listed.
	position storesync.Position
	relist   bool
	// hintedEra is the latest era that another entry knows of. It only makes this one look sooner.
	hintedEra int64
	// wentBackAt is when the store last went back without a new era.
	wentBackAt time.Time
	// unavailable is set when the last call failed, failures counts failed calls in a
	// row.
	unavailable bool
	failures    int
	// listed is set once everything has been listed.
	listed bool
	// synced is set once a configuration and the targets have been read.
	synced bool
	// schedule decides where the next changes come from, reads how they are read from the store.
	schedule storesync.Schedule
	reads    storesync.Reads
	// targetsApart is set while the changes of targets are read apart from all changes.
	targetsApart bool
	// readsStore is set while this entry reads the store for all others.
	readsStore bool
	// nextQuestion is the pause after the last usable answer.
	nextQuestion time.Duration
	// announcer is the entry that last announced changes, until it has been asked for them.
	announcer string
	// outageSuspected is set when another entry announced that it does not reach the store,
	// until this one has read it.
	outageSuspected bool
}

// timeout returns how long the store may take until the response to a call begins, not counting the
// wait of a long poll.
func (w *storeWatcher) timeout() time.Duration {
	switch {
	case w.failures == 0 && !w.outageSuspected:
		return storeTimeout
	case w.failures > 0 && w.failures%3 == 0:
		return outageLongTimeout
	default:
		return outageTimeout
	}
}

// retryDelay returns the time between two reads of the store during an outage. The entry that
// reads it for the others keeps the pace, and tells them when it is available again.
func (w *storeWatcher) retryDelay() time.Duration {
	if w.readsStore {
		return retryInterval
	}
	return min(maxRetryInterval, retryInterval<<min(w.failures, maxRetryDoublings))
}

// mustList reports whether everything has to be listed: nothing is known, or nothing of this era.
func (w *storeWatcher) mustList() bool {
	return w.position.IsZero() || w.relist || w.gateway.eras.Current() > w.position.Era
}

// step gets the next changes: from the store, or from another entry that reads it.
func (w *storeWatcher) step() error {
	var view storesync.View
	w.gateway.control.do(func() { view = w.gateway.control.syncView() })
	w.readsStore = view.ReadsStore()
	known := !w.position.IsZero() && !w.relist
	if announcer := w.announcer; announcer != "" && known {
		w.announcer = ""
		if w.unavailable && w.ask(announcer) == answered {
			return nil
		}
	}
	if known && !w.outageSuspected {
		if name := w.schedule.Next(view); name != "" {
			switch w.ask(name) {
			case answered:
				w.schedule.RecordAnswer()
				w.pauseUntilAnnounced(w.nextQuestion)
			case behind:
				w.schedule.RecordBehind()
				w.pauseUntilAnnounced(behindInterval)
			default:
				w.schedule.RecordNoAnswer()
			}
			return nil
		}
	}
	err := w.read()
	w.outageSuspected = false
	w.schedule.RecordRead(err == nil)
	return err
}

// read reads the store, and waits until it is to be read again.
func (w *storeWatcher) read() error {
	if w.mustList() {
		return w.list()
	}
	start := time.Now()
	var list bool
	w.targetsApart, list = w.reads.Next(w.gateway.configurationSize(), w.gateway.settings.LinkMbps)
	if w.targetsApart {
		if err := w.readTargets(); err != nil {
			return err
		}
	}
	interval := pollInterval
	if w.targetsApart {
		interval = slowLinkPollInterval
	}
	before := w.gateway.configurationVersion()
	defer func() { w.reads.RecordRead(w.gateway.configurationVersion() != before) }()
	if !list {
		return w.poll(start, interval)
	}
	if err := w.list(); err != nil {
		return err
	}
	w.pauseUntilAnnounced(pollPause(start, interval))
	return nil
}

// pollPause returns the pause after a read that began at the given time.
func pollPause(start time.Time, interval time.Duration) time.Duration {
	return max(minPollPause, interval-time.Since(start))
}

// list reads all keys and reconciles the registrations with them.
func (w *storeWatcher) list() error {
	g := w.gateway
	ctx := g.withAllowance(w.timeout(), g.beginReading)
	defer g.endReading()
	sent, asked := bootClock(), time.Now()
	var items []platform.Item
	var position storesync.Position
	err := w.call("list", func() (err error) { items, position, err = g.store.Range(ctx, ""); return err })
	g.metrics.countStoreCall("range", err)
	if err != nil {
		return errors.Wrap(err, "list")
	}
	wentBack := !w.position.IsZero() && (position.Era > w.position.Era || w.position.After(position))
	if wentBack {
		w.beginEra(position)
	}
	w.storeAvailable(true)
	g.control.do(func() { g.control.removeUnlisted(time.Now(), items) })
	w.applyAll(items)
	g.registration.observeList(asked, g.registrationKey(), items, position)
	g.control.do(func() {
		g.control.peersChanged()
		g.control.removeRollouts(items, position)
		g.control.storeHistory.List(changesOf(items), position)
	})
	w.position, w.relist, w.listed = position, false, true
	if wentBack {
		w.eraRead()
	}
	if !w.synced {
		w.learnFromPeers()
	}
	w.confirmFreshness(sent)
	if !w.synced && g.table.Load() != nil {
		w.synced = true
		close(g.synced)
	}
	g.log.Event("store_listed", "items", len(items), "revision", position.Revision, "era", position.Era)
	if wentBack {
		g.control.do(g.control.announceChanges)
	}
	return nil
}

// removeUnlisted removes the targets and entries that the store does not list.
func (c *control) removeUnlisted(now time.Time, items []platform.Item) {
	var ids []request.TargetID
	entries := map[string]bool{}
	for _, item := range items {
		if id, ok := strings.CutPrefix(item.Key, platform.TargetPrefix); ok {
			ids = append(ids, request.TargetID(id))
		}
		if name, ok := strings.CutPrefix(item.Key, platform.EntryPrefix); ok {
			entries[name] = true
		}
	}
	for _, id := range c.registry.Reconcile(now, ids) {
		c.deregister(id, "not registered")
	}
	for name := range c.peers {
		if !entries[name] {
			c.lapsePeer(name)
		}
	}
}

// call makes a call to the store. Where a configuration takes long over the link, the changes of targets are
// read all the while.
func (w *storeWatcher) call(what string, call func() error) error {
	if !w.targetsApart {
		return call()
	}
	result := make(chan error, 1)
	go func() {
		err := errors.New("panic")
		defer func() { result <- err }()
		w.gateway.protect(what, func() { err = call() })
	}()
	ticker := time.NewTicker(slowLinkPollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-result:
			return err
		case <-ticker.C:
			// If this fails, so does the other call, or it makes progress.
			_ = w.readTargets()
		}
	}
}

// readTargets reads and applies the changes of targets ahead of all others. They count as known only once the
// others are. What keeps the changes from being read shows in the read of all.
func (w *storeWatcher) readTargets() error {
	g := w.gateway
	items, _, err := g.store.Watch(g.withAllowance(w.timeout(), nil), platform.TargetPrefix, w.position, time.Millisecond)
	g.metrics.countStoreCall("watch", err)
	switch {
	case errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrTooLong) || errors.Is(err, platform.ErrOtherEra):
		return nil
	case err != nil:
		return errors.Wrap(err, "watch targets")
	}
	w.storeAvailable(true)
	items = itemsOf(storesync.Latest(changesOf(items)))
	w.applyAll(items)
	w.recordChanges(items)
	return nil
}

// poll reads and applies what changed since the known position, in a read that began at the given time.
func (w *storeWatcher) poll(start time.Time, interval time.Duration) error {
	g := w.gateway
	longPoll := time.Since(g.control.startedAt) < longPollPeriod && !w.unavailable && w.readsStore && !g.settings.FirstStart
	wait := time.Millisecond
	if longPoll {
		wait = longPollWait
	}
	if err := w.readChanges(wait); err != nil || w.relist {
		return err
	}
	if longPoll {
		w.pause(batchDelay)
	} else {
		w.pauseUntilAnnounced(pollPause(start, interval))
	}
	return nil
}

// readChanges reads and applies what changed since the known position, or finds that everything has to be
// listed. The store may wait for changes.
func (w *storeWatcher) readChanges(wait time.Duration) error {
	g := w.gateway
	ctx := g.withAllowance(wait+w.timeout(), g.beginReading)
	defer g.endReading()
	sent := bootClock()
	var items []platform.Item
	var position storesync.Position
	err := w.call("watch", func() (err error) { items, position, err = g.store.Watch(ctx, "", w.position, wait); return err })
	g.metrics.countStoreCall("watch", err)
	switch {
	case errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrTooLong) || errors.Is(err, platform.ErrOtherEra):
		g.log.Event("store_history_gone", "position", w.position.String(), "reason", err.Error())
		w.relist = true
		return nil
	case err != nil:
		return errors.Wrap(err, "watch")
	case w.position.After(position) && time.Since(w.wentBackAt) > eraLogInterval:
		// A store without eras has gone back.
		g.log.Event("store_revision_back", "position", w.position.String(), "found", position.String())
		w.relist, w.wentBackAt = true, time.Now()
		return nil
	}
	items = itemsOf(storesync.Latest(changesOf(items)))
	w.storeAvailable(true)
	w.applyAll(items)
	items = slices.DeleteFunc(items, isOrigin)
	w.advance(position)
	w.recordChanges(items)
	w.confirmFreshness(sent)
	return nil
}

// advance takes over a position up to which changes have been applied.
func (w *storeWatcher) advance(position storesync.Position) {
	if position.After(w.position) {
		w.position = position
	}
}

func (w *storeWatcher) confirmFreshness(sent time.Duration) {
	g := w.gateway
	if g.table.Load() != nil {
		g.control.do(func() { g.control.confirmFreshness(sent) })
	}
}

// storeAvailable records that the store responded, to this entry if ownRead is set.
func (w *storeWatcher) storeAvailable(ownRead bool) {
	g := w.gateway
	w.failures = 0
	if w.unavailable {
		w.unavailable = false
		g.log.Event("store_back", "configurationAge", g.configurationAge())
	}
	g.control.do(func() {
		g.control.lastReadFailed = g.control.lastReadFailed && !ownRead
		if g.control.registry.MarkStoreAvailable(time.Now()) && ownRead {
			g.control.announceAvailability()
		}
	})
}

// storeFailed records that a call to the store failed. Later calls use new connections,
// because the old one may be silent for good.
func (w *storeWatcher) storeFailed(err error) {
	g := w.gateway
	w.failures++
	if !w.unavailable {
		w.unavailable = true
		g.log.Event("store_away", "error", err.Error(),
			"configurationAge", g.configurationAge())
	}
	g.control.do(func() {
		g.control.registry.MarkStoreUnavailable()
		if !g.control.lastReadFailed && w.readsStore {
			g.control.announceAvailability()
		}
		g.control.lastReadFailed = true
	})
	g.store.Reconnect()
}

// withAllowance returns a context for reads that ends when the process stops. A response must begin within
// toBegin, and then make progress. onProgress is called as it does, unless it is nil.
func (g *Gateway) withAllowance(toBegin time.Duration, onProgress func()) context.Context {
	return transfer.WithAllowance(g.background, func(bytes int) time.Duration {
		if bytes > 0 && onProgress != nil {
			onProgress()
		}
		return storesync.TransferTime(toBegin, bytes)
	})
}

// beginReading records that a response of the store is arriving. It is applied when endReading is called.
func (g *Gateway) beginReading() { g.reading.Store(true) }

func (g *Gateway) endReading() { g.reading.Store(false) }

// observeExchange records what a call to the store cost. Large responses are logged: how long they take
// grows with the load of the link.
func (g *Gateway) observeExchange(e transfer.Exchange) {
	g.metrics.recordStoreBytes(e.Path, e.Bytes, e.Complete)
	if e.Bytes >= minLoggedTransfer {
		g.log.Event("store_transfer", "call", e.Path, "bytes", e.Bytes, "toHead", e.ToHead, "toEnd", e.ToEnd, "complete", e.Complete)
	}
}

// configurationAge returns the age of the configuration for logs.
func (g *Gateway) configurationAge() string {
	freshness := g.control.currentFreshness()
	if !freshness.HasConfiguration() {
		return "unknown"
	}
	return freshness.Age(bootClock()).String()
}

func (w *storeWatcher) pause(d time.Duration) { pause(w.gateway.background, d) }

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// applyAll applies items. One whose processing panics is skipped.
func (w *storeWatcher) applyAll(items []platform.Item) {
	for _, item := range items {
		w.gateway.protect("item "+item.Key, func() { w.apply(item) })
	}
}

// apply applies one item. Invalid items are skipped, so that the others still apply.
func (w *storeWatcher) apply(item platform.Item) {
	switch {
	case item.Key == platform.ConfigurationKey:
		if !item.Removed {
			w.applyConfiguration(item)
		}
	case strings.HasPrefix(item.Key, platform.TargetPrefix):
		w.applyTarget(item)
	case strings.HasPrefix(item.Key, platform.EntryPrefix):
		w.applyEntry(item)
	case isOrigin(item):
		w.applyOrigins(item)
	case strings.HasPrefix(item.Key, platform.QuarantinePrefix):
		if !item.Removed {
			w.applyQuarantine(item)
		}
	default:
		w.applyRollout(item)
	}
}

func (w *storeWatcher) applyConfiguration(item platform.Item) {
	g := w.gateway
	started := time.Now()
	document, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		g.log.Event("configuration_unreadable", "revision", item.Revision, "error", err.Error())
		return
	}
	if g.adoptConfiguration(document, item.Value, item.Revision) {
		g.log.Event("configuration_applied", "version", document.Version, "bytes", len(item.Value), "took", time.Since(started))
	}
}

// adoptConfiguration makes a configuration the one in force, unless it is older than that, or invalid.
// revision is that of its key in the store, zero if it was learned from another entry.
func (g *Gateway) adoptConfiguration(document routes.Document, value []byte, revision int64) bool {
	g.configurationMu.Lock()
	defer g.configurationMu.Unlock()
	table, err := routes.Compile(document)
	if err != nil {
		g.log.Event("configuration_rejected", "version", document.Version, "error", err.Error())
		return false
	}
	if old := g.table.Load(); old != nil && table.Version() <= old.Version() {
		if table.Version() < old.Version() && g.control.mayBeCopied() {
			g.log.Event("kept_against_copy", "configuration", old.Version(), "found", table.Version())
		}
		return false
	}
	g.table.Store(table)
	g.configuration.Store(&value)
	g.storeAnswers.addDocument(value)
	g.ingress.applyLimits(table.Limits())
	g.control.do(func() { g.control.setServices(table) })
	if names := table.OutOfBounds(); len(names) > 0 {
		g.log.Event("configuration_out_of_bounds", "version", table.Version(), "count", len(names), "fields", strings.Join(names[:min(len(names), maxLoggedFields)], ", "))
	}
	g.log.Event("configuration_in_force", "version", table.Version(), "revision", revision, "routes", table.RouteCount())
	g.control.do(func() { g.control.updateSuperseded() })
	return true
}

// configurationSize returns the size of the configuration in force in bytes.
func (g *Gateway) configurationSize() int {
	if value := g.configuration.Load(); value != nil {
		return len(*value)
	}
	return 0
}

// setServices passes the services and the KV capacity of their engines to the placement table.
func (c *control) setServices(table *routes.Table) {
	for _, name := range table.Services() {
		memory := 0
		if engine := table.Service(name).Engine; engine != nil {
			memory = engine.KVCapacityTokens
		}
		c.table.SetEngineMemory(name, memory)
	}
	c.table.SetServices(table.Services())
}

func (w *storeWatcher) applyTarget(item platform.Item) {
	g := w.gateway
	id := request.TargetID(strings.TrimPrefix(item.Key, platform.TargetPrefix))
	if item.Removed {
		g.control.do(func() {
			delete(g.control.withheld, id)
			if g.control.registry.Deregister(time.Now(), id) {
				g.control.deregister(id, "registration removed")
			}
		})
		return
	}
	registration, err := platform.DecodeRegistration(item)
	if err != nil {
		suspended := false
		g.control.do(func() { suspended = g.control.table.Suspend(id) })
		g.log.Event("registration_unreadable", "key", item.Key, "error", err.Error(), "tookWork", suspended)
		return
	}
	g.control.do(func() { g.control.register(registration) })
}

// register uses a registration, unless it is that of a copy from which the store came back, and the
// target is known to have said something else since.
func (c *control) register(r placement.Registration) {
	if !c.registry.Admit(time.Now(), r.ID, statementOf(r)) {
		c.withheld[r.ID] = r
		return
	}
	delete(c.withheld, r.ID)
	c.use(r)
}

// statementOf returns what a target says of itself in a registration.
func statementOf(r placement.Registration) registry.Statement {
	return registry.Statement{Incarnation: r.Incarnation, Sequence: r.Sequence, Draining: r.Draining}
}

// use adds or updates a target.
func (c *control) use(r placement.Registration) {
	old := c.table.Get(r.ID)
	changed := old == nil || old.Draining != r.Draining || old.Incarnation != r.Incarnation
	switch {
	case c.table.Register(r) == nil:
		c.gateway.log.Event("registration_undeclared", "target", r.ID, "service", r.Service)
	case changed:
		c.gateway.log.Event("target_registered", "target", r.ID, "service", r.Service,
			"failureDomain", r.FailureDomain, "leaving", r.Draining, "incarnation", r.Incarnation)
	}
}

func (w *storeWatcher) applyEntry(item platform.Item) {
	g := w.gateway
	name := strings.TrimPrefix(item.Key, platform.EntryPrefix)
	if name == g.settings.Name {
		g.registration.observeChange(item)
	}
	if item.Removed {
		g.control.do(func() {
			g.control.lapsePeer(name)
			g.control.peersChanged()
		})
		return
	}
	record, err := decodeEntry(name, item.Value)
	if err != nil {
		g.log.Event("entry_unreadable", "key", item.Key, "error", err.Error())
		return
	}
	g.control.do(func() {
		g.control.registerPeer(time.Now(), name, record)
		g.control.peersChanged()
	})
}
