package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
)

func newTestAttempt(e *exchange, id request.TargetID) *attempt {
	a := &attempt{exchange: e, target: placement.Registration{Endpoint: request.Endpoint{ID: id}}}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// An attempt was to replace one at a silent target. Its own target was suspected between the
// decision to send it and the sending: both ended, and the stream had none.
func TestSuspicion_AttemptIsEitherSentOrWithdrawn(t *testing.T) {
	g := newDeployment(t).startReadyEntry("entry-1")
	for name, withdrawn := range map[string]bool{"withdrawn first": true, "sent first": false} {
		t.Run(name, func(t *testing.T) {
			e := &exchange{gateway: g}
			first, second := newTestAttempt(e, "e1"), newTestAttempt(e, "e2")
			now := time.Now()
			recovery := request.NewRecovery(request.RecoveryPolicy{MaxAttempts: maxEmptyAttempts, ReplaceSuspected: true}, request.NewOutput(testEvents))
			for _, event := range []request.Event{
				{Type: request.EventStart}, {Type: request.EventTargetSelected, Target: "e1"},
				{Type: request.EventSuspected, Target: "e1"}, {Type: request.EventTargetSelected, Target: "e2"},
			} {
				recovery.Step(now, event)
			}
			s := &stream{
				exchange: e, recovery: recovery, timer: time.NewTimer(time.Hour), suspected: map[request.AttemptNumber]bool{1: true},
				running: map[request.AttemptNumber]*attempt{1: first, 2: second},
			}
			if withdrawn {
				assert.Assert(t, second.withdraw())
			}
			sending := make(chan struct{})
			s.handleUpdate(attemptUpdate{attempt: second, number: 2, sending: sending})
			<-sending
			assert.Equal(t, second.beginSending(), !withdrawn)
			assert.Equal(t, second.withdraw(), false)
			assert.Equal(t, first.ctx.Err() == nil, withdrawn, "the attempt that was to be replaced")
			assert.Equal(t, second.ctx.Err() == nil, !withdrawn, "the attempt that was to replace it")
		})
	}
}
