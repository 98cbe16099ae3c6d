package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/process/membership"
	"github.com/mulberrylane/mulberrylane/request"
)

var start = time.Unix(1000, 0)

func newTargets(count, domains int) []membership.Target {
	list := make([]membership.Target, count)
	for i := range list {
		list[i] = membership.Target{ID: request.TargetID(fmt.Sprintf("t-%04d", i)), FailureDomain: fmt.Sprintf("d-%d", i%domains)}
	}
	return list
}

// A subset has the requested size and the same number of targets from every failure domain.
// When a target is removed, at most as many others leave the subset as there are failure
// domains.
func TestChoose_SubsetIsBalancedAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const minSize = 24
		domains := rapid.IntRange(1, 7).Draw(t, "domains")
		all := newTargets(rapid.IntRange(minSize+1, 400).Draw(t, "targets")*domains, domains)
		self := fmt.Sprintf("entry-%d", rapid.IntRange(0, 1000).Draw(t, "entry"))
		chosen := membership.NewSubset(start, self, minSize).Choose(start, all, false)
		assert.Equal(t, len(chosen), minSize)
		counts := map[string]int{}
		for _, target := range all {
			if slices.Contains(chosen, target.ID) {
				counts[target.FailureDomain]++
			}
		}
		for _, count := range counts {
			assert.Assert(t, count == minSize/domains || count == minSize/domains+1, "%v", counts)
		}
		removed := chosen[rapid.IntRange(0, minSize-1).Draw(t, "gone")]
		rest := slices.DeleteFunc(all, func(target membership.Target) bool { return target.ID == removed })
		kept := 0
		for _, id := range membership.NewSubset(start, self, minSize).Choose(start, rest, false) {
			if slices.Contains(chosen, id) {
				kept++
			}
		}
		assert.Assert(t, kept >= minSize-1-domains, "%d kept", kept)
	})
}

// Over many entries, no target has more than three times its part of the links.
func TestChoose_SubsetsCoverAllTargets(t *testing.T) {
	const entries, minSize, count = 320, 24, 96
	links := map[request.TargetID]int{}
	for i := range entries {
		for _, id := range membership.NewSubset(start, fmt.Sprintf("entry-%d", i), minSize).Choose(start, newTargets(count, 7), false) {
			links[id]++
		}
	}
	assert.Equal(t, len(links), count)
	for id, n := range links {
		assert.Assert(t, n < 3*entries*minSize/count, "%s has %d links", id, n)
	}
}

func TestChoose_WidensDuringShortageThenNarrows(t *testing.T) {
	all := newTargets(100, 3)
	s := membership.NewSubset(start, "entry", 24)
	now := start
	size := func(after time.Duration, shortage bool) int {
		now = now.Add(after)
		return len(s.Choose(now, all, shortage))
	}
	assert.Equal(t, size(0, true), 24)
	assert.Equal(t, size(time.Second, true), 24)
	assert.Equal(t, size(time.Second, true), 48)
	assert.Equal(t, size(2*time.Second, true), 96)
	assert.Equal(t, size(2*time.Second, true), 100)
	assert.Equal(t, size(time.Second, false), 100)
	assert.Equal(t, size(30*time.Second, false), 100)
	assert.Equal(t, size(30*time.Second, false), 50)
	assert.Equal(t, size(2*time.Minute, false), 25)
	assert.Equal(t, size(2*time.Minute, false), 24)
}
