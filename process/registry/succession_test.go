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
	r.SetReuse(reuse)
	r.Away()
	return r
}

func TestNextLifeIsBelievedOnlyWhileItsAddressCannotBeAnothers(t *testing.T) {
	r := awayRegistry()
	assert.Assert(t, r.Succeeds(1300*time.Millisecond))
	assert.Assert(t, !r.Succeeds(reuse-reuseMargin))
	r.Back(start)
	assert.Assert(t, !r.Succeeds(time.Second), "the store says who lives")
	r = New()
	r.Away()
	assert.Assert(t, !r.Succeeds(0), "nothing is known of the reuse of addresses")
}

func TestAdoptedTargetMustRegisterSoonAfterTheStoresReturn(t *testing.T) {
	r := awayRegistry()
	r.Adopt("e2")
	r.Adopt("e3")
	assert.Equal(t, len(r.Due(start)), 0, "the store is still away")
	r.Back(start)
	r.Added("e2")
	assert.Equal(t, len(r.Due(start.Add(time.Second))), 0)
	assert.DeepEqual(t, r.Due(start.Add(LapseGrace)), []request.TargetID{"e3"})
}
