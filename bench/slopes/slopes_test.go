package slopes_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/slopes"
)

// made returns samples of a fleet that spends exactly known amounts.
func made(engines int) []slopes.Sample {
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

func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, got > 0.999*want && got < 1.001*want, "got %g, want %g", got, want)
}

func TestFitFindsKnownSlopes(t *testing.T) {
	fitted, err := slopes.Fit(made(4), made(12))
	assert.NilError(t, err)
	near(t, fitted.Entry.BaseCPU, 0.01)
	near(t, fitted.Entry.LinkCPU, 0.0005)
	near(t, fitted.Entry.TokenCPU, 20e-6)
	near(t, fitted.Entry.RequestCPU, 300e-6)
	near(t, fitted.Entry.StreamMemory, 5e4)
	near(t, fitted.Entry.BusyLinkBytes, 100)
	near(t, fitted.Agent.TokenCPU, 20e-6)
	near(t, fitted.Agent.RequestCPU, 300e-6)
	_, err = slopes.Fit(made(4), made(4))
	assert.ErrorContains(t, err, "more engines")
	_, err = slopes.Fit(made(4)[:2], made(12))
	assert.ErrorContains(t, err, "phase is missing")
}

func TestNeedsSayWhatDoesNotHold(t *testing.T) {
	fitted, err := slopes.Fit(made(4), made(12))
	assert.NilError(t, err)
	target := slopes.TwoYearObjective()
	text := fitted.Markdown(target)
	assert.Assert(t, strings.Contains(text, "| entry: control bytes, links busy | 5400 B/s | 7000 B/s | yes |"), text)
	target.ControlBytes = 1000
	assert.Assert(t, strings.Contains(fitted.Markdown(target), "| entry: control bytes, links busy | 5400 B/s | 1000 B/s | **no** |"))
}
