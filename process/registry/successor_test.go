package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

const testAddressReuse = 2 * time.Second

func newRegistryInOutage() *Registry {
	r := New()
	r.SetAddressReuse(testAddressReuse)
	r.MarkStoreUnavailable()
	return r
}

func TestIsSuccessor_OnlyWhileAddressIsReserved(t *testing.T) {
	r := newRegistryInOutage()
	assert.Assert(t, r.IsSuccessor(1300*time.Millisecond))
	assert.Assert(t, !r.IsSuccessor(testAddressReuse-addressReuseMargin))
	r.MarkStoreAvailable(start)
	assert.Assert(t, !r.IsSuccessor(time.Second), "the store is available, so its registrations decide")
	r = New()
	r.MarkStoreUnavailable()
	assert.Assert(t, !r.IsSuccessor(0), "the address reuse period is not known")
}

func TestAdopt_ExpiresUnlessRegisteredAfterOutage(t *testing.T) {
	r := newRegistryInOutage()
	r.Adopt("e2")
	r.Adopt("e3")
	assert.Equal(t, len(r.TakeExpired(start)), 0, "the store is still unavailable")
	r.MarkStoreAvailable(start)
	r.Register("e2")
	assert.Equal(t, len(r.TakeExpired(start.Add(time.Second))), 0)
	assert.DeepEqual(t, r.TakeExpired(start.Add(LeaseExpiryGrace)), []request.TargetID{"e3"})
}
