package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/process/rollout"
	"github.com/mulberrylane/mulberrylane/process/storesync"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// rolloutStepInterval is the least time between two steps of roll-outs; it also delays the
	// response to what peers report.
	rolloutStepInterval = 100 * time.Millisecond
	// rolloutReportInterval is the least time between two reports to peers, unless there is news.
	rolloutReportInterval = 400 * time.Millisecond
	// minPaceEvents is how many events a stream must have for its pace to be compared.
	minPaceEvents = 8
)

// rollouts is what the control goroutine keeps for version roll-outs.
type rollouts struct {
	*rollout.Tracker
	// lastStep is when the roll-outs were last checked, lastReport when they were last reported to
	// peers; reportDue is set if peers should learn of news at once.
	lastStep, lastReport time.Time
	reportDue            bool
	// interrupted maps streams whose attempt failed to the version that they stay with. Until they
	// end they count as running on it.
	interrupted map[*exchange]string
	// logged holds the last state of each service that was logged.
	logged map[string]rolloutState
}

// rolloutState is what is logged when it changes.
type rolloutState struct {
	stage     rollout.Stage
	step      int
	order     int64
	rejected  string
	suspected bool
}

func newRollouts(bounds Bounds, self string) rollouts {
	return rollouts{
		Tracker: rollout.New(bounds.rolloutLimits(), self), interrupted: map[*exchange]string{},
		logged: map[string]rolloutState{},
	}
}

// rolloutLimits returns the bounds on roll-outs.
func (b Bounds) rolloutLimits() rollout.Limits {
	return rollout.Limits{CanaryShare: b.CanaryShare, CanarySlack: b.CanarySlack, RollbackWithin: b.RollbackWithin.Std()}
}

// stepRollouts checks the roll-outs and starts the transactions that are due.
func (c *control) stepRollouts(now time.Time) {
	if !c.rollouts.Active() || now.Sub(c.rollouts.lastStep) < rolloutStepInterval {
		return
	}
	c.rollouts.lastStep = now
	for _, change := range c.rollouts.Step(now, now, c.rolloutView(now)) {
		go c.gateway.protect("roll-out", func() { c.gateway.commitRollout(change) })
	}
	c.logRollouts(now)
}

// rolloutView describes the entries and the targets of the services that are rolled out.
func (c *control) rolloutView(now time.Time) rollout.View {
	self := c.gateway.settings.Name
	view := rollout.View{
		Entries: []string{self}, Registered: []string{self}, StoreUnavailable: c.registry.StoreUnavailable(),
		Services: map[string]rollout.ServiceView{},
	}
	for name := range c.peers {
		if name == self {
			continue
		}
		view.Registered = append(view.Registered, name)
		if _, heard := c.peerLastSeen[name]; heard {
			view.Entries = append(view.Entries, name)
		}
	}
	for _, service := range c.rollouts.Services() {
		view.Services[service] = c.serviceView(now, service)
	}
	return view
}

func (c *control) serviceView(now time.Time, service string) rollout.ServiceView {
	view := rollout.ServiceView{Replicas: map[string]int{}, Running: map[string]int{}}
	for _, t := range c.table.Service(service) {
		if !t.IsDraining() && !t.Down(now) {
			view.Replicas[t.Version]++
		}
	}
	for _, m := range c.monitors {
		if m.service != service {
			continue
		}
		for a := range m.attempts {
			view.Running[a.target.Version]++
			view.Longest = max(view.Longest, now.Sub(a.exchange.arrived))
		}
	}
	for e, version := range c.rollouts.interrupted {
		if e.service == service {
			view.Running[version]++
		}
	}
	return view
}

// pickTarget picks the target of an attempt, of a version that a roll-out of the service allows.
func (c *control) pickTarget(now time.Time, e *exchange, requirements placement.Requirements) (placement.Choice, error) {
	filters := c.rollouts.Assign(now, e.service, e.pin, e.placed)
	if len(filters) == 0 {
		requirements.Version = pinned(e.pin)
		return c.table.Pick(now, requirements) //nolint:wrapcheck // a fault
	}
	var choice placement.Choice
	var err error
	for _, filter := range filters {
		requirements.Version = filter
		if choice, err = c.table.Pick(now, requirements); err == nil {
			return choice, nil
		}
	}
	return choice, err //nolint:wrapcheck // a fault
}

// mayResumeAt reports whether a request may resume from a KV copy at a target: the version that
// produced the copy is that of the target.
func (c *control) mayResumeAt(e *exchange, t *placement.Target) bool {
	if e.pin.Set {
		return e.pin.Version == t.Version
	}
	if !c.rollouts.Known(e.service) {
		return true
	}
	return c.rollouts.MayResume(e.service, t.Version)
}

