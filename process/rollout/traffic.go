package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/process/placement"
)

const (
	// canaryPart is the part of CanaryShare that the canary gets. The rest is for the steps of the
	// ramp, in which a version may still turn out to be bad.
	canaryPart = 0.7
	// startPart is the part of CanarySlack that the canary may use at once, so that services with
	// few requests give evidence; capPart is the part that all requests until the move may use.
	// What is left covers requests that entries have sent when they learn that a version is bad.
	startPart = 0.3
	capPart   = 0.6
	// fewResponsesShare is the share of the canary until it has had minClearResponses: the usual one
	// gives services with few requests too few responses before the ramp. The slack covers it.
	fewResponsesShare = 0.25
	// maxCredit is how many requests to the new version an entry may catch up on: those of the time
	// between two pulses at an entry with some 50 requests a second.
	maxCredit = 10
	// pulseTime is the length of a pulse of the canary: some responses of each entry, two slices of
	// evidence. Between pulses nothing goes to the new version.
	pulseTime = time.Second
	// turnTime is how long the same replicas get the requests of a pulse. rampTurnTime is that time
	// in a step of the ramp: long enough that work builds up there as it will later, and less than
	// the five slices in which one slow host could decide.
	turnTime     = pulseTime / 3
	rampTurnTime = 1500 * time.Millisecond
	// pulseOffset is the age of the order at which the first pulse begins. By then most entries
	// know the record.
	pulseOffset = time.Second
	// rotationTime is how long the same replicas get the requests of a canary without pulses.
	rotationTime = 2 * time.Second
	// minPulseRatio is by how much the share of the least number of replicas exceeds that of the
	// canary for the canary to have pulses.
	minPulseRatio = 1.25
)

// rampShares are the shares of the steps of a ramp, at least. In each step, as many of the new
// replicas get requests as will have that share, so that each carries the load that it will have
// after the move, and faults under load show.
var rampShares = [...]float64{0.1, 0.5}

// Pin is the version that a request must stay with, if Set.
type Pin struct {
	Version string
	Set     bool
}

// traffic counts what an entry has sent since it learned of an order.
type traffic struct {
	sent, toTarget int
	// credit is how many requests may go to the new version; each request adds the share.
	credit, slack float64
	// pace is the same within a pulse; each request of its time adds the share of the pulse.
	pace float64
}

// start begins to count for an order. The random part of the first credit keeps many entries with
// few requests from rounding in the same direction.
func (c *traffic) start(hash uint64, slack float64) {
	const fraction = 1.0 / (1 << 53)
	c.credit, c.slack = float64(hash>>11)*fraction+startPart*slack, slack
}

// allows reports whether the next request may go to the new version at the given share, and at the
// pace of the pulse, which is zero between pulses.
func (c *traffic) allows(share, pulse float64) bool {
	return c.credit+share >= 1 && (pulse >= 1 || pulse > 0 && c.pace+pulse >= 1)
}

// belowCap reports whether one more request to the new version stays within the bound on what a
// bad version may get, counted over this entry's requests so far.
func (c *traffic) belowCap(limits Limits) bool {
	return float64(c.toTarget+1) <= limits.CanaryShare*float64(c.sent+1)+capPart*c.slack
}

// count counts a request.
func (c *traffic) count(share, pulse float64, toTarget bool) {
	c.sent++
	c.credit = min(c.credit+share, max(maxCredit, c.credit))
	c.pace = min(c.pace+pulse, 1)
	if toTarget {
		c.toTarget++
		c.credit = max(-maxCredit, c.credit-1)
		c.pace = max(0, c.pace-1)
	}
}

// uncount takes back a request that was not sent.
func (c *traffic) uncount(toTarget bool) {
	c.sent = max(0, c.sent-1)
	if toTarget && c.toTarget > 0 {
		c.toTarget--
		c.credit++
	}
}

// SetEntries sets the number of entries that share the slack, this one included.
func (t *Tracker) SetEntries(entries int) {
	t.entries = max(1, entries)
	for _, r := range t.services {
		r.traffic.slack = t.slackPart()
	}
}

