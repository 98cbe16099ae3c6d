package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/request"
)

func entryNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("edge-%d", i)
	}
	return names
}

func TestSubsets_EachEntryOwnsAFairPart(t *testing.T) {
	const entries, engines = 1000, 3000
	var s subsets
	s.setEntries("edge-0", entryNames(entries))
	owned := map[string]int{}
	for i := range engines {
		owners := s.ownersOf(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
		assert.Equal(t, len(owners), ownersPerEngine)
		for _, owner := range owners {
			owned[owner]++
		}
	}
	const mean = engines * ownersPerEngine / entries
	for _, entry := range s.entries {
		assert.Assert(t, owned[entry] > mean/4 && owned[entry] < mean*3, "%s owns %d engines", entry, owned[entry])
	}
}

// When an entry is lost, only engines that it owned get another owner.
func TestSubsets_LossOfAnEntryMovesItsEnginesOnly(t *testing.T) {
	names := entryNames(200)
	var before, after subsets
	before.setEntries("edge-0", names)
	after.setEntries("edge-0", slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == "edge-7" }))
	for i := range 500 {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		old := before.ownersOf(address)
		if !slices.Contains(old, "edge-7") {
			assert.DeepEqual(t, old, after.ownersOf(address))
		}
	}
}

func TestPick_PrefersOwnedIdleEngines(t *testing.T) {
	table := NewTable()
	table.SetEngineMemory("writer", 88_000)
	names := entryNames(maxSharedEntries + 1)
	table.SetEntries("edge-0", names)
	for i := range 400 {
		id := request.TargetID(fmt.Sprintf("e%d", i))
		table.Register(Registration{Endpoint: request.Endpoint{ID: id, Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}, Service: "writer"})
	}
	now := time.Unix(1000, 0)
	requirements := Requirements{Service: "writer", PromptTokens: 8000, MemoryTokens: 8600}
	owned := 0
	for _, target := range table.Service("writer") {
		if table.subsets.owns(target.Address) {
			owned++
		}
	}
	assert.Assert(t, owned > 0)
	for i := range owned + 1 {
		requirements.Session = fmt.Sprint(i)
		choice, err := table.Pick(now, requirements)
		assert.NilError(t, err)
		assert.Equal(t, table.subsets.owns(choice.Target.Address), i < owned, "prompt %d of %d", i, owned)
		table.AddAttempt(choice.Target.ID, requirements)
	}
}

// The sum of the peers' work always equals that of their last updates that are not expired.
func TestTable_SumOfPeerWorkMatchesUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		target := table.Register(Registration{Endpoint: request.Endpoint{ID: "e1", Address: "10.0.0.1:1"}, Service: "writer"})
		now := time.Unix(1000, 0)
		states := map[string]receivedPeerState{}
		peer := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				work := Work{PrefillTokens: rapid.IntRange(0, 9000).Draw(t, "tokens"), Decoding: rapid.IntRange(0, 3).Draw(t, "decoding")}
				state := PeerState{Work: map[request.TargetID]Work{"e1": work}}
				name := peer.Draw(t, "peer")
				table.UpdatePeer(now, name, state)
				states[name] = receivedPeerState{PeerState: state, receivedAt: now}
			},
			"remove": func(t *rapid.T) {
				name := peer.Draw(t, "peer")
				table.RemovePeer(name)
				delete(states, name)
			},
			"pass": func(t *rapid.T) { now = now.Add(time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "time"))) },
			"": func(t *rapid.T) {
				want := Work{}
				for _, state := range states {
					if now.Sub(state.receivedAt) < defaultPeerStateTTL {
						want.add(state.Work["e1"])
					}
				}
				table.expirePeers(now)
				if got := table.totalWork(target); got != want {
					t.Fatalf("sum is %v, want %v", got, want)
				}
			},
		})
	})
}

// BenchmarkPick places a prompt while 100 peers report work at all engines.
func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{360, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			table := NewTable()
			table.SetEngineMemory("writer", 88_000)
			table.SetEntries("edge-0", entryNames(103))
			now := time.Unix(1000, 0)
			work := map[request.TargetID]Work{}
			for i := range engines {
				id := request.TargetID(fmt.Sprintf("e%d", i))
				table.Register(Registration{Endpoint: request.Endpoint{ID: id, Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}, Service: "writer"})
				work[id] = Work{Decoding: i % 3, MemoryTokens: 8600}
			}
			for peer := range 100 {
				table.UpdatePeer(now, fmt.Sprint(peer), PeerState{Work: work})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.Pick(now, Requirements{Service: "writer", Session: "s", PromptTokens: 8000, MemoryTokens: 8600}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
