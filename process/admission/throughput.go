package admission

import (
	"math"
	"time"
)

const (
	// throughputWindow is the time constant of the averages.
	throughputWindow = 3 * time.Second
	// minObserved is the observed time below which there is no estimate.
	minObserved = time.Second
	// shortfallWeight is the weight of one response in the average shortfall.
	shortfallWeight = 1.0 / 32
	// durationSafetyFactor scales an estimated duration down to one that a request is almost
	// certain to need, since requests are refused because of it.
	durationSafetyFactor = 0.8
)

// throughput estimates how fast the targets of a service generate tokens. Its sums decay
// with time constant throughputWindow.
type throughput struct {
	updatedAt time.Time
	// tokens were generated in runningSeconds, summed over the running requests.
	tokens, runningSeconds float64
	// saturatedTokens were generated in the saturatedSeconds during which requests were
	// queued.
	saturatedTokens, saturatedSeconds float64
	// shortfall is the average fraction by which outputs are shorter than their maximum,
	// from 0 to 1.
	shortfall float64
}

// recordTokens records the tokens generated since the last call by the running requests;
// waiting means that requests are queued.
func (t *throughput) recordTokens(now time.Time, tokens, running int, waiting bool) {
	elapsed := now.Sub(t.updatedAt)
	t.updatedAt = now
	if elapsed <= 0 || elapsed > throughputWindow {
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(throughputWindow))
	t.tokens = decay*t.tokens + float64(tokens)
	t.runningSeconds = decay*t.runningSeconds + elapsed.Seconds()*float64(running)
	if waiting {
		t.saturatedTokens = decay*t.saturatedTokens + float64(tokens)
		t.saturatedSeconds = decay*t.saturatedSeconds + elapsed.Seconds()
	}
}

// recordLength records that an output of at most maxTokens ended after the given tokens.
func (t *throughput) recordLength(maxTokens, tokens int) {
	if maxTokens <= 0 || tokens <= 0 {
		return
	}
	shortfall := max(0, 1-float64(tokens)/float64(maxTokens))
	t.shortfall += shortfallWeight * (shortfall - t.shortfall)
}

// queueDelay estimates how long the targets of the service together take to generate
// outputs of the given tokens. It is zero while unknown.
func (t *throughput) queueDelay(tokens int) time.Duration {
	if t.saturatedSeconds < minObserved.Seconds() || t.saturatedTokens <= 0 {
		return 0
	}
	return t.timeFor(tokens, t.saturatedTokens/t.saturatedSeconds)
}

// minDuration estimates the shortest time that one request of the given tokens runs. It is
// zero while unknown.
func (t *throughput) minDuration(tokens int) time.Duration {
	if t.runningSeconds < minObserved.Seconds() || t.tokens <= 0 {
		return 0
	}
	return time.Duration(durationSafetyFactor * float64(t.timeFor(tokens, t.tokens/t.runningSeconds)))
}

func (t *throughput) timeFor(tokens int, tokensPerSecond float64) time.Duration {
	expected := float64(tokens) * (1 - t.shortfall)
	return time.Duration(expected / tokensPerSecond * float64(time.Second))
}
