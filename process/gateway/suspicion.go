package gateway

import (
	"maps"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// handleSuspicions tells the recovery which targets of running attempts are suspected.
func (s *stream) handleSuspicions() {
	for number, a := range maps.Clone(s.running) {
		suspected := a.suspected.Load()
		if suspected == s.suspected[number] || s.running[number] == nil {
			continue
		}
		s.suspected[number] = suspected
		s.suspectedAt = time.Now()
		event := request.Event{Type: request.EventTrusted, Target: a.target.ID}
		if suspected {
			event.Type = request.EventSuspected
		}
		s.handleEvent(event)
	}
}

// suspectedAttempt returns the only running attempt if its target is suspected, else nil.
func (s *stream) suspectedAttempt() *attempt {
	for number, a := range s.running {
		if len(s.running) == 1 && s.suspected[number] {
			return a
		}
	}
	return nil
}

// cancelAttempt cancels an attempt. Unless the stream ends, another one goes on instead.
func (s *stream) cancelAttempt(number request.AttemptNumber) {
	a := s.running[number]
	if a == nil {
		return
	}
	a.cancel()
	if s.recovery.Ended() {
		return
	}
	delete(s.running, number)
	if !s.suspected[number] {
		return
	}
	if s.interruptedAt.IsZero() {
		s.interruptedAt = time.Now()
	}
	s.gateway.log.Event("replaced", "request", s.inbound.ID, "target", a.target.ID, "after", time.Since(a.startedAt),
		"events", s.recovery.Output().Len())
}
