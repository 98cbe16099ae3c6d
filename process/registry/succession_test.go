package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

const reuse = 2 * time.Second

func awayRegistry() *Registry {
	r := New()
	r.SetAddressReuse(reuse)
	r.MarkStoreUnavailable()
	return r
}

func TestNextLifeIsBelievedOnlyWhileItsAddressCannotBeAnothers(t *testing.T) {
	r := awayRegistry()
	assert.Assert(t, r.IsSuccessor(1300*time.Millisecond))
	assert.Assert(t, !r.IsSuccessor(reuse-reuseMargin))
	r.MarkStoreAvailable(start)
	assert.Assert(t, !r.IsSuccessor(time.Second), "the store says who lives")
	r = New()
	r.MarkStoreUnavailable()
	assert.Assert(t, !r.IsSuccessor(0), "nothing is known of the reuse of addresses")
}

func TestAdoptedTargetMustRegisterSoonAfterTheStoresReturn(t *testing.T) {
	r := awayRegistry()
	r.Adopt("e2")
	r.Adopt("e3")
	assert.Equal(t, len(r.TakeExpired(start)), 0, "the store is still away")
	r.MarkStoreAvailable(start)
	r.Register("e2")
	assert.Equal(t, len(r.TakeExpired(start.Add(time.Second))), 0)
	assert.DeepEqual(t, r.TakeExpired(start.Add(LeaseExpiryGrace)), []request.TargetID{"e3"})
}
