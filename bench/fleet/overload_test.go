package fleet_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// Once the engine makes attempts wait, the queue of the entry fills and requests
// over its bound are refused as not run; all others are answered whole.
func TestOverloadIsRefusedAsNotRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	document := fleet.TrialDocument()
	profile := document.Profiles[fleet.TrialProfile]
	profile.Queue = 4
	profile.FirstTokenWithin = profile.Deadline
	document.Profiles[fleet.TrialProfile] = profile
	config := engine.DefaultConfig(salt, fleet.TrialVersion)
	config.Batch = 2
	config.LoadLag = 50 * time.Millisecond
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: document, Service: fleet.TrialService, Domains: []string{"naxos"},
		Entries: 1, Engines: 1, Engine: config,
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)

	refused := make(chan struct{}, 1)
	ended := make(chan *pending)
	sent := 0
	ask := trialAsk()
	ask.MaxTokens = 20
	for waiting := true; waiting; {
		p := begin(t, f, ask)
		sent++
		go func() {
			<-p.done
			if p.answer.Status != http.StatusOK {
				select {
				case refused <- struct{}{}:
				default:
				}
			}
			ended <- p
		}()
		select {
		case <-refused:
			waiting = false
		case <-time.After(50 * time.Millisecond):
		}
		assert.NilError(t, ctx.Err())
	}
	whole := 0
	for range sent {
		p := <-ended
		assert.NilError(t, p.err)
		if p.answer.Status == http.StatusOK {
			whole++
			assert.Assert(t, caller.Check(salt, fleet.TrialVersion, p.ask, p.answer).OK())
			continue
		}
		assert.Equal(t, p.answer.Outcome.Error, fault.Overloaded.String())
		assert.Equal(t, p.answer.Outcome.WasRun.String(), "no")
	}
	assert.Assert(t, whole > 0 && whole < sent, "%d of %d", whole, sent)
}
