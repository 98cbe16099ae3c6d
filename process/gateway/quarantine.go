package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/quarantine"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// crashConfirmationTime is how long after a response broke off a target that is found
	// down or replaced counts as crashed: the time of a probe on a loaded host.
	crashConfirmationTime = 2 * time.Second
	// crashUpdateCount is how many updates repeat a crash or a survived request, so that it
	// arrives though some updates are lost.
	crashUpdateCount = 3
	// maxSentCrashes and maxSentSurvivals limit them in one update: links are busy just when
	// a failure domain fails, and an update has to fit into a datagram.
	maxSentCrashes   = 8
	maxSentSurvivals = 32
	// maxSentPartBytes limits the IDs of parts in the crashes of one update, and
	// maxSentQuarantined the parts in quarantine; the others follow in later updates.
	maxSentPartBytes   = 4 << 10
	maxSentQuarantined = 32
)

// brokenAttempt is an attempt whose response broke off.
type brokenAttempt struct {
	*attempt
	at time.Time
}

// crashID identifies the crash of one incarnation of a target.
type crashID struct {
	target      request.TargetID
	incarnation request.Incarnation
}

// sentCrash is a crash that updates report.
type sentCrash struct {
	quarantine.Crash
	at    time.Time
	count int
}

// sentSurvival is a survived request that updates report.
type sentSurvival struct {
	startedAt time.Time
	count     int
}

// startResponse records that the target has begun to respond.
func (a *attempt) startResponse() {
	a.responseStartedAt = time.Now()
	a.responseStarted.Store(true)
}

// checkSurvival records that the target survived the request once its response has gone on for
// long enough.
func (a *attempt) checkSurvival() {
	if !a.survived.Load() && time.Since(a.responseStartedAt) >= quarantine.SurvivalPeriod {
		a.recordSurvival()
	}
}

func (a *attempt) recordSurvival() {
	if a.survived.Swap(true) || len(a.exchange.inbound.Parts) == 0 {
		return
	}
	a.exchange.survived.Store(true)
	c := a.exchange.gateway.control
	c.post(func() { c.recordSurvival(a.responseStartedAt, a.exchange.service, a.exchange.inbound.PartIDs()) })
}

// recordSurvival records a survived request. The other entries are told if it may clear a part.
func (c *control) recordSurvival(startedAt time.Time, service string, parts []string) {
	for _, part := range c.quarantine.Suspected(service, parts) {
		c.reportSurvival(quarantine.Survival{Part: part, StartedAt: startedAt})
	}
	c.release(c.quarantine.RecordSurvival(startedAt, service, parts))
}

// release ends the quarantine of parts that were found to be sound.
func (c *control) release(parts []quarantine.Part) {
	for _, part := range parts {
		c.logRelease(part)
		go c.gateway.protect("remove quarantine", func() { c.gateway.removeQuarantine(part) })
	}
}

// releaseByPeer ends the quarantine of a part that another entry found to be sound. That one
// removes the record, unless this entry stores it only afterwards.
func (c *control) releaseByPeer(part quarantine.Part) {
	if _, stored := c.storedParts[part]; stored {
		c.release([]quarantine.Part{part})
		return
	}
	c.logRelease(part)
}

func (c *control) logRelease(part quarantine.Part) {
	delete(c.storedParts, part)
	c.gateway.log.Event("part_released", "service", part.Service, "part", partHash(part.ID))
}

// recordBroken records that the response to an attempt broke off.
func (c *control) recordBroken(a *attempt) {
	if len(a.exchange.inbound.Parts) == 0 {
		return
	}
	c.post(func() {
		if a.brokenRecorded {
			return
		}
		a.brokenRecorded = true
		m, now := a.monitor, time.Now()
		m.forgetBroken(now)
		m.broken = append(m.broken, brokenAttempt{attempt: a, at: now})
		if _, crashed := c.recentCrashes[crashID{a.target.ID, a.target.Incarnation}]; crashed {
			c.recordCrash(a.target.ID)
		}
	})
}

// forgetBroken forgets the attempts that broke off too long ago for a crash.
func (m *targetMonitor) forgetBroken(now time.Time) {
	m.broken = slices.DeleteFunc(m.broken, func(b brokenAttempt) bool { return now.Sub(b.at) > crashConfirmationTime })
}

