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

func startDraining(t *testing.T, drain version.DrainPolicy) *fleet.Fleet {
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

// The answer on a leaving target moves, and what comes after it goes elsewhere too.
func TestAnswerMovesOffLeavingTarget(t *testing.T) {
	f := startDraining(t, version.DrainMove)
	p := begin(t, f, longAsk())
	left := busy(t, f)
	f.Hosts.SetState(left.Placement.Target, outside.HostLeaving)
	assert.Assert(t, p.check(t) != string(left.Placement.Target))
	assert.Equal(t, int(p.answer.Outcome.Attempts), 2)
	for range 4 {
		assert.Assert(t, begin(t, f, trialAsk()).check(t) != string(left.Placement.Target))
	}
}

// With the other policy the answer ends where it is, and only new work goes elsewhere.
func TestAnswerEndsOnLeavingTarget(t *testing.T) {
	f := startDraining(t, version.DrainFinish)
	p := begin(t, f, longAsk())
	left := busy(t, f)
	stopped := make(chan error, 1)
	go func() { stopped <- left.Agent.Stop(t.Context()) }()
	assert.Equal(t, p.check(t), string(left.Placement.Target))
	assert.Equal(t, int(p.answer.Outcome.Attempts), 1)
	assert.NilError(t, <-stopped)
	for range 4 {
		assert.Assert(t, begin(t, f, trialAsk()).check(t) != string(left.Placement.Target))
	}
}
