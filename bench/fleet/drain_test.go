package fleet_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/version"
)

func startWithDrainPolicy(t *testing.T, drain version.DrainPolicy) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	document := fleet.TrialDocument()
	profile := document.Profiles[fleet.TrialProfile]
	profile.Drain = drain
	document.Profiles[fleet.TrialProfile] = profile
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: document, Service: fleet.TrialService, Domains: []string{"naxos", "paros"},
		Entries: 1, Engines: 2, Engine: engine.DefaultConfig(salt, fleet.TrialVersion),
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return f
}

// With the drain policy "move", a running generation moves off a draining target, and
// new requests go to other targets.
func TestDrainMove_MovesRunningGeneration(t *testing.T) {
	f := startWithDrainPolicy(t, version.DrainMove)
	p := startPending(t, f, longRequest())
	draining := awaitDecodingMember(t, f)
	f.Hosts.SetState(draining.Placement.Target, outside.HostLeaving)
	assert.Assert(t, p.awaitCorrect(t) != string(draining.Placement.Target))
	assert.Equal(t, int(p.resp.Outcome.Attempts), 2)
	for range 4 {
		assert.Assert(t, startPending(t, f, trialRequest()).awaitCorrect(t) != string(draining.Placement.Target))
	}
}

// With the drain policy "finish", a running generation completes on the draining
// target, and only new requests go to other targets.
func TestDrainFinish_CompletesOnDrainingTarget(t *testing.T) {
	f := startWithDrainPolicy(t, version.DrainFinish)
	p := startPending(t, f, longRequest())
	draining := awaitDecodingMember(t, f)
	stopped := make(chan error, 1)
	go func() { stopped <- draining.Agent.Stop(t.Context()) }()
	assert.Equal(t, p.awaitCorrect(t), string(draining.Placement.Target))
	assert.Equal(t, int(p.resp.Outcome.Attempts), 1)
	assert.NilError(t, <-stopped)
	for range 4 {
		assert.Assert(t, startPending(t, f, trialRequest()).awaitCorrect(t) != string(draining.Placement.Target))
	}
}
