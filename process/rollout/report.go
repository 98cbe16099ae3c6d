package rollout

import (
	"time"

	"github.com/mulberrylane/mulberrylane/process/storesync"
)

// Report is what an entry tells the others about a roll-out.
type Report struct {
	// Order is the revision of the order, Age the time since it was first seen, in milliseconds.
	// AgeKnown is set if that does not rest on the sender's start alone.
	Order    int64 `cbor:"1,keyasint"`
	Age      int64 `cbor:"2,keyasint"`
	AgeKnown bool  `cbor:"3,keyasint,omitempty"`
	// Record is the record that the sender follows, at Revision; nil if there is none. It was read
	// from the store or committed there, so that others may follow it at once.
	Record   *Record `cbor:"4,keyasint,omitempty"`
	Revision int64   `cbor:"5,keyasint,omitempty"`
	// RunningOld counts what runs on old versions at the sender; Closed is its promise to start
	// nothing there any more. Longest is the longest time for which a request of the service has
	// run there, in milliseconds.
	RunningOld int   `cbor:"6,keyasint,omitempty"`
	Closed     bool  `cbor:"7,keyasint,omitempty"`
	Longest    int64 `cbor:"8,keyasint,omitempty"`
	// Rejected is why the sender sends nothing to the new version any more, or "".
	Rejected string `cbor:"9,keyasint,omitempty"`
	// Evidence holds the sender's counts by route.
	Evidence map[string]Pair `cbor:"10,keyasint,omitempty"`
	// Version is the version that is ordered, and Era the era of Revision. Entries of an earlier build
	// leave them out.
	Version string `cbor:"11,keyasint,omitempty"`
	Era     int64  `cbor:"12,keyasint,omitempty"`
}

// position returns the position of the record that the sender follows. Entries of an earlier build do
// not state the era, and are taken to be in the given one.
func (r *Report) position(era int64) storesync.Position {
	if r.Era > 0 {
		era = r.Era
	}
	return storesync.Position{Era: era, Revision: r.Revision}
}

// isOf reports whether the report is about the order of a roll-out. The revision alone may be that of
// another order of an earlier era.
func (r *Report) isOf(known *rollout) bool {
	return known.order.Version != "" && r.Order == known.order.Revision && (r.Version == "" || r.Version == known.order.Version)
}

const (
	maxReasonBytes = 100
	maxRouteBytes  = 250
	// maxAge limits the age of an order that is believed: the longest duration of orders.
	maxAge = 24 * time.Hour
)

func (r *Report) valid() bool {
	if r.Order < 0 || r.Age < 0 || r.Age > maxAge.Milliseconds() || r.Longest < 0 || r.Longest > maxAge.Milliseconds() ||
		r.RunningOld < 0 || len(r.Rejected) > maxReasonBytes || len(r.Evidence) > maxRoutes {
		return false
	}
	for route, pair := range r.Evidence {
		if len(route) > maxRouteBytes || !pair[oldSide].valid() || !pair[newSide].valid() {
			return false
		}
	}
	return r.Record == nil || r.Revision > 0 && r.Record.check() == nil
}

// peerReport is the last report of another entry.
type peerReport struct {
	Report
	receivedAt time.Time
	// retired holds the counts of earlier runs of the entry.
	retired map[string]Pair
}

// Report returns what the other entries are told, by service.
func (t *Tracker) Report(now time.Time) map[string]Report {
	if !t.Active() {
		return nil
	}
	reports := map[string]Report{}
	for service, r := range t.services {
		if r.order.Version == "" || r.recorded() && r.record.Stage.terminal() {
			continue
		}
		report := Report{
			Order: r.order.Revision, Version: r.order.Version, Age: r.age(now).Milliseconds(), AgeKnown: r.ageKnown,
			RunningOld: r.runningOld, Closed: r.closed, Longest: r.longest.Milliseconds(), Rejected: r.rejected,
		}
		if r.recorded() {
			record := r.record
			if !r.unwritten {
				report.Record, report.Revision, report.Era = &record, r.recordPosition.Revision, r.recordPosition.Era
			}
			report.Evidence = r.evidence.copyOwn()
		}
		reports[service] = report
	}
	return reports
}

// ApplyReport learns of the reports of another entry. It reports whether there is something in
// them that this entry must act on soon.
func (t *Tracker) ApplyReport(now time.Time, entry string, reports map[string]Report) bool {
	urgent := false
	for service, report := range reports {
		r, ok := t.services[service]
		if !ok || !report.valid() {
			continue
		}
		position := report.position(0)
		if report.Record != nil && position.Era == t.era && position.After(r.recordSeen) && report.isOf(r) &&
			report.Record.Order == r.order.Revision {
			t.ApplyRecord(now, service, *report.Record, position)
			urgent = true
		}
		if report.isOf(r) {
			urgent = r.applyReport(now, entry, report) || urgent
		}
	}
	return urgent
}

func (r *rollout) applyReport(now time.Time, entry string, report Report) bool {
	before := r.peers[entry]
	next := peerReport{Report: report, receivedAt: now, retired: before.retired}
	for route, pair := range before.Evidence {
		if restarted(pair, report.Evidence[route]) {
			if next.retired == nil {
				next.retired = map[string]Pair{}
			}
			next.retired[route] = next.retired[route].plus(pair)
		}
	}
	r.peers[entry] = next
	seenAt := now.Add(-time.Duration(report.Age) * time.Millisecond)
	if report.AgeKnown {
		if !r.ageKnown || seenAt.Before(r.seenAt) {
			r.seenAt, r.ageKnown = seenAt, true
		}
	}
	r.longest = max(r.longest, time.Duration(report.Longest)*time.Millisecond)
	if report.Rejected != "" && r.rejected == "" && r.recorded() {
		r.rejected = report.Rejected
		return true
	}
	return false
}

// restarted reports whether the counts of an entry have begun anew.
func restarted(before, after Pair) bool {
	return after[oldSide].Responses < before[oldSide].Responses || after[newSide].Responses < before[newSide].Responses
}

// total returns the counts of all entries.
func (r *rollout) total() map[string]Pair {
	total := r.evidence.copyOwn()
	for _, peer := range r.peers {
		for _, counts := range []map[string]Pair{peer.Evidence, peer.retired} {
			for route, pair := range counts {
				if _, known := total[route]; known || len(total) < maxRoutes {
					total[route] = total[route].plus(pair)
				}
			}
		}
	}
	return total
}
