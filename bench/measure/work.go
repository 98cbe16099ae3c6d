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
	// Useful is the first prefill of each request and the tokens that callers got.
	Useful float64 `json:"useful"`
	// ExtraPrefill and ExtraDecode are the parts of Total beyond Useful.
	ExtraPrefill float64 `json:"extraPrefill"`
	ExtraDecode  float64 `json:"extraDecode"`
	// Repeated counts the requests that more than one attempt computed for.
	Repeated int `json:"repeated"`
	// Floor is the prefill of the interrupted prefixes and nothing else.
	Floor float64 `json:"floor"`
	// Extra is Total over Useful, minus 1.
	Extra float64 `json:"extra"`
	// FloorExtra is Floor over Useful.
	FloorExtra float64 `json:"floorExtra"`
	// OverFloor is Extra over FloorExtra; zero without a floor.
	OverFloor float64 `json:"overFloor"`
	// OverReference is Total over that of the undisturbed run, minus 1, each per
	// useful token; zero without such a run.
	OverReference float64 `json:"overReference"`
	// Tokens counts the tokens that callers got.
	Tokens int `json:"tokens"`
}

type costs struct{ prefill, decode time.Duration }

func costsOf(e *experiment.Experiment) costs {
	return costs{prefill: e.Engine.PrefillPerToken.Std(), decode: e.Engine.DecodeCost()}
}

func (c costs) of(prefilled, decoded int) float64 {
	return millis(time.Duration(prefilled)*c.prefill + time.Duration(decoded)*c.decode)
}

// workOf adds up the work of a run in which lost tokens had to be prefilled again.
func workOf(run *load.Run, lost int) Work {
	c := costsOf(run.Experiment)
	work := Work{Floor: c.of(lost, 0)}
	byRequest := map[string][]engine.GenerationRecord{}
	for _, account := range run.Engines {
		for _, record := range account.Records {
			work.Total += c.of(record.PrefillTokens, record.DecodedTokens)
			byRequest[record.RequestID] = append(byRequest[record.RequestID], record)
		}
	}
	prefill, decoded := 0, 0
	for id, reply := range run.ResultsByRequestID() {
		work.Tokens += len(reply.Response.Tokens)
		prefill += firstPrefill(byRequest[id])
	}
	for _, records := range byRequest {
		if len(records) > 1 {
			work.Repeated++
		}
		for _, record := range records {
			prefill -= record.PrefillTokens
			decoded += record.DecodedTokens
		}
	}
	work.ExtraPrefill = c.of(-prefill, 0)
	work.ExtraDecode = c.of(0, decoded-work.Tokens)
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

// firstPrefill returns what the first attempt at a request prefilled, or would
// have: a fault may have struck it in the middle.
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

// lostPrefill returns the tokens that must be prefilled again after a loss.
func lostPrefill(record engine.GenerationRecord) int {
	if record.DecodedTokens == 0 {
		return record.PrefillTokens
	}
	return record.PromptTokens + record.DecodedTokens
}
