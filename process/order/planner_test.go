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

var startTime = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func newTargets(n int, models ...string) []order.Target {
	list := make([]order.Target, n)
	for i := range list {
		list[i] = order.Target{ID: request.TargetID(rune('a' + i)), Up: true, Models: slices.Clone(models)}
	}
	return list
}

func TestFailedLoad_NotRetriedUntilDeclarationChanges(t *testing.T) {
	p := order.NewPlanner(7)
	desired := order.Desired{Models: []string{"v2"}, LoadsPerMinute: 600}
	p.SetDesired(desired)
	targets := newTargets(1, "v1")
	plan := p.Plan(startTime, targets)
	assert.Equal(t, len(plan), 1)
	assert.Equal(t, plan[0].Order, outside.Order{Kind: outside.OrderLoad, Model: "v2", FencingToken: 7})
	p.RecordResult(startTime, plan[0], fault.New(fault.OrderFailed, "no weights"))
	assert.Equal(t, len(p.Plan(startTime.Add(time.Hour), targets)), 0)
	assert.Equal(t, len(p.FailedOrders()), 1)
	desired.MinReplicas = 0
	desired.Models = []string{"v2", "adapter"}
	p.SetDesired(desired)
	assert.Equal(t, len(p.Plan(startTime.Add(time.Hour), targets)), 1)
}

func TestOrderWithUnknownOutcome_RetriedAfterDelay(t *testing.T) {
	p := order.NewPlanner(7)
	p.SetDesired(order.Desired{Models: []string{"v2"}, LoadsPerMinute: 600})
	targets := newTargets(1, "v1")
	plan := p.Plan(startTime, targets)
	p.RecordResult(startTime, plan[0], fault.New(fault.TargetLost, ""))
	assert.Equal(t, len(p.Plan(startTime.Add(time.Second), targets)), 0)
	assert.Equal(t, len(p.Plan(startTime.Add(time.Minute), targets)), 1)
}

func TestUnload_WaitsUntilVersionIsUnused(t *testing.T) {
	p := order.NewPlanner(7)
	p.SetDesired(order.Desired{Models: []string{"v2"}, LoadsPerMinute: 600})
	targets := newTargets(2, "v1", "v2")
	targets[1].InUse = []string{"v1"}
	assert.Equal(t, len(p.Plan(startTime, targets)), 0)
	assert.Equal(t, len(p.Plan(startTime.Add(time.Hour), targets)), 0)
	targets[1].InUse = nil
	lastUse := startTime.Add(2 * time.Hour)
	assert.Equal(t, len(p.Plan(lastUse, targets)), 0)
	plan := p.Plan(lastUse.Add(order.UnloadDelay), targets)
	assert.Equal(t, len(plan), 2)
	assert.Equal(t, plan[0].Order, outside.Order{Kind: outside.OrderUnload, Model: "v1", FencingToken: 7})
}

// TestRollout_KeepsMinReplicasAndLoadRate runs complete rollouts in which orders are
// lost before or after they take effect. It checks the minimum of replicas in
// service, the time between loads and the models loaded at the end.
func TestRollout_KeepsMinReplicasAndLoadRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perMinute = 60
		n := rapid.IntRange(2, 6).Draw(t, "targets")
		minReplicas := rapid.IntRange(0, n-1).Draw(t, "minReplicas")
		targets := newTargets(n, "v1")
		p := order.NewPlanner(3)
		p.SetDesired(order.Desired{Models: []string{"v2"}, MinReplicas: minReplicas, LoadsPerMinute: perMinute})
		running := map[request.TargetID]order.Assignment{}
		var lastLoad time.Time
		now := startTime
		for range 400 {
			now = now.Add(500 * time.Millisecond)
			for _, a := range p.Plan(now, targets) {
				if a.Order.Kind == outside.OrderLoad {
					if !lastLoad.IsZero() && now.Sub(lastLoad) < time.Minute/perMinute {
						t.Fatalf("two loads only %v apart", now.Sub(lastLoad))
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
			if n-loading < minReplicas {
				t.Fatalf("%d of %d targets are loading; at least %d must stay in service", loading, n, minReplicas)
			}
			finishRandomOrders(t, p, now, targets, running)
		}
		for _, target := range targets {
			if !slices.Equal(target.Models, []string{"v2"}) {
				t.Fatalf("%s: final models are %v, want only v2", target.ID, target.Models)
			}
		}
	})
}

func finishRandomOrders(t *rapid.T, p *order.Planner, now time.Time, targets []order.Target, running map[request.TargetID]order.Assignment) {
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
		targets[i].Models = executeOrder(targets[i].Models, a.Order)
		if lost {
			p.RecordResult(now, a, fault.New(fault.TargetLost, ""))
		} else {
			p.RecordResult(now, a, nil)
		}
	}
}

func executeOrder(models []string, o outside.Order) []string {
	without := slices.DeleteFunc(slices.Clone(models), func(m string) bool { return m == o.Model })
	if o.Kind == outside.OrderLoad {
		return append(without, o.Model)
	}
	return without
}
