package gateway

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/storesync"
)

const (
	// questionInterval is how often an entry asks another one for changes, unless it is told
	// of some. A relay that fails delays them by one interval.
	questionInterval = 450 * time.Millisecond
	// questionTimeout is how long another entry may take to answer: the slowest link between
	// failure domains and some delay on a busy processor.
	questionTimeout = 150 * time.Millisecond
	// peerDiscoveryTime is how long after its start an entry has heard from all others that
	// are running.
	peerDiscoveryTime = 2 * time.Second
)

// peer is what the store holds about an entry.
type peer struct {
	address       string
	failureDomain string
	// registeredAt is when the entry was first found registered at this address.
	registeredAt time.Time
	// lapsed is set while the store does not hold the registration of an entry that still sends
	// updates, as after an outage in which leases ended.
	lapsed bool
}

// recordChanges adds changes that are now known to those that other entries may ask for.
// relisted is set if the changes before the revision are not known one by one.
func (c *control) recordChanges(items []platform.Item, revision int64, relisted bool) {
	if relisted {
		c.storeLog.Reset(revision)
		return
	}
	changes := make([]storesync.Change, len(items))
	for i, item := range items {
		changes[i] = storesync.Change(item)
	}
	c.storeLog.Append(changes, revision)
}

// syncView returns which entries pass on changes of the store: those that sent updates lately,
// and just after the start all that are registered.
func (c *control) syncView() storesync.View {
	self := c.gateway.settings
	starting := time.Since(c.startedAt) < peerDiscoveryTime
	domains := map[string][]string{self.FailureDomain: {self.Name}}
	for name, p := range c.peers {
		if _, live := c.peerLastSeen[name]; (live || starting) && name != self.Name {
			domains[p.failureDomain] = append(domains[p.failureDomain], name)
		}
	}
	return storesync.NewView(self.Name, self.FailureDomain, domains)
}

// readsStore reports whether this entry reads the store for the others.
func (c *control) readsStore() bool {
	view := c.syncView()
	return view.ReadsStore()
}

// answerQuestion answers another entry's question about the store.
func (c *control) answerQuestion(question peers.SyncQuestion, from netip.AddrPort) {
	freshness := c.currentFreshness()
	answer := peers.SyncAnswer{ID: question.ID}
	answer.Revision = c.storeLog.Revision()
	changes, complete := c.storeLog.Since(question.Revision)
	answer.Changes, answer.Incomplete = changes, !complete
	answer.Age = freshness.Age(bootClock())
	answer.Unavailable = c.registry.StoreUnavailable() || !freshness.HasConfiguration() || c.lastReadFailed && c.readsStore()
	message := peers.Update{Entry: c.gateway.settings.Name, Partial: true, Answer: &answer}
	if _, err := c.gateway.peers.Send(message, []string{from.String()}); err != nil {
		answer.Changes, answer.Incomplete = nil, true
		if _, err := c.gateway.peers.Send(message, []string{from.String()}); err != nil {
			c.gateway.log.Event("peers_not_told", "error", err.Error())
		}
	}
}

// announceChanges tells the entries that ask this one that there are changes.
func (c *control) announceChanges() {
	view := c.syncView()
	c.announce(view.Downstream())
}

// announceAvailability tells all entries that this one reaches the store again, since the ones
// that they ask may not, or that it does not reach it any more.
func (c *control) announceAvailability() { c.announce(slices.Collect(maps.Keys(c.peers))) }

func (c *control) announce(entries []string) {
	answer := peers.SyncAnswer{Answer: storesync.Answer{
		Revision: c.storeLog.Revision(), Unavailable: c.registry.StoreUnavailable(),
	}}
	message := peers.Update{Entry: c.gateway.settings.Name, Partial: true, Answer: &answer}
	if _, err := c.gateway.peers.Send(message, c.addressesOf(entries)); err != nil {
		c.gateway.log.Event("peers_not_told", "error", err.Error())
	}
}

// announcement tells that an entry knows the changes up to a revision.
type announcement struct {
	entry    string
	revision int64
	// unavailable means that the entry does not reach the store.
	unavailable bool
}

// handleSyncAnswer passes an answer or an announcement to the watch on the store. If the watch
// is behind, it asks again later.
func (g *Gateway) handleSyncAnswer(entry string, answer peers.SyncAnswer) {
	if answer.ID == 0 {
		select {
		case g.syncAnnouncements <- announcement{entry: entry, revision: answer.Revision, unavailable: answer.Unavailable}:
		default:
		}
		return
	}
	select {
	case g.syncAnswers <- answer:
	default:
	}
}

// ask asks another entry for changes of the store and applies them. It reports whether the
// entry had usable knowledge.
func (w *storeWatcher) ask(name string) bool {
	g := w.gateway
	address, maxAge := "", time.Duration(0)
	g.control.do(func() {
		c := g.control
		view := c.syncView()
		address, maxAge = c.peers[name].address, view.MaxAge(c.bounds.RevokeWithin.Std())
	})
	w.questionID++
	message := peers.Update{
		Entry: g.settings.Name, Partial: true,
		Question: &peers.SyncQuestion{ID: w.questionID, Revision: w.revision},
	}
	asked := bootClock()
	if _, err := g.peers.Send(message, []string{address}); err != nil {
		return false
	}
	timeout := time.NewTimer(questionTimeout)
	defer timeout.Stop()
	for {
		select {
		case answer := <-g.syncAnswers:
			if answer.ID != w.questionID {
				continue
			}
			if !answer.Usable(maxAge) {
				return false
			}
			w.applyAnswer(answer.Answer, asked)
			return true
		case <-timeout.C:
			return false
		case <-g.background.Done():
			return false
		}
	}
}

// applyAnswer applies the changes in an answer to a question that was sent at the given time.
func (w *storeWatcher) applyAnswer(answer storesync.Answer, asked time.Duration) {
	w.storeAvailable(false)
	items := make([]platform.Item, len(answer.Changes))
	for i, change := range answer.Changes {
		items[i] = platform.Item(change)
	}
	w.applyAll(items)
	w.revision = max(w.revision, answer.Revision)
	w.recordChanges(items)
	w.confirmFreshness(answer.ConfirmedAt(asked))
}

// recordChanges records the changes up to the current revision for other entries. They must be
// recorded before their confirmation: an answer that names the age of the confirmation has to
// hold all changes before it.
func (w *storeWatcher) recordChanges(items []platform.Item) {
	c := w.gateway.control
	c.do(func() {
		c.recordChanges(items, w.revision, false)
		if len(items) > 0 {
			c.announceChanges()
		}
	})
}

// pauseUntilAnnounced waits for d, the end of the process, or the announcement of changes that
// are not known yet; during an outage, the announcement of an entry that reaches the store, and
// otherwise that of one that does not.
func (w *storeWatcher) pauseUntilAnnounced(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case a := <-w.gateway.syncAnnouncements:
			switch {
			case a.unavailable && w.unavailable:
			case a.unavailable:
				w.outageSuspected = true
				return
			case w.unavailable || a.revision > w.revision:
				w.announcer = a.entry
				return
			}
		case <-timer.C:
			return
		case <-w.gateway.background.Done():
			return
		}
	}
}