// recordCrash records the crash of a target that was found down or replaced, if responses of it
// broke off just before. A target that drains may end at any time.
func (c *control) recordCrash(id request.TargetID) {
	t, m := c.table.Get(id), c.monitors[id]
	if t == nil || m == nil || t.IsDraining() {
		return
	}
	now := time.Now()
	m.forgetBroken(now)
	if len(m.broken) == 0 {
		return
	}
	lost := make([]*attempt, 0, len(m.broken)+len(m.attempts))
	for _, b := range m.broken {
		lost = append(lost, b.attempt)
	}
	for a := range m.attempts {
		if !slices.Contains(lost, a) {
			lost = append(lost, a)
		}
	}
	crash := quarantine.Crash{Service: t.Service, Target: id, Incarnation: lost[0].target.Incarnation}
	for _, a := range lost {
		if parts := a.exchange.inbound.PartIDs(); len(parts) > 0 && !a.exchange.survived.Load() {
			crash.Suspects = append(crash.Suspects, quarantine.Suspect{Parts: parts, Started: a.responseStarted.Load() && !a.streaming})
		}
	}
	m.broken = nil
	if len(crash.Suspects) == 0 {
		return
	}
	crash.Limit()
	c.gateway.log.Event("target_crashed", "target", id, "incarnation", crash.Incarnation, "suspects", len(crash.Suspects))
	key := crashID{id, crash.Incarnation}
	crash.Suspects = append(crash.Suspects, c.recentCrashes[key].Suspects...)
	crash.Limit()
	c.recentCrashes[key] = sentCrash{Crash: crash, at: now}
	c.updatePending = true
	c.handleCrash(now, now, crash)
	c.evaluateCrashes(now)
}

// evaluateCrashes quarantines the parts that the known crashes show to be harmful.
func (c *control) evaluateCrashes(now time.Time) {
	records, released := c.quarantine.Evaluate(now)
	for _, survival := range released {
		c.reportSurvival(survival)
		c.release([]quarantine.Part{survival.Part})
	}
	c.quarantineParts(records)
	for _, r := range records {
		c.storedParts[r.Part] = struct{}{}
		go c.gateway.protect("store quarantine", func() { c.gateway.storeQuarantine(r) })
	}
}

// handleCrash evaluates a crash that this or another entry saw.
func (c *control) handleCrash(now, at time.Time, crash quarantine.Crash) {
	c.quarantine.RecordCrash(now, at, crash)
	for _, suspect := range crash.Suspects {
		for _, survival := range c.quarantine.Survivals(now, crash.Service, suspect.Parts) {
			c.reportSurvival(survival)
		}
	}
}

// retractCrash forgets a crash of a target of which a probe sent at the given time found the same
// incarnation.
func (c *control) retractCrash(probedAt time.Time, id request.TargetID, incarnation request.Incarnation) {
	if m := c.monitors[id]; m != nil {
		m.broken = slices.DeleteFunc(m.broken, func(b brokenAttempt) bool { return b.at.Before(probedAt) })
	}
	if sent, ok := c.recentCrashes[crashID{id, incarnation}]; ok && sent.at.Before(probedAt) {
		delete(c.recentCrashes, crashID{id, incarnation})
	}
	for _, survival := range c.quarantine.RetractCrash(time.Now(), probedAt, id, incarnation) {
		c.reportSurvival(survival)
		c.release([]quarantine.Part{survival.Part})
	}
}

// reportSurvival tells the other entries of a survived request.
func (c *control) reportSurvival(s quarantine.Survival) {
	if sent, ok := c.recentSurvivals[s.Part]; ok && !s.StartedAt.After(sent.startedAt) {
		return
	}
	c.recentSurvivals[s.Part] = sentSurvival{startedAt: s.StartedAt}
	c.updatePending = true
}

// quarantineParts ends the attempts that wait with parts that are now in quarantine.
func (c *control) quarantineParts(records []quarantine.Record) {
	now := time.Now()
	for _, r := range records {
		if r.Stored {
			c.trialsDue[r.Part] = now.Add(trialDelay)
		}
		c.updatePending = true
		ended := 0
		for _, m := range c.monitors {
			for a := range m.attempts {
				if !a.streaming && c.endsWaiting(now, a) {
					a.quarantined.Store(true)
					a.cancel()
					ended++
				}
			}
		}
		c.gateway.metrics.partsQuarantined.Add(context.Background(), 1)
		c.gateway.log.Event("part_quarantined", "service", r.Service, "part", partHash(r.ID), "since", time.Since(r.From),
			"for", time.Until(r.Until), "ended", ended)
	}
}

// endsWaiting reports whether an attempt that waits must end because of a quarantine.
func (c *control) endsWaiting(now time.Time, a *attempt) bool {
	e := a.exchange
	if len(e.inbound.Parts) == 0 || e.survived.Load() {
		return false
	}
	_, found := c.quarantine.Find(now, e.service, e.inbound.PartIDs())
	return found
}