// slackPart returns this entry's part of the slack.
func (t *Tracker) slackPart() float64 {
	return float64(t.limits.CanarySlack) / float64(max(1, t.entries))
}

// canaryShare returns the share of the canary.
func (t *Tracker) canaryShare() float64 { return canaryPart * t.limits.CanaryShare }

// stageShare returns the share of the new version at the stage of the record.
func (t *Tracker) stageShare(r *rollout) float64 {
	switch r.record.Stage {
	case Canary:
		if r.evidence.tooFew() {
			return fewResponsesShare
		}
		return t.canaryShare()
	case Ramping:
		if r.newReplicas == 0 {
			return t.canaryShare()
		}
		return math.Ceil(rampShares[r.record.Step]*float64(r.newReplicas)) / float64(r.newReplicas)
	case Moved, Completed:
		return 1
	default:
		return 0
	}
}

// share returns the share of the new version now: that of the stage, or less if the evidence is
// against it.
func (t *Tracker) share(r *rollout) float64 {
	switch {
	case r.rejected != "" || r.record.Order == 0 || r.heldBack == r.record.Version:
		return 0
	case !r.recorded() && r.record.Stage < Moved:
		// The order was removed or superseded.
		return 0
	case r.suspected:
		return min(t.canaryShare(), t.stageShare(r))
	default:
		return t.stageShare(r)
	}
}

// Assign returns which targets an attempt may be sent to, the most preferred first; the next filter
// applies if no target passes the one before. None means no restriction. A pinned request stays
// with its version, and retry is set for attempts after the first.
func (t *Tracker) Assign(now time.Time, service string, pin Pin, retry bool) []placement.VersionFilter {
	r := t.get(service)
	if r == nil {
		return nil
	}
	if pin.Set {
		return []placement.VersionFilter{only(pin.Version)}
	}
	if r.record.Order == 0 {
		return t.assignUnrecorded(r)
	}
	excluded := r.excluded()
	switch share := t.share(r); {
	case r.record.Stage == Completed, r.record.Stage == Moved && share >= 1:
		return r.assignMoved(excluded)
	case share == 0:
		return []placement.VersionFilter{except(with(excluded, r.record.Version))}
	default:
		return t.assignSplit(now, r, share, excluded, retry)
	}
}

// assignUnrecorded keeps requests from the version of an order until its first record, unless no
// other is registered.
func (t *Tracker) assignUnrecorded(r *rollout) []placement.VersionFilter {
	if r.order.Version == "" {
		return nil
	}
	return []placement.VersionFilter{except([]string{r.order.Version}), {}}
}

// assignMoved sends requests to the new version, and to the old ones only if there is no other
// and this entry has not promised to send nothing there.
func (r *rollout) assignMoved(excluded []string) []placement.VersionFilter {
	replaced := excluded
	for _, version := range r.record.Baseline {
		replaced = with(replaced, version)
	}
	filters := []placement.VersionFilter{except(replaced)}
	if r.record.Stage == Moved && !r.closed {
		filters = append(filters, except(with(excluded, r.record.Version)))
	}
	return filters
}

// assignSplit assigns a request to the old or the new version. A retry goes to the old one: the
// request may have failed on the new one, or for a reason of its own.
func (t *Tracker) assignSplit(now time.Time, r *rollout, share float64, excluded []string, retry bool) []placement.VersionFilter {
	oldVersions, newVersion := except(with(excluded, r.record.Version)), only(r.record.Version)
	var pulse float64
	newVersion.Fraction, newVersion.Rotation, pulse = t.pulse(now, r, share)
	below := r.traffic.belowCap(t.limits)
	switch {
	case !retry && below && r.traffic.allows(share, pulse):
		return []placement.VersionFilter{newVersion, oldVersions}
	case below:
		// All old replicas may be down or full.
		return []placement.VersionFilter{oldVersions, newVersion}
	default:
		return []placement.VersionFilter{oldVersions}
	}
}

