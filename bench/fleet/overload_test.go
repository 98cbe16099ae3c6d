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

// Once the engine queues attempts, the queue of the entry fills up. Requests beyond
// its bound are refused as not run; all others get a complete response.
func TestOverload_RefusesAsNotRun(t *testing.T) {
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
	ended := make(chan *pendingCompletion)
	sent := 0
	req := trialRequest()
	req.MaxTokens = 20
	for sending := true; sending; {
		p := startPending(t, f, req)
		sent++
		go func() {
			<-p.done
			if p.resp.Status != http.StatusOK {
				select {
				case refused <- struct{}{}:
				default:
				}
			}
			ended <- p
		}()
		select {
		case <-refused:
			sending = false
		case <-time.After(50 * time.Millisecond):
		}
		assert.NilError(t, ctx.Err())
	}
	completed := 0
	for range sent {
		p := <-ended
		assert.NilError(t, p.err)
		if p.resp.Status == http.StatusOK {
			completed++
			assert.Assert(t, caller.Check(salt, fleet.TrialVersion, p.req, p.resp).OK())
			continue
		}
		assert.Equal(t, p.resp.Outcome.Error, fault.Overloaded.String())
		assert.Equal(t, p.resp.Outcome.WasRun.String(), "no")
	}
	assert.Assert(t, completed > 0 && completed < sent, "%d of %d", completed, sent)
}
