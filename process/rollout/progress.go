package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/process/storesync"
)

const (
	// ageUncertainty is how long after its writing an order may be seen first: entries read the
	// store about once a second.
	ageUncertainty = time.Second
	// leadTime is the time that is left for all entries to learn of a record, and once more for
	// the last transaction. Records travel in peer updates within a few hundred milliseconds.
	leadTime = time.Second
	// minDrainTime is the least time that is left for what runs on old versions to end.
	minDrainTime = 300 * time.Millisecond
	// maxStepTime limits the length of a step of the ramp, to which the usual time of a response is
	// added: each step costs a part of what a bad version may get.
	maxStepTime = 2 * time.Second
	// movedTime is the least time between the move and the end, in which a version that fails under
	// the whole load is found; it runs while entries learn of the move.
	movedTime = 1200 * time.Millisecond
	// canaryTime is the least time of the canary.
	canaryTime = 2 * time.Second
	// shortPart is the part of a roll-out's duration that each of these times may have at most,
	// so that they fit into short ones; stepPart is that of a step.
	shortPart = 0.1
	stepPart  = 0.05
	// closeDelay is how long nothing must have run on old versions before an entry promises to send
	// nothing there: a stream that is between two attempts is counted by then.
	closeDelay = 100 * time.Millisecond
	// peerWait is how long an entry that starts waits for peers that know the age of an order.
	peerWait = 1500 * time.Millisecond
	// takeoverDelay is how long an entry waits for each one that is preferred to it.
	takeoverDelay = time.Second
	// maxTakeovers limits how many it waits for.
	maxTakeovers = 6
	// lastSuspicion is for how long a version must have been suspected at the time limit to be
	// rolled back then.
	lastSuspicion = 2 * time.Second
	// manyBad is by how many bad responses a version may be suspected for at most half the time
	// within which it must get no more requests after its 50th. Some of the 50 would have come from
	// the old version too; the other half of the time is for their reports.
	manyBad = 40
	// conflictDelay is how long a change whose condition did not hold is not tried again: changes
	// of the store are known within two seconds.
	conflictDelay = 2500 * time.Millisecond
	// minWriteDelay is how long after a failure a change is tried again. It doubles up to
	// maxWriteDelay.
	minWriteDelay = 250 * time.Millisecond
	maxWriteDelay = 4 * time.Second
)

// minStepTimes are the least lengths of the steps of the ramp. In the first one, replicas carry
// their whole load for the first time; what shows there is known to all entries a second later.
var minStepTimes = [len(rampShares)]time.Duration{1700 * time.Millisecond, 800 * time.Millisecond}

// View is what an entry knows about the other entries and the targets.
type View struct {
	// Entries lists the entries that were heard lately, this one included, Registered all that are
	// registered in the store.
	Entries, Registered []string
	// StoreUnavailable is set during an outage of the store.
	StoreUnavailable bool
	// Services describes the services with roll-outs.
	Services map[string]ServiceView
}

// ServiceView is what an entry knows about the targets of a service.
type ServiceView struct {
	// Replicas counts the usable replicas, Running what runs at this entry, by version.
	Replicas, Running map[string]int
	// Longest is the longest time for which a request of the service has run here.
	Longest time.Duration
}

// Change is a transaction: the record, and the status if set, are written if the keys of the order,
// the record and the status were last changed at these revisions of the era; zero means that there is
// no such key.
type Change struct {
	Service                                       string
	Era                                           int64
	OrderRevision, RecordRevision, StatusRevision int64
	Record                                        Record
	Status                                        *Status
	Reason                                        string
}

// write is what an entry does about the next change.
type write struct {
	inFlight bool
	// wanted is the record that is due since wantedSince.
	wanted      Record
	wantedSince time.Time
	// retryAt is when the change may be tried again after failures in a row.
	retryAt  time.Time
	failures int
}

// settle forgets failures, because the store has changed.
func (w *write) settle() { w.retryAt, w.failures = time.Time{}, 0 }

// Services returns the services whose targets Step has to know.
func (t *Tracker) Services() []string {
	var names []string
	for service, r := range t.services {
		if r.order.Version != "" || r.running() {
			names = append(names, service)
		}
	}
	slices.Sort(names)
	return names
}