// countPlaced counts an attempt that was placed for the roll-out of its service.
func (c *control) countPlaced(a *attempt) {
	e := a.exchange
	a.first = !e.placed
	e.placed = true
	c.rollouts.Sent(a.startedAt, e.service, a.target.Version)
}

// countEnded takes back an attempt that was not sent, and otherwise counts what is known of its
// response if that has not been done.
func (c *control) countEnded(now time.Time, a *attempt) {
	service, version := a.exchange.service, a.target.Version
	if !c.rollouts.Known(service) {
		return
	}
	if !a.sent {
		c.rollouts.Unsent(service, version)
		return
	}
	response, known := a.evidence(now)
	if known && a.first {
		c.rollouts.Responded(service, version, a.exchange.route.Name, response)
	}
	if a.complete.Load() && a.streaming && a.eventCount >= minPaceEvents {
		pace := now.Sub(a.streamingSince) / time.Duration(a.eventCount)
		c.rollouts.Responded(service, version, a.exchange.route.Name+rollout.PaceSuffix, rollout.Response{Duration: pace})
	}
}

// evidence returns what an attempt that has ended shows about the version of its target, if that
// has not been counted before.
func (a *attempt) evidence(now time.Time) (rollout.Response, bool) {
	incarnation := string(a.target.ID) + "/" + strconv.FormatInt(int64(a.target.Incarnation), 10)
	switch {
	case a.outcome == request.AttemptRefused:
		return rollout.Response{}, false
	case a.outcome == request.AttemptFailed:
		return rollout.Response{Failed: true}, true
	case a.broken:
		return rollout.Response{Broken: incarnation}, true
	case a.streaming:
		return rollout.Response{}, false
	case !a.answeredAt.IsZero():
		return rollout.Response{Duration: a.answeredAt.Sub(a.startedAt)}, true
	default:
		// It was given up, so that its response would have taken longer.
		return rollout.Response{Duration: now.Sub(a.startedAt)}, true
	}
}

// countFirstEvent counts the first event of a stream, whose time is compared only if its whole
// prompt was read.
func (c *control) countFirstEvent(now time.Time, a *attempt) {
	if !a.first {
		return
	}
	response := rollout.Response{}
	if a.resumeFrom.Target == "" && a.requirements.PromptTokens >= a.exchange.inbound.PromptTokens {
		response.Duration = now.Sub(a.startedAt)
	}
	c.rollouts.Responded(a.exchange.service, a.target.Version, a.exchange.route.Name, response)
}

// recordInterruption records that an attempt of a stream failed, which goes on with the same
// version.
func (s *stream) recordInterruption() {
	if !s.pin.Set || s.interrupted {
		return
	}
	s.interrupted = true
	c, version := s.gateway.control, s.pin.Version
	c.post(func() { c.rollouts.interrupted[s.exchange] = version })
}

// endInterruption records that the stream has ended.
func (s *stream) endInterruption() {
	if s.interrupted {
		c := s.gateway.control
		c.post(func() { delete(c.rollouts.interrupted, s.exchange) })
	}
}

// reportRollouts adds the roll-outs to an update, if peers are to learn of them now.
func (c *control) reportRollouts(now time.Time, update *peers.Update) {
	if !c.rollouts.Active() || !c.rollouts.reportDue && now.Sub(c.rollouts.lastReport) < rolloutReportInterval {
		return
	}
	c.rollouts.lastReport, c.rollouts.reportDue = now, false
	update.Rollouts = c.rollouts.Report(now)
}

// handlePeerRollouts learns of the roll-outs as another entry sees them.
func (c *control) handlePeerRollouts(now time.Time, update peers.Update) {
	if len(update.Rollouts) > 0 && c.rollouts.ApplyReport(now, update.Entry, update.Rollouts) {
		c.rollouts.lastStep = time.Time{}
		c.stepRollouts(now)
	}
}

// rolloutNews makes peers learn of a change at once.
func (c *control) rolloutNews() {
	c.rollouts.reportDue = true
	c.updatePending = true
}

