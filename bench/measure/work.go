package measure

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/load"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// Work is what the engines computed, in milliseconds of engine time: uncached
// prefill tokens and decoded tokens, each at its step cost in a full batch.
type Work struct {
	Total float64 `json:"total"`
	// Useful is the cost of the first prefill of each request and of the tokens that
	// callers received.
	Useful float64 `json:"useful"`
	// ExtraPrefill and ExtraDecode are the parts of Total beyond Useful.
	ExtraPrefill float64 `json:"extraPrefill"`
	ExtraDecode  float64 `json:"extraDecode"`
	// Repeated counts the requests with more than one attempt at an engine.
	Repeated int `json:"repeated"`
	// Floor is the least possible extra work: the prefill of the interrupted prefixes.
	Floor float64 `json:"floor"`
	// Extra is Total / Useful - 1.
	Extra float64 `json:"extra"`
	// FloorExtra is Floor / Useful.
	FloorExtra float64 `json:"floorExtra"`
	// OverFloor is Extra / FloorExtra, or zero if FloorExtra is zero.
	OverFloor float64 `json:"overFloor"`
	// OverReference is the ratio of Total per token received to that of the reference
	// run, minus 1. It is zero without a reference run.
	OverReference float64 `json:"overReference"`
	// Tokens counts the tokens that callers received.
	Tokens int `json:"tokens"`
}

type tokenCosts struct{ prefill, decode time.Duration }

func tokenCostsOf(e *experiment.Experiment) tokenCosts {
	return tokenCosts{prefill: e.Engine.PrefillPerToken.Std(), decode: e.Engine.DecodeCost()}
}

func (c tokenCosts) total(prefilled, decoded int) float64 {
	return millis(time.Duration(prefilled)*c.prefill + time.Duration(decoded)*c.decode)
}

// measureWork sums up the work of a run in which lostTokens tokens had to be prefilled
// again.
func measureWork(run *load.Run, lostTokens int) Work {
	costs := tokenCostsOf(run.Experiment)
	work := Work{Floor: costs.total(lostTokens, 0)}
	byRequest := map[string][]engine.GenerationRecord{}
	for _, engineRecords := range run.Engines {
		for _, record := range engineRecords.Records {
			work.Total += costs.total(record.PrefillTokens, record.DecodedTokens)
			byRequest[record.RequestID] = append(byRequest[record.RequestID], record)
		}
	}
	// prefillDifference is the sum of all first prefills minus that of all prefills.
	prefillDifference, decoded := 0, 0
	for id, result := range run.ResultsByRequestID() {
		work.Tokens += len(result.Response.Tokens)
		prefillDifference += firstPrefill(byRequest[id])
	}
	for _, records := range byRequest {
		if len(records) > 1 {
			work.Repeated++
		}
		for _, record := range records {
			prefillDifference -= record.PrefillTokens
			decoded += record.DecodedTokens
		}
	}
	work.ExtraPrefill = costs.total(-prefillDifference, 0)
	work.ExtraDecode = costs.total(0, decoded-work.Tokens)
	work.Useful = work.Total - work.ExtraPrefill - work.ExtraDecode
	if work.Useful > 0 {
		work.Extra = work.Total/work.Useful - 1
		work.FloorExtra = work.Floor / work.Useful
	}
	if work.FloorExtra > 0 {
		work.OverFloor = work.Extra / work.FloorExtra
	}
	return work
}

// firstPrefill returns the number of tokens that the first attempt of a request
// prefilled. If that attempt decoded no token and there was another, it returns instead
// the number of uncached prompt tokens in the second record, as an estimate of the
// complete prefill.
func firstPrefill(records []engine.GenerationRecord) int {
	if len(records) == 0 {
		return 0
	}
	first := slices.MinFunc(records, func(a, b engine.GenerationRecord) int { return a.Arrived.Compare(b.Arrived) })
	if first.DecodedTokens == 0 && len(records) > 1 {
		return records[1].PromptTokens - records[1].CachedTokens
	}
	return first.PrefillTokens
}

// lostPrefill returns the number of tokens that must be prefilled again after the
// generation was lost.
func lostPrefill(record engine.GenerationRecord) int {
	if record.DecodedTokens == 0 {
		return record.PrefillTokens
	}
	return record.PromptTokens + record.DecodedTokens
}
