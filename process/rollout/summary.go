package rollout

import (
	"slices"
	"strings"
	"time"
)

// Summary describes a roll-out for operators.
type Summary struct {
	Service, Version string
	// Order is the revision of the order, Revision that of the record.
	Order, Revision int64
	Stage           Stage
	Step            int
	// Share is the share of the new version at this entry now.
	Share float64
	// Age is the time since the order was first seen, Limit the order's duration.
	Age, Limit time.Duration
	// Sent counts the attempts of this entry since it learned of the order, SentNew those at the
	// new version.
	Sent, SentNew int
	// New and Old are the responses of both versions, at all entries.
	New, Old Counts
	// Rejected is why the version was found to be bad, or "".
	Rejected          string
	Suspected, Closed bool
	// RunningOld counts what runs here on old versions.
	RunningOld int
}

// Summaries describes all roll-outs that are known, by service.
func (t *Tracker) Summaries(now time.Time) []Summary {
	var summaries []Summary
	for service, r := range t.services {
		if t.get(service) == nil || r.order.Version == "" && r.record.Order == 0 {
			continue
		}
		s := Summary{
			Service: service, Version: r.order.Version, Order: r.orderPosition.Revision, Share: t.share(r), Age: r.age(now),
			Limit: r.order.Duration, Sent: r.traffic.sent, SentNew: r.traffic.toTarget, Rejected: r.rejected,
			Suspected: r.suspected, Closed: r.closed, RunningOld: r.runningOld,
		}
		if r.recorded() || r.order.Version == "" {
			if s.Rejected == "" {
				s.Rejected = r.record.Reason
			}
			s.Version, s.Revision, s.Stage, s.Step = r.record.Version, r.recordPosition.Revision, r.record.Stage, r.record.Step
		}
		for _, pair := range r.evidence.summed {
			s.New, s.Old = s.New.plus(pair[newSide]), s.Old.plus(pair[oldSide])
		}
		summaries = append(summaries, s)
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return strings.Compare(a.Service, b.Service) })
	return summaries
}
