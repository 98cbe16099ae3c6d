package rollout

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/process/storesync"
)

// orderReturnTime is how long after the store came back from an older copy an order that is not there,
// or not as it was, is held: operators write theirs again.
const orderReturnTime = 3 * time.Second

// maxFormerRevisions limits the revisions of an order that are remembered.
const maxFormerRevisions = 8

// pendingOrder is what the store holds in a new era instead of the order that is known.
type pendingOrder struct {
	order Order
	// registered lists the versions that were registered when it was read.
	registered []string
}

// BeginEra learns that the store has come back from an older copy. What it then holds is applied next,
// and EraRead ends that. An order that is written again is the same order, and no roll-out goes back.
func (t *Tracker) BeginEra(now time.Time, era int64) {
	t.era, t.reading = max(t.era, era), true
	for _, r := range t.services {
		r.settlesAt = now.Add(orderReturnTime)
		r.write = write{}
	}
}

// EraRead learns that all that is different in the new era has been applied: everything else holds on,
// at the same revisions.
func (t *Tracker) EraRead() {
	t.reading = false
	for _, r := range t.services {
		if r.pending == nil {
			r.orderPosition.Era, r.order.Era = t.era, t.era
		}
		r.recordPosition.Era, r.recordSeen.Era, r.statusPosition.Era = t.era, t.era, t.era
	}
}

// Held returns the number of orders that are kept though the store does not hold them.
func (t *Tracker) Held() int {
	return t.count(func(r *rollout) bool { return r.pending != nil })
}

// Unwritten returns the number of records that are to be written again.
func (t *Tracker) Unwritten() int {
	return t.count(func(r *rollout) bool { return r.recorded() && r.unwritten })
}

func (t *Tracker) count(counts func(r *rollout) bool) int {
	n := 0
	for _, r := range t.services {
		if counts(r) {
			n++
		}
	}
	return n
}

// hold keeps the order that is known while another one, or none, may be that of an older copy. It
// reports whether it does.
func (r *rollout) hold(now time.Time, position storesync.Position, held pendingOrder) bool {
	if position.Era <= r.orderPosition.Era || r.orderPosition.IsZero() || !now.Before(r.settlesAt) {
		r.pending = nil
		return false
	}
	r.pending = &held
	return true
}

// sameOrder reports whether an order is the known one, written again in a new era. Operators may write
// one again that the copy holds.
func (r *rollout) sameOrder(now time.Time, order Order) bool {
	return (order.Era > r.orderPosition.Era || now.Before(r.settlesAt)) && r.order.Version != "" &&
		order.Version == r.order.Version && order.Duration == r.order.Duration
}

// rebind takes over the position of an order that was written again. The record then names the order by
// its new revision, and has to be written again too.
func (r *rollout) rebind(order Order) {
	if before := r.order.Revision; before != order.Revision {
		r.formerRevisions = append(r.formerRevisions, before)
		r.formerRevisions = r.formerRevisions[max(0, len(r.formerRevisions)-maxFormerRevisions):]
		if r.recorded() {
			r.record.Order, r.unwritten = order.Revision, true
		}
	}
	r.order.Revision, r.order.Era = order.Revision, order.Era
	r.orderPosition, r.pending = order.Position(), nil
}

// settle applies what the store holds instead of the known order, once orders have been written again.
func (t *Tracker) settle(now time.Time) {
	for service, r := range t.services {
		if r.pending == nil || now.Before(r.settlesAt) {
			continue
		}
		held := *r.pending
		if r.pending = nil; held.order.Version == "" {
			t.RemoveOrder(now, service, held.order.Position())
		} else {
			t.ApplyOrder(now, held.order, held.registered)
		}
	}
}

// keepsRecord reports whether the known record is further than one that may be that of an older copy, or
// belongs to the order while that one does not.
func (r *rollout) keepsRecord(found Record) bool {
	known := r.record
	switch {
	case known.Order == 0:
		return false
	case found.Order == known.Order && found.Version == known.Version:
		return known.Stage.terminal() && found.Stage != known.Stage ||
			found.Stage < known.Stage || found.Stage == known.Stage && found.Step < known.Step
	default:
		return r.recorded() && found.Order != r.order.Revision
	}
}

// inEra returns a record with the present revision of its order, if it names an earlier one, and whether
// it did.
func (r *rollout) inEra(record Record) (Record, bool) {
	if record.Version != r.order.Version || !slices.Contains(r.formerRevisions, record.Order) {
		return record, false
	}
	record.Order = r.order.Revision
	return record, true
}

// rewrite returns the change that writes the known record, and its status, again.
func (r *rollout) rewrite() Change {
	status := Status{State: Running, Target: r.record.Version}
	switch r.record.Stage {
	case Completed:
		status.State = StateCompleted
	case RolledBack:
		status.State = StateRolledBack
	default:
	}
	change := Change{Record: r.record, Reason: "written again"}
	if r.status != status {
		change.Status = &status
	}
	return change
}

// sameProgress reports whether two records are of the same order, stage and step.
func sameProgress(a, b Record) bool {
	return a.Order == b.Order && a.Stage == b.Stage && a.Step == b.Step
}
