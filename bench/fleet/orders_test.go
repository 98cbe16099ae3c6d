package fleet_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/ordercontrol"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/weights"
	"github.com/mulberrylane/mulberrylane/version"
)

// startOrdersFleet starts a fleet with the trial document, after change was applied to
// its model.
func startOrdersFleet(t *testing.T, config engine.Config, change func(*version.Model)) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: documentWith(change), Service: fleet.TrialService,
		Domains: []string{"naxos", "paros"}, Entries: 1, Engines: 3, Engine: config,
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return f
}

func documentWith(change func(*version.Model)) version.Document {
	document := fleet.TrialDocument()
	service := document.Services[fleet.TrialService]
	model := *service.Model
	change(&model)
	service.Model = &model
	document.Services[fleet.TrialService] = service
	return document
}

func TestPreload_LoadsVersionsAndTriesFailedLoadOnce(t *testing.T) {
	config := engine.DefaultConfig(salt, fleet.TrialVersion)
	config.Weights = weights.New(0)
	config.Weights.SetMissing("lost", true)
	f := startOrdersFleet(t, config, func(m *version.Model) {
		m.Preload = []string{"lost", "trial-lm-v2"}
		m.LoadsPerMinute = 6000
		m.Role = "decode"
		m.MinReplicas = 2
	})
	await(t, "all engines have the declared version and role", func() bool {
		return !slices.ContainsFunc(f.Members, func(m *fleet.Member) bool {
			orders := m.Engine.Orders()
			hasRole := slices.ContainsFunc(orders, func(o outside.Order) bool { return o.Role == "decode" })
			return !hasRole || !slices.Contains(m.Engine.Models(), "trial-lm-v2")
		})
	})
	assert.Equal(t, config.Weights.FetchCount("lost"), 3, "one attempt at each target")
}

// orderSender sends orders to one agent, each over a new link.
type orderSender struct {
	t      *testing.T
	dialer *link.Dialer
	member *fleet.Member
}

func (s orderSender) send(token outside.FencingToken, model string) fault.Kind {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), 30*time.Second)
	defer cancel()
	l, err := s.dialer.Dial(ctx, s.member.Placement.AgentAddress)
	assert.NilError(s.t, err)
	defer l.Close()
	control, err := l.Open(ctx)
	assert.NilError(s.t, err)
	assert.NilError(s.t, control.Write(wire.ControlFrame{Hello: &wire.Hello{Process: "trial-dialer"}}))
	stream, err := l.Open(ctx)
	assert.NilError(s.t, err)
	order := wire.Order{Service: fleet.TrialService, Kind: outside.OrderLoad, Model: model, FencingToken: token}
	assert.NilError(s.t, stream.Write(wire.ClientFrame{Order: &order}))
	var frame wire.ServerFrame
	assert.NilError(s.t, stream.Read(&frame))
	return frame.OrderReply.Kind
}

// acquireOrderLease acquires the order lease of the trial service and returns its
// fencing token.
func acquireOrderLease(t *testing.T, store outside.Store) outside.FencingToken {
	t.Helper()
	lease, err := store.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	swap := outside.CompareAndSwapRequest{Key: ordercontrol.LeaseKey(fleet.TrialService), Lease: lease}
	current, acquired, err := store.CompareAndSwap(t.Context(), swap)
	assert.NilError(t, err)
	assert.Assert(t, acquired)
	return outside.FencingToken(current.ModRevision)
}

func TestOrders_RefuseStaleFencingToken(t *testing.T) {
	for name, checksFencing := range map[string]bool{"engine checks fencing": true, "engine ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			config := engine.DefaultConfig(salt, fleet.TrialVersion)
			config.ChecksFencing = checksFencing
			f := startOrdersFleet(t, config, func(*version.Model) {})
			dialer, err := f.Dialer()
			assert.NilError(t, err)
			defer func() { _ = dialer.Close() }()
			sender := orderSender{t: t, dialer: dialer, member: f.Members[0]}
			store := f.StoreClient()

			first := acquireOrderLease(t, store)
			assert.Equal(t, sender.send(first, "by-first"), fault.None)
			f.Store.ExpireLeases()
			assert.Equal(t, sender.send(first, "lapsed"), fault.Fenced)
			second := acquireOrderLease(t, store)
			assert.Equal(t, sender.send(first, "old"), fault.Fenced, "before the first order of the new lease holder")
			assert.Equal(t, sender.send(second, "by-second"), fault.None)
			assert.Equal(t, sender.send(first, "old"), fault.Fenced)
			assert.NilError(t, f.Members[0].RestartAgent(t.Context()))
			assert.Equal(t, sender.send(first, "old"), fault.Fenced, "after a restart of the agent")

			f.Store.SetFaults(kv.Faults{Outage: true})
			assert.Equal(t, sender.send(second, "in-outage"), fault.StoreUnavailable)
			f.Store.SetFaults(kv.Faults{})
			assert.DeepEqual(t, f.Members[0].Engine.Models(), []string{fleet.TrialVersion, "by-first", "by-second"})
		})
	}
}
