package measure

import (
	"cmp"
	"slices"

	"github.com/mulberrylane/mulberrylane/bench/load"
	"github.com/mulberrylane/mulberrylane/request"
)

type refusals struct {
	byKind map[string]*Refusal
	delays map[string]histogram
}

func newRefusals() *refusals {
	return &refusals{byKind: map[string]*Refusal{}, delays: map[string]histogram{}}
}

func (r *refusals) add(result *load.Result) {
	outcome := result.Response.Outcome
	if r.byKind[outcome.Error] == nil {
		r.byKind[outcome.Error] = &Refusal{Kind: outcome.Error}
		r.delays[outcome.Error] = newHistogram()
	}
	refusal := r.byKind[outcome.Error]
	refusal.Count++
	switch outcome.WasRun {
	case request.RunNo:
		refusal.NotRun++
	case request.RunUnknown:
		refusal.Unknown++
	}
	r.delays[outcome.Error].add(result.Ended.Sub(result.IntendedStart))
}

// list returns the refusals sorted by kind.
func (r *refusals) list() []Refusal {
	list := make([]Refusal, 0, len(r.byKind))
	for kind, refusal := range r.byKind {
		refusal.Delay = r.delays[kind].percentiles()
		list = append(list, *refusal)
	}
	slices.SortFunc(list, func(a, b Refusal) int { return cmp.Compare(a.Kind, b.Kind) })
	return list
}
