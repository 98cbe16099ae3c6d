package entry

import (
	"context"
	"time"

	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// movesAtOnce is how many attempts are moved off a leaving target every
	// moveEvery, so that their prefills do not hold up the work of the others.
	movesAtOnce = 4
	moveEvery   = 100 * time.Millisecond
)

// departures is what the control goroutine knows of leaving targets.
type departures struct {
	// listed holds those that the host list shows as leaving or shows no more.
	listed map[request.TargetID]bool
	// moved is when attempts were last moved off a target.
	moved map[request.TargetID]time.Time
}

func newDepartures() departures {
	return departures{listed: map[request.TargetID]bool{}, moved: map[request.TargetID]time.Time{}}
}

// listLeaving notes which targets the host list shows as leaving.
func (c *control) listLeaving(ctx context.Context, leaving map[request.TargetID]bool) {
	c.do(ctx, func() {
		c.departures.listed = leaving
		now := time.Now()
		for _, target := range c.table.Targets() {
			c.noteLeaving(now, target.ID)
		}
	})
}

// noteLeaving marks a target as leaving when any source says so, and moves its
// attempts where the profile asks for it.
func (c *control) noteLeaving(now time.Time, id request.TargetID) {
	target := c.table.Get(id)
	if target == nil {
		return
	}
	w := c.watches[id]
	_, drained := c.revisions.Current().Document.Draining[string(id)]
	leaving := drained || c.departures.listed[id] || (w != nil && w.leaving)
	if leaving && !target.Draining {
		c.observer.Record(timeline.Event{Kind: timeline.TargetLeaving, Target: id})
	}
	target.Draining = leaving
	if leaving && c.profile(target.Service).Drain == version.DrainMove {
		c.move(now, id)
	}
}

// move asks a few of the attempts on a leaving target to go elsewhere.
func (c *control) move(now time.Time, id request.TargetID) {
	if now.Sub(c.departures.moved[id]) < moveEvery {
		return
	}
	c.departures.moved[id] = now
	asked := 0
	for key, run := range c.running[id] {
		if asked == movesAtOnce {
			return
		}
		asked++
		run.driver.notify(request.Event{Type: request.EventMigrate, Target: id, Attempt: key.attempt})
	}
}
