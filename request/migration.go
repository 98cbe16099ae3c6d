package request

import (
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// holdTokens buffers the tokens of a migrating attempt while another attempt takes
// over. When more than maxHeldTokens are held, the migration is abandoned.
func (r *Recovery) holdTokens(now time.Time, i int, event Event) {
	migrating := &r.running[i]
	next := r.output.Len() + len(migrating.held)
	if event.Position > next {
		r.cancel(event.Attempt)
		r.onFailed(now, event.Attempt, fault.Crossed)
		return
	}
	overlap := min(next-event.Position, len(event.Tokens))
	migrating.held = append(migrating.held, event.Tokens[overlap:]...)
	if len(migrating.held) <= maxHeldTokens {
		return
	}
	other := r.running[1-i]
	migrating.migrating = false
	r.cancel(other.number)
	r.running = append(r.running[:0], *migrating)
	r.deliverHeldTokens()
}

// deliverHeldTokens delivers the held tokens of the only running attempt.
func (r *Recovery) deliverHeldTokens() {
	only := &r.running[0]
	held := only.held
	only.held = nil
	fresh, result := r.output.Append(r.output.Len(), held)
	if result == Accepted {
		r.deliver(only.number, fresh)
	}
}
