package storesync

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// source is an entry on the path of a change, which happens at time zero.
type source struct {
	// confirmedAt is when the store confirmed what it knows, stuck is set if that does not change any more
	// though it answers, silent if it does not answer.
	confirmedAt   time.Duration
	stuck, silent bool
	nextAt        time.Duration
	unanswered    int
	maxAge        time.Duration
	isRelay       bool
}

const (
	questionTimeout = 150 * time.Millisecond
	roundTrip       = 5 * time.Millisecond
	storeRead       = 60 * time.Millisecond
)

// step lets an entry ask the given sources in turn, or read the store, when it is time for it.
func (s *source) step(now time.Duration, from ...*source) {
	if s.stuck || s.silent || now < s.nextAt {
		return
	}
	if s.unanswered >= len(from) || s.isRelay && s.unanswered > 0 {
		s.confirmedAt, s.unanswered, s.nextAt = now, 0, now+storeRead+900*time.Millisecond
		return
	}
	asked := from[s.unanswered]
	if asked.silent {
		s.unanswered++
		s.nextAt = now + questionTimeout
		return
	}
	answer := Answer{Age: now - asked.confirmedAt}
	if !answer.Usable(s.maxAge) {
		s.unanswered++
		s.nextAt = now + roundTrip
		return
	}
	s.confirmedAt, s.unanswered = max(s.confirmedAt, asked.confirmedAt), 0
	s.nextAt = now + roundTrip + answer.NextQuestion()
}

// The path of a change through reader, relay and entry, when one of them, or the first two, stop or fall silent
// right before they would learn of it, and no announcement arrives. The strictest bound of the deployments on
// sending no more work to a target that leaves is 2 s.
func TestPath_LongestTimeUntilAnEntryLearnsOfAChange(t *testing.T) {
	const step = 10 * time.Millisecond
	for name, c := range map[string]struct {
		stuck, silent []int
		within        time.Duration
	}{
		"none fails":                {nil, nil, 2 * time.Second},
		"reader is stuck":           {[]int{0}, nil, 2 * time.Second},
		"reader is silent":          {nil, []int{0}, 2 * time.Second},
		"relay is stuck":            {[]int{1}, nil, 2 * time.Second},
		"relay is silent":           {nil, []int{1}, 2 * time.Second},
		"reader and relay stuck":    {[]int{0, 1}, nil, 2 * time.Second},
		"reader and relay silent":   {nil, []int{0, 1}, 2 * time.Second},
		"reader stuck relay silent": {[]int{0}, []int{1}, 2 * time.Second},
	} {
		worst := time.Duration(0)
		for relayPhase := time.Duration(0); relayPhase < QuestionInterval; relayPhase += step {
			for entryPhase := time.Duration(0); entryPhase < QuestionInterval; entryPhase += step {
				reader := &source{nextAt: 900 * time.Millisecond, isRelay: true}
				relay := &source{nextAt: relayPhase, maxAge: maxReaderAge, isRelay: true}
				other := &source{nextAt: (relayPhase + 220*time.Millisecond) % QuestionInterval, maxAge: maxReaderAge, isRelay: true}
				entry := &source{nextAt: entryPhase, maxAge: maxRelayAge}
				path := []*source{reader, relay}
				for _, i := range c.stuck {
					path[i].stuck = true
				}
				for _, i := range c.silent {
					path[i].silent = true
				}
				now := time.Duration(0)
				for ; entry.confirmedAt <= 0; now += step {
					reader.step(now)
					relay.step(now, reader)
					other.step(now, reader)
					entry.step(now, relay, other)
				}
				worst = max(worst, now+storeRead)
			}
		}
		t.Logf("%s: %s", name, worst)
		assert.Assert(t, worst <= c.within, "%s: %s", name, worst)
	}
}