// Step compares the versions and returns the transactions that this entry should try now. Each is
// in progress until Committed or Failed is called.
func (t *Tracker) Step(now, wallClock time.Time, view View) []Change {
	if !t.Active() {
		return nil
	}
	t.settle(now)
	var changes []Change
	for _, service := range t.Services() {
		r := t.services[service]
		r.observe(view.Services[service])
		r.learnAge(now, wallClock)
		r.compareVersions(now, t.limits.RollbackWithin)
		r.updatePromise(now, t.share(r))
		if change, ok := t.due(now, wallClock, r, view); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// observe takes over what is known of the targets.
func (r *rollout) observe(view ServiceView) {
	version, baseline := r.record.Version, r.record.Baseline
	if !r.recorded() && r.order.Version != "" {
		version, baseline = r.order.Version, r.registered
	}
	r.newReplicas, r.oldReplicas, r.runningOld = view.Replicas[version], 0, 0
	for other, count := range view.Replicas {
		if other != version {
			r.oldReplicas += count
		}
	}
	for _, old := range baseline {
		if old != version {
			r.runningOld += view.Running[old]
		}
	}
	r.longest = max(r.longest, view.Longest)
	if r.order.Listed && !r.recorded() || len(r.registered) == 0 {
		for other := range view.Replicas {
			r.registered = with(r.registered, other)
		}
		slices.Sort(r.registered)
	}
}

// learnAge learns the age of an order that was there when this entry started: from peers that saw
// it before, or if there are none, from the start time in the record. The clock of the entry that
// wrote it may differ; a wrong age changes when the ramp starts, and no bound.
func (r *rollout) learnAge(now, wallClock time.Time) {
	if r.ageKnown || now.Sub(r.learnedAt) < peerWait {
		return
	}
	r.ageKnown = true
	if !r.recorded() {
		return
	}
	if age := wallClock.Sub(time.UnixMilli(r.record.StartedAt)); age > 0 && age <= maxAge {
		r.seenAt = now.Add(-age)
	}
}

// compareVersions ends a slice of time and judges the new version by it.
func (r *rollout) compareVersions(now time.Time, rollbackWithin time.Duration) {
	if !r.running() || !r.recorded() || r.rejected != "" || now.Before(r.evidence.sliceEnds) {
		return
	}
	r.evidence.sliceEnds = now.Add(sliceTime)
	r.evidence.endSlice(r.total())
	before := r.suspected
	var excess float64
	if r.rejected, r.suspected, excess = r.evidence.judge(); r.suspected && !before {
		r.suspectedSince = now
	}
	if excess < manyBad {
		r.manyBadSince = time.Time{}
		return
	}
	if r.manyBadSince.IsZero() {
		r.manyBadSince = now
	}
	if r.rejected == "" && rollbackWithin > 0 && now.Sub(r.manyBadSince) >= rollbackWithin/2 {
		r.rejected = "suspected after many bad responses"
	}
}

// updatePromise promises the other entries to send nothing to old versions any more, or takes that
// back if the new one turns out to be bad.
func (r *rollout) updatePromise(now time.Time, share float64) {
	if !r.recorded() || r.record.Stage != Moved || share < 1 || r.runningOld > 0 {
		r.closed, r.idleSince = false, time.Time{}
		return
	}
	if r.idleSince.IsZero() {
		r.idleSince = now
	}
	r.closed = r.closed || now.Sub(r.idleSince) >= closeDelay
}

// due returns the change that this entry should try now.
func (t *Tracker) due(now, wallClock time.Time, r *rollout, view View) (Change, bool) {
	change, ok := t.next(now, wallClock, r, view)
	w := &r.write
	if !ok {
		w.wantedSince = time.Time{}
		return Change{}, false
	}
	next := change.Record
	if same := w.wanted.Order == next.Order && w.wanted.Stage == next.Stage && w.wanted.Step == next.Step; !same || w.wantedSince.IsZero() {
		w.wanted, w.wantedSince = next, now
	}
	if w.inFlight || t.reading || r.pending != nil || view.StoreUnavailable || now.Before(w.retryAt) ||
		now.Sub(w.wantedSince) < time.Duration(t.rank(r.service, view.Entries))*takeoverDelay {
		return Change{}, false
	}
	w.inFlight = true
	change.Service = r.service
	change.Era = t.era
	change.OrderRevision, change.RecordRevision, change.StatusRevision = r.orderPosition.Revision, r.recordPosition.Revision, r.statusPosition.Revision
	return change, true
}

// rank returns how many entries are preferred to this one for the service.
func (t *Tracker) rank(service string, entries []string) int {
	hash := func(entry string) uint64 { return xxhash.Sum64String(entry + "/" + service) }
	own, rank := hash(t.self), 0
	for _, entry := range entries {
		if other := hash(entry); entry != t.self && cmp.Compare(other, own) < 0 {
			rank++
		}
	}
	return min(rank, maxTakeovers)
}

// next returns the next change in the course of the roll-out, if it is time for one.
func (t *Tracker) next(now, wallClock time.Time, r *rollout, view View) (Change, bool) {
	switch {
	case r.order.Version == "":
		if !r.running() {
			return Change{}, false
		}
		return r.end(RolledBack, "the order was removed"), true
	case r.recorded() && r.unwritten:
		return r.rewrite(), true
	case !r.recorded():
		return t.first(now, wallClock, r)
	case r.record.Stage.terminal():
		return Change{}, false
	case r.rejected != "":
		return r.end(RolledBack, r.rejected), true
	case !r.ageKnown:
		return Change{}, false
	}
	times := r.plan()
	clears := r.evidence.clears()
	if r.record.Stage == Moved {
		clears = !r.evidence.doubtful()
	}
	if reason := r.hopeless(now, times, clears); reason != "" {
		return r.end(RolledBack, reason), true
	}
	if r.suspected || r.newReplicas == 0 || !clears {
		return Change{}, false
	}
	return t.advance(now, times, r, view)
}

// hopeless returns why the roll-out cannot be completed any more, or "".
func (r *rollout) hopeless(now time.Time, times plan, clears bool) string {
	switch {
	case now.Before(times.limit):
		return ""
	case r.newReplicas == 0 && r.oldReplicas > 0:
		return "no replica of the version at the time limit"
	case r.suspected && now.Sub(r.suspectedSince) >= lastSuspicion:
		return "suspected at the time limit"
	case !clears:
		return "too few good responses at the time limit"
	default:
		return ""
	}
}

// advance returns the next step forward, if it is time for it.
func (t *Tracker) advance(now time.Time, times plan, r *rollout, view View) (Change, bool) {
	next, inStage := r.record, now.Sub(r.followedSince)
	switch r.record.Stage {
	case Canary:
		if now.Before(times.ramp) || now.Sub(r.canarySince) < times.canary {
			return Change{}, false
		}
		next.Stage, next.Step = Ramping, 0
	case Ramping:
		if inStage < times.steps[r.record.Step] {
			return Change{}, false
		}
		if next.Step++; next.Step >= len(rampShares) {
			next.Stage, next.Step = Moved, 0
		}
	default:
		if inStage < times.moved || !t.allClosed(now, times, r, view) {
			return Change{}, false
		}
		return r.end(Completed, ""), true
	}
	return Change{Record: next}, true
}

// end returns the change that ends the roll-out.
func (r *rollout) end(stage Stage, reason string) Change {
	next := r.record
	next.Stage, next.Step, next.Reason = stage, 0, reason
	status := Status{State: StateRolledBack, Target: next.Version}
	if stage == Completed {
		status.State = StateCompleted
	}
	return Change{Record: next, Status: &status, Reason: reason}
}

// allClosed reports whether all entries have promised to send nothing to old versions. Those that
// are registered but silent hold that back until the time limit is near.
func (t *Tracker) allClosed(now time.Time, times plan, r *rollout, view View) bool {
	if !r.closed {
		return false
	}
	closed := func(entry string) bool {
		peer := r.peers[entry]
		return entry == t.self || peer.Closed && peer.isOf(r) && !r.recordPosition.After(peer.position(t.era))
	}
	for _, entry := range view.Entries {
		if !closed(entry) {
			return false
		}
	}
	if !now.Before(times.last) {
		return true
	}
	for _, entry := range view.Registered {
		if !closed(entry) {
			return false
		}
	}
	return true
}

// plan holds the times of a roll-out.
type plan struct {
	// ramp is when the ramp starts, last when silent entries are waited for no longer, limit the
	// time limit.
	ramp, last, limit time.Time
	// canary is the least time of the canary, steps the times of the steps of the
	// ramp.
	canary time.Duration
	steps  [len(rampShares)]time.Duration
	// moved is the least time between the move and the end.
	moved time.Duration
}

// plan returns the times of the roll-out. The ramp starts as late as the time limit allows: what
// the new version gets beyond the canary is not within the bound on bad versions any more.
func (r *rollout) plan() plan {
	duration := r.order.Duration
	short := func(d time.Duration, part float64) time.Duration {
		return min(d, time.Duration(part*float64(duration)))
	}
	uncertainty, lead := short(ageUncertainty, 1.25*shortPart), short(leadTime, shortPart)
	p := plan{
		limit: r.seenAt.Add(duration - uncertainty), canary: short(canaryTime, 2*shortPart), moved: short(movedTime, shortPart),
	}
	ramp, latency := time.Duration(0), r.evidence.latency(duration)
	for i, least := range minStepTimes {
		p.steps[i] = min(maxStepTime, max(least, time.Duration(stepPart*float64(duration)))) + latency
		ramp += p.steps[i] + lead/4
	}
	p.last = p.limit.Add(-lead / 2)
	drain := min(max(r.longest, minDrainTime), duration/2)
	p.ramp = p.limit.Add(-2*lead - drain - ramp)
	return p
}

// first returns the change that starts the roll-out.
func (t *Tracker) first(now, wallClock time.Time, r *rollout) (Change, bool) {
	decided := r.statusPosition.After(r.orderPosition) && r.status.State > Running
	if r.record.Order > r.order.Revision || decided || !r.ageKnown {
		return Change{}, false
	}
	record := r.firstRecord()
	record.StartedAt = wallClock.Add(-r.age(now)).UnixMilli()
	change := Change{Record: record}
	if r.orderPosition.After(r.statusPosition) {
		change.Status = &Status{State: Running, Target: record.Version}
	}
	return change, true
}

// firstRecord returns the first record of the order, given that of the order before it, if any.
func (r *rollout) firstRecord() Record {
	target, before := r.order.Version, r.record
	next := Record{Order: r.order.Revision, Version: target, Stage: Canary}
	back := r.running() && slices.Contains(before.Baseline, target)
	excluded := slices.Clone(before.Excluded)
	switch {
	case before.Order == 0 || back:
	case before.Stage == Completed:
		for _, version := range before.Baseline {
			excluded = with(excluded, version)
		}
	case before.Version != target:
		// It was rolled back, or superseded before it was known to be good.
		excluded = with(excluded, before.Version)
	}
	excluded = slices.DeleteFunc(excluded, func(version string) bool { return version == target })
	next.Excluded = excluded[max(0, len(excluded)-maxRecordVersions):]
	for _, version := range r.registered {
		if version != target && !slices.Contains(next.Excluded, version) && len(next.Baseline) < maxRecordVersions {
			next.Baseline = append(next.Baseline, version)
		}
	}
	if back || len(next.Baseline) == 0 {
		// The service runs on the version already.
		next.Stage = Moved
	}
	return next
}

// Committed learns that a change was applied, and the record has the given position. That of the
// status may differ and is learned from the store.
func (t *Tracker) Committed(now time.Time, change Change, position storesync.Position) {
	r := t.ensure(change.Service)
	r.write.inFlight = false
	r.write.settle()
	t.ApplyRecord(now, change.Service, change.Record, position)
}

// Failed learns that a change was not applied because its conditions did not hold (conflict), or
// that it is unknown whether it was. It may then be applied later, if they still hold.
func (t *Tracker) Failed(now time.Time, change Change, conflict bool) {
	r := t.ensure(change.Service)
	w := &r.write
	w.inFlight = false
	delay := conflictDelay
	if !conflict {
		delay = min(maxWriteDelay, minWriteDelay<<min(w.failures, 4))
		w.failures++
	}
	if change.Era == t.era && change.RecordRevision == r.recordPosition.Revision && change.OrderRevision == r.orderPosition.Revision {
		w.retryAt = now.Add(delay)
	}
}
