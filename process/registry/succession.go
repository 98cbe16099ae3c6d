package registry

import (
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// reuseMargin is kept from the time for which the address of a target that ended is
// not given to another service: the last sign of life may have been held up by a lost
// packet, which takes a few hundred milliseconds to be sent again.
const reuseMargin = 450 * time.Millisecond

// SetAddressReuse tells for how long after a target ended its address is not given to a
// target of another service; zero means that nothing is known of it.
func (r *Registry) SetAddressReuse(reuse time.Duration) { r.reuse = reuse }

// IsSuccessor says whether a target that answers now at the address of one that was
// heard silence ago and was lost since is its next life, though it is not
// registered. That is asked only while the store is away: else it knows better.
//
// It answers failure domains that start anew in the middle of an outage of the
// store: without it the fleet shrinks with each loss to the targets that never
// failed.
func (r *Registry) IsSuccessor(silence time.Duration) bool {
	return r.away && silence < r.reuse-reuseMargin
}

// Adopt notes a target that is believed without a registration. It is dropped like
// one whose registration lapsed if it has none soon after the store's return.
func (r *Registry) Adopt(id request.TargetID) {
	r.present[id] = true
	r.adopted[id] = true
}

// settleAdopted bounds how long adopted targets are believed, from the store's
// return on.
func (r *Registry) settleAdopted() {
	for id := range r.adopted {
		r.lapsed[id] = r.believe
	}
	clear(r.adopted)
}
