package order_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/order"
	"github.com/mulberrylane/mulberrylane/request"
)

var begin = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func fleetOf(n int, models ...string) []order.Target {
	list := make([]order.Target, n)
	for i := range list {
		list[i] = order.Target{ID: request.TargetID(rune('a' + i)), Up: true, Models: slices.Clone(models)}
	}
	return list
}

func TestFailedLoadIsHeldUntilTheDeclarationChanges(t *testing.T) {
	p := order.NewPlanner(7)
	desired := order.Desired{Models: []string{"v2"}, LoadsPerMinute: 600}
	p.SetDesired(desired)
	targets := fleetOf(1, "v1")
	plan := p.Plan(begin, targets)
	assert.Equal(t, len(plan), 1)
	assert.Equal(t, plan[0].Order, outside.Order{Kind: outside.OrderLoad, Model: "v2", FencingToken: 7})
	p.RecordResult(begin, plan[0], fault.New(fault.OrderFailed, "no weights"))
	assert.Equal(t, len(p.Plan(begin.Add(time.Hour), targets)), 0)
	assert.Equal(t, len(p.Held()), 1)
	desired.MinReplicas = 0
	desired.Models = []string{"v2", "adapter"}
	p.SetDesired(desired)
	assert.Equal(t, len(p.Plan(begin.Add(time.Hour), targets)), 1)
}

func TestLostOrderIsPlannedAnew(t *testing.T) {
	p := order.NewPlanner(7)
	p.SetDesired(order.Desired{Models: []string{"v2"}, LoadsPerMinute: 600})
	targets := fleetOf(1, "v1")
	plan := p.Plan(begin, targets)
	p.RecordResult(begin, plan[0], fault.New(fault.TargetLost, ""))
	assert.Equal(t, len(p.Plan(begin.Add(time.Second), targets)), 0)
	assert.Equal(t, len(p.Plan(begin.Add(time.Minute), targets)), 1)
}

func TestVersionInUseAnywhereIsKept(t *testing.T) {
	p := order.NewPlanner(7)
	p.SetDesired(order.Desired{Models: []string{"v2"}, LoadsPerMinute: 600})
	targets := fleetOf(2, "v1", "v2")
	targets[1].InUse = []string{"v1"}
	assert.Equal(t, len(p.Plan(begin, targets)), 0)
	assert.Equal(t, len(p.Plan(begin.Add(time.Hour), targets)), 0)
	targets[1].InUse = nil
	over := begin.Add(2 * time.Hour)
	assert.Equal(t, len(p.Plan(over, targets)), 0)
	plan := p.Plan(over.Add(order.UnloadAfter), targets)
	assert.Equal(t, len(plan), 2)
	assert.Equal(t, plan[0].Order, outside.Order{Kind: outside.OrderUnload, Model: "v1", FencingToken: 7})
}

// TestRolloutKeepsItsBounds runs whole rollouts over fleets whose targets come,
// go and lose orders, and holds the planner to the replicas, the pace and the end.
func TestRolloutKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perMinute = 60
		n := rapid.IntRange(2, 6).Draw(t, "targets")
		least := rapid.IntRange(0, n-1).Draw(t, "minReplicas")
		targets := fleetOf(n, "v1")
		p := order.NewPlanner(3)
		p.SetDesired(order.Desired{Models: []string{"v2"}, MinReplicas: least, LoadsPerMinute: perMinute})
		running := map[request.TargetID]order.Assignment{}
		var lastLoad time.Time
		now := begin
		for range 400 {
			now = now.Add(500 * time.Millisecond)
			for _, a := range p.Plan(now, targets) {
				if a.Order.Kind == outside.OrderLoad {
					if !lastLoad.IsZero() && now.Sub(lastLoad) < time.Minute/perMinute {
						t.Fatalf("loads %v apart", now.Sub(lastLoad))
					}
					lastLoad = now
				}
				running[a.Target] = a
			}
			loading := 0
			for _, a := range running {
				if a.Order.Kind == outside.OrderLoad {
					loading++
				}
			}
			if n-loading < least {
				t.Fatalf("%d of %d targets are loading, %d must serve", loading, n, least)
			}
			finishSome(t, p, now, targets, running)
		}
		for _, target := range targets {
			if !slices.Equal(target.Models, []string{"v2"}) {
				t.Fatalf("%s ended with %v", target.ID, target.Models)
			}
		}
	})
}

func finishSome(t *rapid.T, p *order.Planner, now time.Time, targets []order.Target, running map[request.TargetID]order.Assignment) {
	for i := range targets {
		a, busy := running[targets[i].ID]
		if !busy || rapid.IntRange(0, 2).Draw(t, "finish") > 0 {
			continue
		}
		delete(running, a.Target)
		lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
		if lost && rapid.Bool().Draw(t, "before") {
			p.RecordResult(now, a, fault.New(fault.TargetLost, ""))
			continue
		}
		targets[i].Models = carryOut(targets[i].Models, a.Order)
		if lost {
			p.RecordResult(now, a, fault.New(fault.TargetLost, ""))
		} else {
			p.RecordResult(now, a, nil)
		}
	}
}

func carryOut(models []string, o outside.Order) []string {
	without := slices.DeleteFunc(slices.Clone(models), func(m string) bool { return m == o.Model })
	if o.Kind == outside.OrderLoad {
		return append(without, o.Model)
	}
	return without
}