// pulse returns which replicas of the new version get requests now and at which pace.
//
// The replicas in use each get the load that they will have after the move, so that faults under
// load show early. If that is more than the share of the canary, the canary has pulses in between
// which the replicas get nothing; each third of a pulse goes to others, so that one slow host is not
// taken for a slow version. Entries agree on the times by the age of the order.
func (t *Tracker) pulse(now time.Time, r *rollout, share float64) (subset float64, rotation int64, pulse float64) {
	const tolerance, half = 1e-9, 0.5
	if r.newReplicas == 0 {
		return 0, 0, 1
	}
	all := float64(r.newReplicas)
	replicas := max(1, math.Floor(share*all+tolerance))
	// Half of a replica is left out, so that rounding up gives the rest.
	subset = (replicas - half) / all
	if r.record.Stage == Ramping && share > t.canaryShare() {
		return subset, int64(now.Sub(r.followedSince) / rampTurnTime), 1
	}
	pulse = replicas / all
	if pulse < minPulseRatio*share {
		return subset, int64(r.age(now) / rotationTime), 1
	}
	period := time.Duration(pulse / share * float64(pulseTime))
	age := r.age(now) - pulseOffset + period
	if age%period >= pulseTime {
		pulse = 0
	}
	return subset, int64(age/period*(pulseTime/turnTime) + age%period/turnTime), pulse
}

// excluded returns the versions that get nothing whatever the stage of the record.
func (r *rollout) excluded() []string {
	excluded := slices.Clone(r.record.Excluded)
	unknown := r.order.Version != "" && !r.recorded() && r.order.Version != r.record.Version && !slices.Contains(r.record.Baseline, r.order.Version)
	if unknown {
		excluded = with(excluded, r.order.Version)
	}
	return excluded
}

// only allows one version, except all but the given ones.
func only(version string) placement.VersionFilter {
	return placement.VersionFilter{Versions: []string{version}}
}

func except(versions []string) placement.VersionFilter {
	return placement.VersionFilter{Versions: versions, Except: true}
}

// with returns versions and version, without a copy of it that is there already.
func with(versions []string, version string) []string {
	if slices.Contains(versions, version) {
		return versions
	}
	return append(slices.Clone(versions), version)
}

// MayResume reports whether a caller that comes back may be served from a KV copy at a target of
// the version.
func (t *Tracker) MayResume(service, version string) bool {
	r := t.get(service)
	switch {
	case r == nil || r.record.Order == 0:
		return true
	case t.share(r) == 0:
		return version != r.record.Version
	case r.record.Stage == Completed || r.closed:
		return !slices.Contains(r.record.Baseline, version)
	default:
		return true
	}
}

// Sent counts an attempt that is about to be sent to a version.
func (t *Tracker) Sent(now time.Time, service, version string) {
	r := t.get(service)
	if r == nil {
		return
	}
	share, pulse := t.share(r), 0.0
	if share > 0 && share < 1 {
		_, _, pulse = t.pulse(now, r, share)
	}
	r.traffic.count(share, pulse, r.isTarget(version))
}

// Unsent takes back an attempt that was counted but did not reach a target.
func (t *Tracker) Unsent(service, version string) {
	if r := t.get(service); r != nil {
		r.traffic.uncount(r.isTarget(version))
	}
}

// isTarget reports whether the version is the one that the service is to be moved to.
func (r *rollout) isTarget(version string) bool {
	if r.record.Order > 0 {
		return version == r.record.Version
	}
	return version == r.order.Version
}

// Responded counts the response to the first attempt of a request.
func (t *Tracker) Responded(service, version, route string, response Response) {
	r := t.get(service)
	if r == nil || !r.running() {
		return
	}
	switch {
	case version == r.record.Version:
		r.evidence.count(route, newSide, response)
	case slices.Contains(r.record.Baseline, version):
		r.evidence.count(route, oldSide, response)
	}
}
