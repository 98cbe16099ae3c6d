package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/storesync"
)

// eraLogInterval is the least time between two log lines on responses whose era cannot be used.
const eraLogInterval = 10 * time.Second

// errEarlierEra means that a response of the store was composed before the store went back, and another
// one after that has been received.
var errEarlierEra = errors.New("response of an earlier era of the store")

// storeEras follows the era of the store through all its responses.
type storeEras struct {
	gateway *Gateway

	mu   sync.Mutex
	eras storesync.Eras
	// logged is when a response of each kind was last logged.
	logged map[storesync.EraChange]time.Time
	// began receives a value when a response is the first one of a new era.
	began chan struct{}
}

func newStoreEras(g *Gateway) *storeEras {
	return &storeEras{gateway: g, logged: map[storesync.EraChange]time.Time{}, began: make(chan struct{}, 1)}
}

// Current implements storesync.EraFollower.
func (s *storeEras) Current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eras.Current()
}

// Observe implements storesync.EraFollower.
func (s *storeEras) Observe(era int64, unreadable error) (int64, error) {
	s.mu.Lock()
	before := s.eras.Current()
	change := s.eras.Observe(era, unreadable == nil)
	current := s.eras.Current()
	due := time.Since(s.logged[change]) >= eraLogInterval
	if due {
		s.logged[change] = time.Now()
	}
	s.mu.Unlock()
	g := s.gateway
	switch change {
	case storesync.NewEra:
		g.log.Event("store_era_seen", "era", current, "before", before)
		g.eraSeen(current)
	case storesync.EarlierEra:
		g.metrics.countEraProblem(change)
		if due {
			g.log.Event("store_era_earlier", "era", era, "current", current)
		}
		return era, errEarlierEra
	case storesync.NoEra:
		if current == 0 && errors.Is(unreadable, platform.ErrNoEra) {
			// The store has no eras.
			return current, nil
		}
		g.metrics.countEraProblem(change)
		if due {
			reason := "it is out of range"
			if unreadable != nil {
				reason = unreadable.Error()
			}
			g.log.Event("store_era_unreadable", "current", current, "reason", reason)
		}
	case storesync.SameEra:
	}
	return current, nil
}

// eraSeen acts on the first response of a new era, to whatever call it is: what this entry wrote in
// earlier ones may be gone, and the watch has to read the store, or ask for what is in it.
func (g *Gateway) eraSeen(era int64) {
	g.registration.eraBegan(era, g.registrationDelay())
	select {
	case g.eras.began <- struct{}{}:
	default:
	}
}

// learnEra learns of a new era from another entry that has read the store in it.
func (g *Gateway) learnEra(era int64) {
	if era > g.eras.Current() {
		_, _ = g.eras.Observe(era, nil)
	}
}

// beginEra prepares what is known for the state of the store in a new era, which is applied next. What
// the store does not hold yet, or holds as it was before, is kept while its writers write it again.
func (w *storeWatcher) beginEra(position storesync.Position) {
	g := w.gateway
	g.learnEra(position.Era)
	before := w.position
	g.metrics.eras.Add(g.background, 1)
	g.log.Event("store_era", "before", before.String(), "position", position.String())
	g.control.do(func() { g.control.beginEra(time.Now(), position.Era) })
}

// eraRead ends what beginEra began.
func (w *storeWatcher) eraRead() {
	g := w.gateway
	g.control.do(func() {
		c := g.control
		c.rollouts.EraRead()
		quarantines := c.rewriteQuarantines()
		knowledge := c.registry.Knowledge()
		for _, k := range knowledge[:min(len(knowledge), maxLoggedFields)] {
			g.log.Event("kept_against_copy", "target", k.ID, "incarnation", k.Statement.Incarnation, "removed", k.Removed, "leaving", k.Statement.Draining)
		}
		g.log.Event("store_era_read", "position", c.storeHistory.Position().String(), "configuration", g.configurationVersion(),
			"keptTargets", len(knowledge), "keptOrders", c.rollouts.Held(), "quarantinesWritten", quarantines, "recordsUnwritten", c.rollouts.Unwritten())
	})
}

func (c *control) beginEra(now time.Time, era int64) {
	c.registry.BeginEra(now)
	c.rollouts.BeginEra(now, era)
	c.entriesReturnUntil = now.Add(entryReturnTime)
	c.knowledgeUntil = now.Add(knowledgePeriod)
}

// settleEra ends what was kept against a copy of the store, once everybody has written again.
func (c *control) settleEra(now time.Time) {
	for _, id := range c.registry.TakeConfirmed(now) {
		r, ok := c.withheld[id]
		if ok && c.registry.Confirm(id, statementOf(r)) {
			c.gateway.log.Event("registration_confirmed", "target", id)
			c.use(r)
		}
	}
	if len(c.withheld) > 0 && !c.registry.MayBeCopied(now) {
		clear(c.withheld)
	}
	if c.entriesReturnUntil.IsZero() || now.Before(c.entriesReturnUntil) {
		return
	}
	c.entriesReturnUntil = time.Time{}
	for name, p := range c.peers {
		if p.missing {
			c.lapsePeer(name)
		}
	}
	c.peersChanged()
	c.storeKnownQuarantines()
}

// registrationDelay returns how long this entry waits before it registers in a new era, so that a
// large fleet stays well below the rate of writes that the store takes.
func (g *Gateway) registrationDelay() time.Duration {
	entries := 0
	g.control.do(func() { entries = len(g.control.peers) })
	return storesync.RewriteDelay(g.settings.Name, entries, g.settings.StoreWritesPerSecond)
}

// mayBeCopied reports whether the store may still hold what an older copy held. It must not be called
// on the control goroutine.
func (c *control) mayBeCopied() bool {
	copied := false
	c.do(func() { copied = c.registry.MayBeCopied(time.Now()) })
	return copied
}
