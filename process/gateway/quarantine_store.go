package gateway

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/quarantine"
)

const (
	// quarantineStoreAttempts is how often an entry tries to store a quarantine, and
	// quarantineStoreInterval the time between two tries: as long as an outage of the store
	// lasts.
	quarantineStoreAttempts = 10
	quarantineStoreInterval = 2 * time.Second
	// maxQuarantineLease is the longest lease that the store grants.
	maxQuarantineLease = 10 * time.Minute
	// maxQuarantineSpan is the longest time from the first crash to the end of a quarantine
	// that a stored record may name.
	maxQuarantineSpan = 24 * time.Hour
)

// quarantineRecord is the value under which a quarantine is stored, for entries that start when
// no other is left. The times are in Unix milliseconds.
type quarantineRecord struct {
	Service string `json:"service"`
	Part    string `json:"part"`
	From    int64  `json:"from"`
	Until   int64  `json:"until"`
}

// quarantineKey returns the key of a part. It holds hashes because the IDs are the callers'.
func quarantineKey(part quarantine.Part) string {
	return platform.QuarantinePrefix + partHash(part.Service) + "/" + partHash(part.ID)
}

// storeQuarantine stores a quarantine until its end, or for the longest lease.
func (g *Gateway) storeQuarantine(r quarantine.Record) {
	stored := g.retryStore("quarantine_not_stored", r.Part, true, func() error {
		err := g.tryStoreQuarantine(r)
		if errors.Is(err, platform.ErrConflict) {
			return nil
		}
		return err
	})
	if stored && !g.quarantines(r.Part) {
		// It was released while it was being stored.
		g.removeQuarantine(r.Part)
	}
}

// retryStore tries to change the record of a part until it succeeds, the part no longer is, or
// is not, in quarantine as wanted, or an outage of the store lasts too long.
func (g *Gateway) retryStore(event string, part quarantine.Part, wanted bool, change func() error) bool {
	for range quarantineStoreAttempts {
		err := change()
		if err == nil {
			return true
		}
		g.log.Event(event, "part", partHash(part.ID), "error", err.Error())
		pause(g.background, quarantineStoreInterval)
		if g.background.Err() != nil || g.quarantines(part) != wanted {
			return false
		}
	}
	return false
}

func (g *Gateway) tryStoreQuarantine(r quarantine.Record) error {
	ctx, cancel := g.withStoreTimeout()
	defer cancel()
	lease, err := g.store.GrantLease(ctx, min(time.Until(r.Until), maxQuarantineLease))
	g.metrics.countStoreCall("lease", err)
	if err != nil {
		return errors.Wrap(err, "store quarantine")
	}
	value, err := json.Marshal(quarantineRecord{
		Service: r.Service, Part: r.ID, From: r.From.UnixMilli(), Until: r.Until.UnixMilli(),
	})
	if err != nil {
		return errors.WithStack(err)
	}
	key := quarantineKey(r.Part)
	_, err = g.store.Commit(ctx, lease.Era, []platform.Condition{{Key: key}}, []platform.Write{{Key: key, Value: value, Lease: lease}}, nil)
	g.metrics.countStoreCall("swap", err)
	return errors.Wrap(err, "store quarantine")
}

// removeQuarantine removes the record of a part that an engine has survived. If that fails, the
// record ends with its lease, and an engine that survives the part releases it again.
func (g *Gateway) removeQuarantine(part quarantine.Part) {
	g.retryStore("quarantine_not_removed", part, false, func() error {
		ctx, cancel := g.withStoreTimeout()
		defer cancel()
		_, err := g.store.Commit(ctx, 0, nil, nil, []string{quarantineKey(part)})
		g.metrics.countStoreCall("swap", err)
		return errors.WithStack(err)
	})
}

// quarantines reports whether a part is in quarantine.
func (g *Gateway) quarantines(part quarantine.Part) bool {
	found := false
	g.control.do(func() { _, found = g.control.quarantine.Find(time.Now(), part.Service, []string{part.ID}) })
	return found
}

// applyQuarantine adopts a stored quarantine. The end of the record does not end the quarantine,
// since leases may expire during an outage of the store.
func (w *storeWatcher) applyQuarantine(item platform.Item) {
	g := w.gateway
	now := time.Now()
	r, err := decodeQuarantine(now, item)
	if err != nil {
		g.log.Event("quarantine_unreadable", "key", item.Key, "error", err.Error())
		return
	}
	g.control.do(func() {
		c := g.control
		switch {
		case c.quarantine.Adopt(now, r):
			c.quarantineParts([]quarantine.Record{r})
		case c.registry.MayBeCopied(now) && c.quarantine.Released(now, r) && c.readsStore():
			// The store came back from a copy that is older than the release.
			g.log.Event("kept_against_copy", "released", partHash(r.ID))
			go g.protect("remove quarantine", func() { g.removeQuarantine(r.Part) })
		}
	})
}

