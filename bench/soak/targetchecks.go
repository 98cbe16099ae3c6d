package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// Bounds of what targets may see.
const (
	// backoffSlack is how long after a target has shed a request others may still arrive,
	// and maxBackoffArrivals is how many may arrive later, before its Retry-After ends.
	backoffSlack       = 500 * time.Millisecond
	maxBackoffArrivals = 2
	// stableWindow is how long an entry must be undisturbed to be in touch.
	stableWindow = 3 * time.Second
	// crashesToBlock is the number of crashes after which requests with the prompt part at
	// fault must not reach targets, but for maxBlockedArrivals.
	crashesToBlock     = 5
	maxBlockedArrivals = 3
)

// targetView is what targets saw in a run, and what the soak did meanwhile.
type targetView struct {
	arrivals []replica.Arrival
	requests map[string]*requestRecord
	// entries holds the disruptions of each entry by its address, links those of the link
	// to each target by its ID.
	entries, links   map[string]*disruptions
	store, stalls    *disruptions
	promptCrashes    []time.Time
	arrivalsByTarget map[string][]replica.Arrival
	arrivalsOf       map[string]int
	// covered counts the cases that the checks have looked at.
	covered map[string]int
	// resumptions are the executions that resumed from a KV copy.
	resumptions []replica.Execution
}