// checkQuarantine returns an error if a part of the prompt is in quarantine.
func (e *exchange) checkQuarantine() error {
	if len(e.inbound.Parts) == 0 {
		return nil
	}
	var err error
	c := e.gateway.control
	c.do(func() { err = c.checkQuarantine(e) })
	return err
}

func (c *control) checkQuarantine(e *exchange) error {
	if len(e.inbound.Parts) == 0 || e.survived.Load() {
		return nil
	}
	now, parts := time.Now(), e.inbound.PartIDs()
	r, found := c.quarantine.Find(now, e.service, parts)
	if !found || e.trial != (quarantine.Part{}) {
		return nil
	}
	if _, ok := c.trials[r.Part]; ok && r.Stored {
		others := slices.DeleteFunc(slices.Clone(parts), func(id string) bool { return id == r.ID })
		other, found := c.quarantine.Find(now, e.service, others)
		if !found {
			delete(c.trials, r.Part)
			e.trial = r.Part
			c.gateway.log.Event("quarantine_trial", "request", e.inbound.ID, "part", partHash(r.ID))
			return nil
		}
		r = other
	}
	if due, ok := c.trialsDue[r.Part]; ok && r.Stored && !now.Before(due) {
		delete(c.trialsDue, r.Part)
		go c.gateway.protect("quarantine trial", func() { c.gateway.claimTrial(r) })
	}
	e.quarantinedUntil = r.Until
	c.gateway.log.Event("quarantined", "request", e.inbound.ID, "part", partHash(r.ID), "for", time.Until(r.Until))
	return fault.New(fault.Quarantined, "engines crash on part %d of the prompt", 1+slices.Index(parts, r.ID))
}

// returnTrial lets another request have the trial of a part, if there is one.
func (c *control) returnTrial(part quarantine.Part) {
	if part != (quarantine.Part{}) {
		c.trials[part] = struct{}{}
	}
}

// addQuarantine adds what other entries need to know of crashes and quarantines to an update.
func (c *control) addQuarantine(now time.Time, update *peers.Update) {
	bytes := 0
	for id, sent := range c.recentCrashes {
		if sent.count >= crashUpdateCount {
			if now.Sub(sent.at) > crashConfirmationTime {
				delete(c.recentCrashes, id)
			}
			continue
		}
		size := sent.PartBytes()
		if len(update.Crashes) < maxSentCrashes && bytes+size <= maxSentPartBytes {
			bytes += size
			update.Crashes = append(update.Crashes, peers.Crash{Crash: sent.Crash, Age: now.Sub(sent.at)})
			sent.count++
			c.recentCrashes[id] = sent
		}
	}
	for part, sent := range c.recentSurvivals {
		if sent.count >= crashUpdateCount {
			delete(c.recentSurvivals, part)
			continue
		}
		if len(update.Survivals) < maxSentSurvivals {
			update.Survivals = append(update.Survivals, peers.Survival{Part: part, Age: now.Sub(sent.startedAt)})
			sent.count++
			c.recentSurvivals[part] = sent
		}
	}
	records := c.quarantine.Quarantined(now)
	for _, r := range records[:min(len(records), maxSentQuarantined)] {
		update.Quarantined = append(update.Quarantined, peers.QuarantinedPart{Part: r.Part, Age: now.Sub(r.From), Remaining: r.Until.Sub(now), Stored: r.Stored})
	}
}

// handleQuarantine learns of crashes and quarantines from an update of another entry.
func (c *control) handleQuarantine(now time.Time, update peers.Update) {
	for _, s := range update.Survivals {
		for _, part := range c.quarantine.RecordPeerSurvival(quarantine.Survival{Part: s.Part, StartedAt: now.Add(-s.Age)}) {
			c.releaseByPeer(part)
		}
	}
	for _, crash := range update.Crashes {
		c.handleCrash(now, now.Add(-crash.Age), crash.Crash)
	}
	for _, q := range update.Quarantined {
		r := quarantine.Record{Part: q.Part, From: now.Add(-q.Age), Until: now.Add(q.Remaining), Stored: q.Stored}
		if c.quarantine.Adopt(now, r) {
			c.quarantineParts([]quarantine.Record{r})
			continue
		}
		for _, s := range c.quarantine.Survivals(now, r.Service, []string{r.ID}) {
			if s.StartedAt.After(r.From) {
				// The sender has missed the release.
				c.reportSurvival(s)
			}
		}
	}
}