// trialKey returns the key of the trial of a part.
func trialKey(part quarantine.Part) string {
	return platform.TrialPrefix + partHash(part.Service) + "/" + partHash(part.ID)
}

// rewriteQuarantines writes again what this entry stored and the store does not hold since it came back
// from an older copy, and returns how many quarantines that are.
func (c *control) rewriteQuarantines() int {
	now, count := time.Now(), 0
	for part := range c.storedParts {
		if r, ok := c.quarantine.Find(now, part.Service, []string{part.ID}); ok && r.Part == part && c.rewriteQuarantine(r) {
			count++
		}
	}
	for part, until := range c.claimedTrials {
		if !now.Before(until) {
			delete(c.claimedTrials, part)
			continue
		}
		if !c.storeHistory.Holds(trialKey(part)) {
			go c.gateway.protect("store trial", func() { c.gateway.rewriteTrial(part, until) })
		}
	}
	return count
}

// storeKnownQuarantines writes the quarantines that the store does not hold though entries have had the
// time to write theirs again: those that stored them have ended.
func (c *control) storeKnownQuarantines() {
	if !c.readsStore() {
		return
	}
	for _, r := range c.quarantine.Quarantined(time.Now()) {
		c.rewriteQuarantine(r)
	}
}

// rewriteQuarantine writes a quarantine unless the store holds it, and reports whether it does.
func (c *control) rewriteQuarantine(r quarantine.Record) bool {
	if c.storeHistory.Holds(quarantineKey(r.Part)) {
		return false
	}
	c.gateway.log.Event("written_again", "quarantine", partHash(r.ID))
	go c.gateway.protect("store quarantine", func() { c.gateway.storeQuarantine(r) })
	return true
}

// rewriteTrial writes again that this entry has claimed the trial of a part. Another one may have
// claimed it since.
func (g *Gateway) rewriteTrial(part quarantine.Part, until time.Time) {
	ctx, cancel := g.withStoreTimeout()
	defer cancel()
	lease, err := g.store.GrantLease(ctx, min(time.Until(until), maxQuarantineLease))
	g.metrics.countStoreCall("lease", err)
	if err == nil {
		write := platform.Write{Key: trialKey(part), Value: []byte(g.settings.Name), Lease: lease}
		_, err = g.store.Commit(ctx, lease.Era, []platform.Condition{{Key: write.Key}}, []platform.Write{write}, nil)
		g.metrics.countStoreCall("swap", err)
	}
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		g.log.Event("quarantine_trial_not_claimed", "part", partHash(part.ID), "error", err.Error())
	}
}

// decodeQuarantine decodes a stored quarantine. Other writers may leave anything there.
func decodeQuarantine(now time.Time, item platform.Item) (quarantine.Record, error) {
	var record quarantineRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return quarantine.Record{}, errors.New("the value is not a record")
	}
	part := quarantine.Part{Service: record.Service, ID: record.Part}
	from, until := time.UnixMilli(record.From), time.UnixMilli(record.Until)
	switch {
	case !part.Valid():
		return quarantine.Record{}, errors.New("invalid part")
	case item.Key != quarantineKey(part):
		return quarantine.Record{}, errors.New("the key is that of another part")
	case record.From <= 0 || until.Before(from) || until.Sub(from) > maxQuarantineSpan:
		return quarantine.Record{}, errors.Errorf("invalid times %d to %d", record.From, record.Until)
	}
	return quarantine.Record{
		Part: part,
		// The clock of the entry that wrote the record may be ahead.
		From:  now.Add(-max(0, now.Sub(from))),
		Until: now.Add(until.Sub(now)),
		// What this entry or a peer found itself stays so.
		Stored: true,
	}, nil
}

// trialDelay is how long after a quarantine was found in the store its trial may be claimed: by
// then entries that have evidence have reported it. It is also the time between two tries.
const trialDelay = 3 * updateInterval

// claimTrial claims the only trial of a quarantine that is known from the store alone, for one
// request with the part. The part may have been released since, and without a trial no request
// would show that it is sound. An entry claims it when it has such requests.
func (g *Gateway) claimTrial(r quarantine.Record) {
	ctx, cancel := g.withStoreTimeout()
	defer cancel()
	lease, err := g.store.GrantLease(ctx, min(time.Until(r.Until), maxQuarantineLease))
	g.metrics.countStoreCall("lease", err)
	if err == nil {
		key := trialKey(r.Part)
		_, err = g.store.Commit(ctx, lease.Era, []platform.Condition{{Key: key}}, []platform.Write{{Key: key, Value: []byte(g.settings.Name), Lease: lease}}, nil)
		g.metrics.countStoreCall("swap", err)
	}
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) {
			g.log.Event("quarantine_trial_not_claimed", "part", partHash(r.ID), "error", err.Error())
			g.control.post(func() { g.control.trialsDue[r.Part] = time.Now().Add(trialDelay) })
		}
		return
	}
	g.control.post(func() {
		g.control.trials[r.Part] = struct{}{}
		g.control.claimedTrials[r.Part] = r.Until
	})
}
