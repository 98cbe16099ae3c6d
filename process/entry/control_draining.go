package entry

import (
	"context"
	"time"

	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// maxMigrationsPerInterval is how many attempts are migrated off a draining target
	// in each migrationInterval, so that their prefills do not delay other work.
	maxMigrationsPerInterval = 4
	migrationInterval        = 100 * time.Millisecond
)

// drainState is the part of the control goroutine's state about draining targets.
type drainState struct {
	// listed is true for targets that the host list shows as draining or has stopped
	// showing.
	listed map[request.TargetID]bool
	// lastMigration is when attempts were last migrated off each target.
	lastMigration map[request.TargetID]time.Time
}

func newDrainState() drainState {
	return drainState{listed: map[request.TargetID]bool{}, lastMigration: map[request.TargetID]time.Time{}}
}

// setListedDraining records which targets drain according to the host list.
func (c *control) setListedDraining(ctx context.Context, draining map[request.TargetID]bool) {
	c.do(ctx, func() {
		c.draining.listed = draining
		now := time.Now()
		for _, target := range c.table.Targets() {
			c.updateDraining(now, target.ID)
		}
	})
}

// updateDraining marks a target as draining when the configuration, the host list or
// its agent reports so, and migrates its attempts if the profile requires it.
func (c *control) updateDraining(now time.Time, id request.TargetID) {
	target := c.table.Get(id)
	if target == nil {
		return
	}
	h := c.health[id]
	_, configured := c.revisions.Current().Document.Draining[string(id)]
	draining := configured || c.draining.listed[id] || (h != nil && h.draining)
	if draining && !target.Draining {
		c.observer.Record(timeline.Event{Kind: timeline.TargetLeaving, Target: id})
	}
	target.Draining = draining
	if draining && c.profile(target.Service).Drain == version.DrainMove {
		c.migrateAttempts(now, id)
	}
}

// migrateAttempts tells up to maxMigrationsPerInterval of the attempts on a draining
// target to migrate to another target.
func (c *control) migrateAttempts(now time.Time, id request.TargetID) {
	if now.Sub(c.draining.lastMigration[id]) < migrationInterval {
		return
	}
	c.draining.lastMigration[id] = now
	notified := 0
	for key, load := range c.runningAttempts[id] {
		if notified == maxMigrationsPerInterval {
			return
		}
		notified++
		load.driver.notify(request.Event{Type: request.EventMigrate, Target: id, Attempt: key.attempt})
	}
}
