package slopes_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/slopes"
)

// syntheticSamples returns samples of a fleet with known slopes.
func syntheticSamples(engines int) []slopes.Sample {
	const base, link, token, request = 0.01, 0.0005, 20e-6, 300e-6
	sample := func(phase string, streams int, tokens, requests float64) slopes.Sample {
		links := float64(engines)
		return slopes.Sample{
			Phase: phase, Entries: 1, Engines: engines, Streams: streams, Tokens: tokens, Requests: requests,
			Entry: slopes.Usage{
				CPUSeconds: base + link*links + token*tokens + request*requests,
				Links:      links, ControlBytes: 100 * links, ResidentBytes: 30e6 + 1e5*links + 5e4*float64(streams),
			},
			Agent: slopes.Usage{
				CPUSeconds: base + (token*tokens+request*requests)/links, Links: 1, ControlBytes: 100,
			},
		}
	}
	return []slopes.Sample{
		sample(slopes.PhaseIdle, 0, 0, 0), sample(slopes.PhaseLight, 20, 800, 0),
		sample(slopes.PhaseHeavy, 140, 4800, 0), sample(slopes.PhaseShort, 60, 2000, 1000),
	}
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, got > 0.999*want && got < 1.001*want, "got %g, want %g", got, want)
}

func TestFit_RecoversKnownSlopes(t *testing.T) {
	fitted, err := slopes.Fit(syntheticSamples(4), syntheticSamples(12))
	assert.NilError(t, err)
	assertNear(t, fitted.Entry.BaseCPU, 0.01)
	assertNear(t, fitted.Entry.LinkCPU, 0.0005)
	assertNear(t, fitted.Entry.TokenCPU, 20e-6)
	assertNear(t, fitted.Entry.RequestCPU, 300e-6)
	assertNear(t, fitted.Entry.StreamMemory, 5e4)
	assertNear(t, fitted.Entry.BusyLinkBytes, 100)
	assertNear(t, fitted.Agent.TokenCPU, 20e-6)
	assertNear(t, fitted.Agent.RequestCPU, 300e-6)
	_, err = slopes.Fit(syntheticSamples(4), syntheticSamples(4))
	assert.ErrorContains(t, err, "more engines")
	_, err = slopes.Fit(syntheticSamples(4)[:2], syntheticSamples(12))
	assert.ErrorContains(t, err, "phase is missing")
}

func TestMarkdown_MarksExceededBudgets(t *testing.T) {
	fitted, err := slopes.Fit(syntheticSamples(4), syntheticSamples(12))
	assert.NilError(t, err)
	objective := slopes.TwoYearObjective()
	text := fitted.Markdown(objective)
	assert.Assert(t, strings.Contains(text, "| entry: control bytes, links busy | 5400 B/s | 7000 B/s | yes |"), text)
	objective.ControlBytes = 1000
	assert.Assert(t, strings.Contains(fitted.Markdown(objective), "| entry: control bytes, links busy | 5400 B/s | 1000 B/s | **no** |"))
}
