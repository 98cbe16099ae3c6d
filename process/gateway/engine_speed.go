package gateway

import (
	"time"
)

const (
	// eventWindow is the time over which the events of a stream are timed, minTimedEvents how
	// many it needs. Decoding is interrupted by prefill of about a second, so that most
	// windows are either free of it or known to have some.
	eventWindow    = 400 * time.Millisecond
	minTimedEvents = 4
	// maxSendDelay is how long a caller may keep events waiting in that time: while it reads
	// slowly, events are received late.
	maxSendDelay = 20 * time.Millisecond
)

// eventTimer times the events of an attempt. The goroutine of the attempt owns it.
type eventTimer struct {
	attempt *attempt
	began   time.Time
	events  int
	delayed bool
}

// record records that events were received at the given time, and that the caller took them by
// sentAt.
func (t *eventTimer) record(events int, receivedAt, sentAt time.Time) {
	switch elapsed := receivedAt.Sub(t.began); {
	case t.began.IsZero():
		// The first events end prefill; those after them are timed.
		t.began = receivedAt
	case elapsed < eventWindow || t.events+events < minTimedEvents:
		t.events += events
	default:
		t.attempt.recordEvents(t.events+events, elapsed, t.delayed)
		t.began, t.events, t.delayed = receivedAt, 0, false
	}
	t.delayed = t.delayed || sentAt.Sub(receivedAt) > maxSendDelay
}

// recordEvents records how long events of the attempt took. If they were delayed on their way, a new
// window begins without.
func (a *attempt) recordEvents(events int, elapsed time.Duration, delayed bool) {
	c := a.exchange.gateway.control
	c.post(func() {
		if !delayed {
			c.table.RecordEvents(time.Now(), a.target.ID, a.prefillMark, events, elapsed)
		}
		a.prefillMark = c.table.PrefillMark(a.target.ID)
	})
}

// prefillsAlone reports whether the target has had no other prompt to prefill since the attempt was
// placed.
func (a *attempt) prefillsAlone() bool {
	return a.prefillAlone && !a.streaming && a.prefillMark == a.exchange.gateway.control.table.PrefillMark(a.target.ID)
}

// checkPrefill looks for an attempt whose prefill takes longer than expected, which shows that its
// target is slow before the first event does.
func (c *control) checkPrefill(now time.Time, m *targetMonitor) {
	for a := range m.attempts {
		if a.prefillsAlone() && c.lastPause.Before(a.startedAt) {
			c.table.RecordOverduePrefill(now, m.id, a.requirements.PromptTokens, now.Sub(a.startedAt))
		}
	}
}
