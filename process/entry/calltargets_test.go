package entry

import (
	"context"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/observe"
	"github.com/mulberrylane/mulberrylane/process/revision"
	"github.com/mulberrylane/mulberrylane/request"
)

// TestCallTargetPick_SkipsTargetsWithoutLink guards against a target whose link has
// broken while the routing table still shows it as up: Pick returns the other target,
// and fails only when no target has a link.
func TestCallTargetPick_SkipsTargetsWithoutLink(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c := newControl(rand.New(rand.NewPCG(1, 1)), revision.NewActive(), observe.New("entry-1", "127.0.0.1:0", nil))
	unlinked, linked := &peer{}, &peer{link: &link.Link{}}
	e := &Entry{control: c, peers: peers{byTarget: map[request.TargetID]*peer{"t-1": unlinked, "t-2": linked}}}
	for _, id := range []request.TargetID{"t-1", "t-2"} {
		target := c.table.Upsert(id)
		target.Service = "bookings"
		target.Up = true
	}
	go c.run(ctx)
	defer func() {
		cancel()
		<-c.done
	}()
	for range 50 {
		target, err := callTargets{e}.Pick(ctx, "bookings", nil)
		assert.NilError(t, err)
		assert.Equal(t, target.ID, request.TargetID("t-2"))
		target.Release()
	}
	linked.setLink(nil, 0)
	_, err := callTargets{e}.Pick(ctx, "bookings", nil)
	assert.Equal(t, fault.KindOf(err), fault.NoTarget)
}
