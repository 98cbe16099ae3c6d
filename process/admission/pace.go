package admission

import (
	"math"
	"time"
)

const (
	// paceWindow is the time over which the pace is averaged.
	paceWindow = 3 * time.Second
	// leastObserved is how much of it must have been seen to judge by.
	leastObserved = time.Second
	// lengthWeight is the weight of one answer in the average of lengths.
	lengthWeight = 1.0 / 32
	// durationMargin is the part of an estimated duration that is certain enough
	// to refuse by.
	durationMargin = 0.8
)

// pace estimates how fast the targets of a service generate. Sums decay over
// paceWindow.
type pace struct {
	at time.Time
	// tokens were generated in streams seconds of running requests.
	tokens, streams float64
	// fullTokens were generated in full seconds during which requests waited.
	fullTokens, full float64
	// shortfall is by how much answers are shorter than asked for, from 0 to 1.
	shortfall float64
}

// produced notes the tokens since the last call, while running requests ran.
func (p *pace) produced(now time.Time, tokens, running int, waiting bool) {
	elapsed := now.Sub(p.at)
	p.at = now
	if elapsed <= 0 || elapsed > paceWindow {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(paceWindow))
	p.tokens = keep*p.tokens + float64(tokens)
	p.streams = keep*p.streams + elapsed.Seconds()*float64(running)
	if waiting {
		p.fullTokens = keep*p.fullTokens + float64(tokens)
		p.full = keep*p.full + elapsed.Seconds()
	}
}

// ended notes how long an answer was, of expected tokens.
func (p *pace) ended(expected, tokens int) {
	if expected <= 0 || tokens <= 0 {
		return
	}
	short := max(0, 1-float64(tokens)/float64(expected))
	p.shortfall += lengthWeight * (short - p.shortfall)
}

// wait estimates how long the targets take for answers of the given tokens,
// zero while unknown.
func (p *pace) wait(tokens int) time.Duration {
	if p.full < leastObserved.Seconds() || p.fullTokens <= 0 {
		return 0
	}
	return p.seconds(tokens, p.fullTokens/p.full)
}

// duration estimates how long one answer of the given tokens runs at least, zero
// while unknown.
func (p *pace) duration(tokens int) time.Duration {
	if p.streams < leastObserved.Seconds() || p.tokens <= 0 {
		return 0
	}
	return time.Duration(durationMargin * float64(p.seconds(tokens, p.tokens/p.streams)))
}

func (p *pace) seconds(tokens int, perSecond float64) time.Duration {
	expected := float64(tokens) * (1 - p.shortfall)
	return time.Duration(expected / perSecond * float64(time.Second))
}