// logRollouts logs what has changed, and tells peers.
func (c *control) logRollouts(now time.Time) {
	log := c.gateway.log
	for _, s := range c.rollouts.Summaries(now) {
		before := c.rollouts.logged[s.Service]
		next := rolloutState{stage: s.Stage, step: s.Step, order: s.Order, rejected: s.Rejected, suspected: s.Suspected}
		if next == before {
			continue
		}
		c.rollouts.logged[s.Service] = next
		c.rolloutNews()
		if next.stage != before.stage || next.step != before.step || next.order != before.order {
			log.Event("rollout_stage", "service", s.Service, "version", s.Version, "stage", s.Stage.String(), "step", s.Step,
				"share", s.Share, "order", s.Order, "record", s.Revision, "after", s.Age, "limit", s.Limit,
				"sent", s.Sent, "sentNew", s.SentNew, "responses", s.New.Responses, "failures", s.New.Failures)
		}
		if next.rejected != before.rejected && next.rejected != "" {
			c.gateway.metrics.rolloutsRejected.Add(c.gateway.background, 1)
			log.Event("rollout_rejected", "service", s.Service, "version", s.Version, "reason", s.Rejected, "after", s.Age,
				"sent", s.Sent, "sentNew", s.SentNew, "responses", s.New.Responses, "failures", s.New.Failures,
				"oldResponses", s.Old.Responses, "oldFailures", s.Old.Failures)
		}
		if next.suspected != before.suspected {
			log.Event("rollout_suspected", "service", s.Service, "version", s.Version, "suspected", s.Suspected, "share", s.Share)
		}
	}
}

// runningRollouts returns the number of roll-outs that have not ended.
func (c *control) runningRollouts(now time.Time) int64 {
	running := int64(0)
	for _, s := range c.rollouts.Summaries(now) {
		if s.Stage >= rollout.Canary && s.Stage < rollout.Completed {
			running++
		}
	}
	return running
}

// serveRollouts shows operators the roll-outs as this entry follows them.
func (g *Gateway) serveRollouts(w http.ResponseWriter, _ *http.Request) {
	summaries := []rollout.Summary{}
	g.control.do(func() { summaries = append(summaries, g.control.rollouts.Summaries(time.Now())...) })
	w.Header().Set("Content-Type", "application/json")
	// It fails if the connection is closed.
	_ = json.NewEncoder(w).Encode(summaries)
}

// commitRollout tries a transaction. Its answer may be lost, and it may be applied later.
func (g *Gateway) commitRollout(change rollout.Change) {
	position, err := g.tryCommitRollout(change)
	if err == nil && position.Era != change.Era {
		// The store went back meanwhile, and the conditions held by chance, if at all.
		err = platform.ErrOtherEra
	}
	if err == nil {
		g.log.Event("rollout_written", "service", change.Service, "stage", change.Record.Stage.String(), "step", change.Record.Step,
			"position", position.String(), "reason", change.Reason)
	} else {
		g.log.Event("rollout_not_written", "service", change.Service, "stage", change.Record.Stage.String(), "step", change.Record.Step,
			"error", err.Error())
	}
	g.control.do(func() {
		c, now := g.control, time.Now()
		if err != nil {
			c.rollouts.Failed(now, change, isConflict(err))
			return
		}
		c.rollouts.Committed(now, change, position)
		c.logRollouts(now)
	})
}

var rolloutStates = map[rollout.State]string{
	rollout.Running: platform.RolloutRunning, rollout.StateCompleted: platform.RolloutCompleted,
	rollout.StateRolledBack: platform.RolloutRolledBack,
}

func (g *Gateway) tryCommitRollout(change rollout.Change) (storesync.Position, error) {
	record, err := change.Record.Encode()
	if err != nil {
		return storesync.Position{}, fault.Wrap(fault.Internal, err, "roll-out")
	}
	orderKey, recordKey, statusKey := platform.RolloutOrderPrefix+change.Service, platform.RolloutRecordPrefix+change.Service, platform.RolloutStatusPrefix+change.Service
	conditions := []platform.Condition{{Key: orderKey, Revision: change.OrderRevision}, {Key: recordKey, Revision: change.RecordRevision}}
	var writes []platform.Write
	if change.Status != nil {
		value, err := platform.EncodeRolloutStatus(platform.RolloutStatus{State: rolloutStates[change.Status.State], Target: change.Status.Target})
		if err != nil {
			return storesync.Position{}, fault.Wrap(fault.Internal, err, "roll-out")
		}
		conditions = append(conditions, platform.Condition{Key: statusKey, Revision: change.StatusRevision})
		writes = append(writes, platform.Write{Key: statusKey, Value: value})
	}
	// The record is last: where each write of a transaction has a revision of its own, the one that
	// the store returns is that of the last.
	writes = append(writes, platform.Write{Key: recordKey, Value: record})
	ctx, cancel := g.withStoreTimeout()
	defer cancel()
	position, err := g.store.Commit(ctx, change.Era, conditions, writes, nil)
	g.metrics.countStoreCall("swap", err)
	return position, err //nolint:wrapcheck // distinguished by the caller
}
