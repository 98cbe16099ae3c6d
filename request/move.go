package request

import (
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// hold keeps the tokens of a moving attempt while another takes over.
func (r *Recovery) hold(now time.Time, i int, event Event) {
	held := &r.running[i]
	have := r.answer.Len() + len(held.held)
	if event.Position > have {
		r.cancel(event.Attempt)
		r.onFailed(now, event.Attempt, fault.Crossed)
		return
	}
	known := min(have-event.Position, len(event.Tokens))
	held.held = append(held.held, event.Tokens[known:]...)
	if len(held.held) <= maxHeld {
		return
	}
	other := r.running[1-i]
	held.moving = false
	r.cancel(other.number)
	r.running = append(r.running[:0], *held)
	r.release()
}

// release delivers what the only running attempt holds.
func (r *Recovery) release() {
	only := &r.running[0]
	held := only.held
	only.held = nil
	fresh, verdict := r.answer.Append(r.answer.Len(), held)
	if verdict == Accepted {
		r.deliver(only.number, fresh)
	}
}