func newTargetView(d *deployment, l *requestLog) *targetView {
	v := &targetView{
		arrivals: d.fleet.ExecutionLog.AllArrivals(), requests: map[string]*requestRecord{},
		entries: map[string]*disruptions{}, links: map[string]*disruptions{}, store: &d.storeDisruptions, stalls: &d.stalls,
	}
	for _, r := range l.records {
		v.requests[r.id] = r
	}
	for _, execution := range d.fleet.ExecutionLog.Executions("") {
		if execution.FromKVCopy {
			v.resumptions = append(v.resumptions, execution)
		}
	}
	for _, p := range d.entries {
		v.entries[p.callerAddress] = &p.disruptions
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.endpointsByTarget {
		v.links[id] = &e.disruptions
	}
	v.promptCrashes = slices.Clone(d.promptCrashes)
	return v
}

// check returns the violations that targets saw.
func (v *targetView) check() []string {
	v.arrivalsByTarget, v.arrivalsOf, v.covered = map[string][]replica.Arrival{}, map[string]int{}, map[string]int{}
	for _, a := range v.arrivals {
		if v.requests[a.Request] != nil && v.entries[a.Entry] != nil {
			v.arrivalsByTarget[a.Target+" from "+a.Entry] = append(v.arrivalsByTarget[a.Target+" from "+a.Entry], a)
			v.arrivalsOf[a.Request]++
		}
	}
	var violations []string
	for pair, arrivals := range v.arrivalsByTarget {
		for _, violation := range []string{v.checkLeaving(arrivals), v.checkBackoff(arrivals)} {
			if violation != "" {
				violations = append(violations, pair+": "+violation)
			}
		}
	}
	if violation := v.checkPromptCrashes(); violation != "" {
		violations = append(violations, violation)
	}
	return append(violations, v.checkResumptions()...)
}

// checkResumptions returns the requests that went on from the memory of another one.
func (v *targetView) checkResumptions() []string {
	var violations []string
	for _, execution := range v.resumptions {
		r, source := v.requests[execution.Request], v.requests[execution.KVCopyOf]
		switch {
		case r == nil || source == nil || r.generation != source.generation:
			violations = append(violations, fmt.Sprintf("%s resumed from the KV copy of %s, which is another request", execution.Request, execution.KVCopyOf))
		case r == source:
			v.covered["streams resumed from a copy"]++
		default:
			v.covered["callers who came back and resumed from a copy"]++
		}
	}
	return violations
}

// checkLeaving checks what reached a target from one entry after the target has told it that
// it is leaving.
func (v *targetView) checkLeaving(arrivals []replica.Arrival) string {
	var told []time.Time
	for _, a := range arrivals {
		if at, ok := v.toldLeaving(a); ok {
			told = append(told, at)
		}
	}
	v.covered["replies of leaving targets"] += len(told)
	for _, a := range arrivals {
		sentAt := v.requests[a.Request].sentAt
		for _, at := range told {
			if sentAt.After(at.Add(drainTimeout)) && !v.entries[a.Entry].any(at, a.At, restarted, paused) {
				return fmt.Sprintf("%s arrived, sent %s after the target's reply that it is leaving", a.Request, sentAt.Sub(at))
			}
		}
	}
	return ""
}

// toldLeaving returns when the caller of a request had a response that shows that the entry
// knows that the target is leaving: the response of the target, or any response after the
// target had refused the request over a sound link.
func (v *targetView) toldLeaving(a replica.Arrival) (time.Time, bool) {
	r := v.requests[a.Request]
	if !a.Leaving || r.respondedAt.IsZero() {
		return time.Time{}, false
	}
	fromTarget := v.arrivalsOf[a.Request] == 1 && r.headStatus == http.StatusOK
	refused := a.Shed && !v.links[a.Target].any(a.At, r.respondedAt)
	return r.respondedAt, fromTarget || refused
}

// checkBackoff checks how many requests reached a target from one entry before the end of
// the Retry-After that the target has told it.
func (v *targetView) checkBackoff(arrivals []replica.Arrival) string {
	for _, shed := range arrivals {
		seconds, err := strconv.ParseFloat(shed.RetryAfter, 64)
		if !shed.Shed || err != nil {
			continue
		}
		end := shed.At.Add(time.Duration(seconds * float64(time.Second)))
		if v.entries[shed.Entry].any(shed.At, end, restarted, paused) || v.links[shed.Target].any(shed.At, end) ||
			v.stalls.any(shed.At, shed.At.Add(backoffSlack)) {
			continue
		}
		v.covered["replies with Retry-After"]++
		count := 0
		for _, a := range arrivals {
			if a.At.After(shed.At.Add(backoffSlack)) && a.At.Before(end) {
				count++
			}
		}
		if count > maxBackoffArrivals {
			return fmt.Sprintf("%d requests arrived in the %s s after it had shed %s", count, shed.RetryAfter, shed.Request)
		}
	}
	return ""
}

// checkPromptCrashes checks how many requests with the prompt part that crashes engines
// reached targets, once it was to be known.
func (v *targetView) checkPromptCrashes() string {
	v.covered["crashes on a prompt part"] = len(v.promptCrashes)
	if len(v.promptCrashes) < crashesToBlock {
		return ""
	}
	blockedAt := v.promptCrashes[crashesToBlock-1].Add(stableWindow)
	var late []string
	for _, a := range v.arrivals {
		if hasCrashPart(a.PromptParts) && a.At.After(blockedAt) && v.inTouch(a) {
			late = append(late, a.Request)
		}
	}
	for _, r := range v.requests {
		if r.crashing && r.sentAt.After(blockedAt) {
			v.covered["requests with the part, sent after five crashes"]++
		}
	}
	if len(late) > maxBlockedArrivals {
		return fmt.Sprintf("%d requests with the prompt part that crashes engines arrived later than %s after the fifth crash: %s",
			len(late), stableWindow, strings.Join(late, " "))
	}
	return ""
}

// inTouch returns whether the entry that sent a request, and the store, were undisturbed for
// stableWindow before it arrived.
func (v *targetView) inTouch(a replica.Arrival) bool {
	entry, start := v.entries[a.Entry], a.At.Add(-stableWindow)
	return entry != nil && !entry.any(start, a.At) && !v.store.any(start, a.At)
}

// hasCrashPart returns whether a list of prompt parts has the part that crashes engines.
func hasCrashPart(parts string) bool { return strings.Contains(","+parts, ","+crashPart+":") }

// lossSlack is how soon after a whole request was written its connection may end without a
// response, if it has not reached a target: the request may cross the end. It is the platform's.
const lossSlack = 200 * time.Millisecond

// checkPlannedWork returns the requests that got no response until the callers were stopped,
// though they had reached a target or an entry had them for longer than lossSlack.
func (v *targetView) checkPlannedWork(stoppedAt time.Time) []string {
	var violations []string
	for _, r := range v.requests {
		reachedTarget := v.arrivalsOf[r.id] > 0
		held := !r.writtenAt.IsZero() && r.finishedAt.Sub(r.writtenAt) > lossSlack || r.connection != nil && !v.stopped(r.connection, r.finishedAt)
		if !reachedTarget && !held || r.abandoned || !r.finishedAt.Before(stoppedAt) {
			continue
		}
		if v.stalls.any(r.sentAt.Add(-stableWindow), r.finishedAt) {
			v.covered["requests beside a stall"]++
			continue
		}
		v.covered["requests beside planned work"]++
		switch {
		case r.status != 0:
		case !reachedTarget && r.connection != nil:
			violations = append(violations, fmt.Sprintf("%s (%s) was sent on a connection that had been idle for %s and left without a response",
				r.id, r.method, r.sentAt.Sub(r.connection.idleSince)))
		case !reachedTarget:
			violations = append(violations, fmt.Sprintf("%s (%s) was held by an entry and left without a response after %s",
				r.id, r.method, r.finishedAt.Sub(r.writtenAt)))
		case !v.ranToEndOfGrace(r):
			violations = append(violations, fmt.Sprintf("%s (%s) reached a target and was left without a response after %s",
				r.id, r.method, r.finishedAt.Sub(r.sentAt)))
		}
	}
	return violations
}

// Bounds of the requests that a stop may break off: those that are sent within lateRequest
// of the signal and run in the last sixth of the grace period.
const (
	lateRequest = 3 * time.Second
	graceToEnd  = gracePeriod * 5 / 6
)

// ranToEndOfGrace returns whether a request was broken off by a stop that may do so.
func (v *targetView) ranToEndOfGrace(r *requestRecord) bool {
	signalledAfter := r.finishedAt.Add(-gracePeriod)
	if sent := r.sentAt.Add(-lateRequest); sent.After(signalledAfter) {
		signalledAfter = sent
	}
	entry := v.entries[r.entry]
	return entry != nil && entry.any(signalledAfter, r.finishedAt.Add(-graceToEnd), ending)
}

// connectTime is how long a connection may have waited to be accepted.
const connectTime = 300 * time.Millisecond

// stopped returns whether the entry of a kept connection was stopped or ended since it was
// opened.
func (v *targetView) stopped(c *keptConnection, until time.Time) bool {
	return v.entries[c.entry].any(c.openedAt.Add(-connectTime), until, ending, restarted)
}

// checkClosings returns the idle connections that entries closed though nothing stopped these,
// and though callers could still use them.
func (v *targetView) checkClosings(closings []*keptConnection) []string {
	var violations []string
	for _, c := range closings {
		idle := c.closedAt.Sub(c.idleSince)
		switch {
		case v.stopped(c, c.closedAt) || v.stalls.any(c.idleSince.Add(-stableWindow), c.closedAt):
		case c.closedAt.After(c.usableUntil):
			v.covered["idle connections closed in time"]++
		default:
			violations = append(violations, fmt.Sprintf("%s closed a connection after it was idle for %s; it announced %s, its caller could use it for %s",
				c.entry, idle, c.announced, c.usableUntil.Sub(c.idleSince)))
		}
	}
	return violations
}
