package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

var start = time.Unix(1000, 0)

func TestDeregister_RemovesTargetAtOnce(t *testing.T) {
	r := New()
	r.Register("a")
	assert.Assert(t, r.Deregister(start, "a"))
	assert.Assert(t, !r.Deregister(start, "a"), "removed twice")
}

func TestStoreOutage_KeepsExpiredRegistrationsForGracePeriod(t *testing.T) {
	r := New()
	r.Reconcile(start, []request.TargetID{"a", "b", "c"})
	r.MarkStoreUnavailable()
	assert.Assert(t, r.MarkStoreAvailable(start))
	assert.Assert(t, !r.MarkStoreAvailable(start), "the store became available twice")
	assert.Equal(t, len(r.Reconcile(start, []request.TargetID{"a"})), 0)
	r.Register("b")
	assert.Equal(t, len(r.TakeExpired(start.Add(LeaseExpiryGrace-1))), 0)
	assert.DeepEqual(t, r.TakeExpired(start.Add(LeaseExpiryGrace)), []request.TargetID{"c"})
	assert.Equal(t, len(r.TakeExpired(start.Add(LeaseExpiryGrace))), 0)
}

func TestReconcile_RemovesMissingTargets(t *testing.T) {
	r := New()
	r.Reconcile(start, []request.TargetID{"a", "b"})
	assert.DeepEqual(t, r.Reconcile(start, []request.TargetID{"b"}), []request.TargetID{"a"})
}
