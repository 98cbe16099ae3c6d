package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// simulateLightLoad simulates light load: prompts arrive at a steady rate at engines that
// prefill them one after the other, while decoding attempts there are paused for four
// fifths of the time. It returns the mean time of an attempt from its first event to its
// last, in seconds.
func simulateLightLoad(t *testing.T, pick func(table *Table, now time.Time, requirements Requirements) request.TargetID) float64 {
	t.Helper()
	const (
		engineCount                = 36
		tick                       = 10 * time.Millisecond
		arrivalInterval            = 110 * time.Millisecond
		ticks                      = 12_000
		decodingSpeedDuringPrefill = 0.2
		meanDecodingSeconds        = 3.6
		minLengthFactor            = 0.5
	)
	type attempt struct {
		requirements  Requirements
		secondsLeft   float64
		decodingSince time.Time
	}
	table := newEngineTable(engineCount)
	prefilling, decoding := make([][]*attempt, engineCount), make([][]*attempt, engineCount)
	engineIndex := map[request.TargetID]int{}
	for i := range engineCount {
		engineIndex[targetID(i)] = i
	}
	totalSeconds, completed, sessions := 0.0, 0, 0
	for i := range ticks {
		now := start.Add(time.Duration(i) * tick)
		if time.Duration(i)*tick >= time.Duration(sessions)*arrivalInterval {
			requirements := promptRequirements(fmt.Sprint(sessions))
			target := pick(table, now, requirements)
			table.AddAttempt(target, requirements)
			n := engineIndex[target]
			prefilling[n] = append(prefilling[n], &attempt{requirements: requirements, secondsLeft: float64(requirements.PromptTokens) / initialPrefillRate / 1000})
			sessions++
		}
		for n := range engineCount {
			speed := 1.0
			if len(prefilling[n]) > 0 {
				speed = decodingSpeedDuringPrefill
				first := prefilling[n][0]
				if first.secondsLeft -= tick.Seconds(); first.secondsLeft <= 0 {
					prefilling[n] = prefilling[n][1:]
					table.PrefillDone(targetID(n), first.requirements)
					// Outputs differ in length.
					first.secondsLeft, first.decodingSince = meanDecodingSeconds*(minLengthFactor+float64(sessions*7%11)/10), now
					decoding[n] = append(decoding[n], first)
				}
			}
			var left []*attempt
			for _, a := range decoding[n] {
				if a.secondsLeft -= speed * tick.Seconds(); a.secondsLeft > 0 {
					left = append(left, a)
					continue
				}
				table.RemoveAttempt(targetID(n), a.requirements, true)
				totalSeconds, completed = totalSeconds+now.Sub(a.decodingSince).Seconds(), completed+1
			}
			decoding[n] = left
		}
	}
	return totalSeconds / float64(completed)
}

// Decoding takes 3.6 s at an otherwise idle engine. Under light load, prefill at the same
// engine may add a tenth to that.
func TestPick_LightLoadBarelySlowsDecoding(t *testing.T) {
	meanSeconds := simulateLightLoad(t, func(table *Table, now time.Time, requirements Requirements) request.TargetID {
		choice, err := table.Pick(now, requirements)
		assert.NilError(t, err)
		return choice.Target.ID
	})
	t.Logf("mean decoding time %.2f s", meanSeconds)
	assert.Assert(t, meanSeconds < 1.1*3.6)
}
