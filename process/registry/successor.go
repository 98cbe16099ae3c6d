package registry

import (
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// addressReuseMargin is subtracted from the address reuse period: the last activity of the
// target may have been received late because of a lost packet, which takes a few hundred
// milliseconds to be retransmitted.
const addressReuseMargin = 450 * time.Millisecond

// SetAddressReuse sets for how long after a target ended its address is not given to a
// target of another service; zero means that this is not known.
func (r *Registry) SetAddressReuse(period time.Duration) { r.addressReuse = period }

// IsSuccessor reports whether an unregistered target that responds at the address of a
// target that is down, and whose last activity was silence ago, is its successor. This
// holds only while the store is unavailable; otherwise the registrations decide.
//
// It is needed when a failure domain restarts during an outage of the store: without it the
// fleet shrinks with each failure to the targets that never failed.
func (r *Registry) IsSuccessor(silence time.Duration) bool {
	return r.storeUnavailable && silence < r.addressReuse-addressReuseMargin
}

// Adopt records a target without a registration. Like one whose registration expired, it is
// removed if it does not register within LeaseExpiryGrace after the outage.
func (r *Registry) Adopt(id request.TargetID) {
	r.present[id] = true
	r.adopted[id] = true
}

// startAdoptedGrace starts the grace period of adopted targets when the store is available
// again.
func (r *Registry) startAdoptedGrace() {
	for id := range r.adopted {
		r.expiring[id] = r.graceUntil
	}
	clear(r.adopted)
}
