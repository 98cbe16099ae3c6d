package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// engineFleet is a deployment with engines of different speeds.
type engineFleet struct {
	entries, engines int
	// relativeTimes are the relative step times, which the engines have in turns.
	relativeTimes []float64
	slots         int
	// streams is the rate of streams a second; kinds is how many ranks they have.
	streams float64
	kinds   int
}

var (
	catalogueFleet = engineFleet{entries: 32, engines: 116, relativeTimes: []float64{1, 1, 1.3}, slots: 48, streams: 27, kinds: 3}
	licencesFleet  = engineFleet{entries: 21, engines: 80, relativeTimes: []float64{0.55, 1.2, 1.2, 1.2}, slots: 128, streams: 16, kinds: 1}
)

// equalFleet has equal engines under light load.
var equalFleet = engineFleet{entries: 26, engines: 94, relativeTimes: []float64{1}, slots: 128, streams: 23, kinds: 1}

// firstEventObjectives are the times within which the first event of a stream is due, by rank.
var firstEventObjectives = []time.Duration{4 * time.Second, 5 * time.Second, 10 * time.Second}

const (
	engineTick        = 20 * time.Millisecond
	engineUpdates     = 100 * time.Millisecond
	replayedPrompt    = 8000
	replayedMemory    = replayedPrompt + 600
	replayedRate      = 8.0
	replayedDecoding  = 3.6
	replayedEvents    = 100
	decodingInPrefill = 0.2
)

// replayedStream is a stream at an engine.
type replayedStream struct {
	entry, rank     int
	requirements    Requirements
	arrived, placed time.Time
	// alone and mark tell whether other prompts were prefilled there meanwhile.
	alone bool
	mark  PrefillMark
	// left is the time left of prefill, as a negative number, or of decoding, in seconds at an
	// engine of relative time 1 without other work.
	left         float64
	windowStart  time.Time
	windowEvents float64
	firstEvent   time.Duration
	// ideal is how long decoding takes without prefill at the engine.
	ideal         float64
	decodingSince time.Time
}

// replayedEngine prefills one prompt at a time, the most urgent of those that wait first;
// streams decode at a fifth of their speed meanwhile.
type replayedEngine struct {
	relative, slowness float64
	away               bool
	prefilling         *replayedStream
	waiting, decoding  []*replayedStream
	streams            int
	busy               float64
	maxMemory          int
}

type engineReplayResult struct {
	streams, onTime []int
	p50, p95        time.Duration
	// busiestStreams and busiestTime are the prompts read and the time spent by the busiest
	// engine, relative to the mean.
	busiestStreams, busiestTime float64
	maxMemory                   int
	// stretch is how long decoding took, relative to an idle engine of the same speed.
	stretch float64
}

func (r engineReplayResult) String() string {
	shares := make([]string, len(r.streams))
	for i := range shares {
		shares[i] = fmt.Sprintf("%.3f of %d", float64(r.onTime[i])/float64(max(1, r.streams[i])), r.streams[i])
	}
	return fmt.Sprintf("on time %v, first event p50 %s p95 %s, busiest/mean %.2f streams %.2f time, memory %d, decoding %.2f", shares, r.p50, r.p95, r.busiestStreams, r.busiestTime, r.maxMemory, r.stretch)
}

// engineChooser chooses an engine, as Table.Pick does.
type engineChooser func(table *Table, now time.Time, requirements Requirements) (Choice, error)

// slowTurn is for how long a third of the engines are slow.
const slowTurn = 12 * time.Second

// replayEngines replays a load of a fleet in virtual time.
func replayEngines(f engineFleet, seed uint64, load string, duration time.Duration, pick engineChooser) engineReplayResult {
	random := rand.New(rand.NewPCG(seed, 9))
	tables, engines := make([]*Table, f.entries), make([]*replayedEngine, f.engines)
	for i := range engines {
		engines[i] = &replayedEngine{relative: f.relativeTimes[i%len(f.relativeTimes)], slowness: 1}
	}
	index := map[request.TargetID]int{}
	registration := func(i int) Registration {
		return Registration{
			Endpoint: request.Endpoint{ID: targetID(i), Address: fmt.Sprintf("10.0.0.%d:80", i)},
			Service:  "writer", FailureDomain: failureDomain(i / 4), Slots: f.slots, Incarnation: 1,
		}
	}
	for i := range engines {
		index[targetID(i)] = i
	}
	for e := range tables {
		tables[e] = NewTable()
		tables[e].SetRandom(rand.New(rand.NewPCG(seed, uint64(e))))
		for i := range engines {
			tables[e].Register(registration(i))
		}
		tables[e].SetEngineMemory("writer", engineMemory)
	}
	result := engineReplayResult{streams: make([]int, f.kinds), onTime: make([]int, f.kinds)}
	var firstEvents []time.Duration
	dirty := map[int]bool{}
	sessions := 0
	now := start
	broadcast := func(entry int) {
		state := PeerState{Work: map[request.TargetID]Work{}, Speeds: tables[entry].Speeds(now)}
		for id := range tables[entry].LocalWork() {
			state.Work[id] = tables[entry].Get(id).ReportedWork()
		}
		for i, table := range tables {
			if i != entry {
				table.UpdatePeer(now, fmt.Sprint(entry), state)
				for id, relative := range state.Speeds {
					table.RecordPeerSpeed(now, id, relative)
				}
			}
		}
	}
	place := func(s *replayedStream) {
		choice, err := pick(tables[s.entry], now, s.requirements)
		if err != nil {
			return
		}
		s.placed, s.alone = now, choice.PrefillAlone
		tables[s.entry].AddAttempt(choice.Target.ID, s.requirements)
		s.mark = tables[s.entry].PrefillMark(choice.Target.ID)
		engine := engines[index[choice.Target.ID]]
		at, _ := slices.BinarySearchFunc(engine.waiting, s.rank, func(other *replayedStream, rank int) int {
			if other.rank <= rank {
				return -1
			}
			return 1
		})
		engine.waiting = slices.Insert(engine.waiting, at, s)
		dirty[s.entry] = true
		broadcast(s.entry)
	}
	arrive := func() {
		s := &replayedStream{entry: random.IntN(f.entries), rank: random.IntN(f.kinds), arrived: now}
		sessions++
		s.requirements = Requirements{
			Service: "writer", Session: fmt.Sprint(sessions), PromptTokens: replayedPrompt, MemoryTokens: replayedMemory,
			Rank: s.rank, FirstEventWithin: firstEventObjectives[s.rank],
		}
		result.streams[s.rank]++
		place(s)
	}
	next, ideal, decoded := 0.0, 0.0, 0.0
	for at := time.Duration(0); at < duration+15*time.Second; at += engineTick {
		now = start.Add(at)
		rate := f.streams
		hard := at >= 10*time.Second && at < 18*time.Second
		if load == "crowd" && hard {
			rate *= 3
		}
		for i, engine := range engines {
			engine.slowness = 1
			if load == "slow targets" && at < duration && i%3 == int(at/(slowTurn))%3 {
				engine.slowness = 2.8 + 1.2*float64(i%7)/6
			}
			if away := load == "crowd" && hard && i/4%3 == 0; away != engine.away {
				engine.away = away
				for _, table := range tables {
					r := registration(i)
					r.Draining = away
					table.Register(r)
				}
				lost := slices.Concat(engine.waiting, engine.decoding)
				if engine.prefilling != nil {
					lost = append(lost, engine.prefilling)
				}
				for _, s := range lost {
					tables[s.entry].RemoveAttempt(targetID(i), s.requirements, s.left > 0)
					dirty[s.entry] = true
				}
				engine.waiting, engine.decoding, engine.prefilling = nil, nil, nil
				for _, s := range lost {
					s.left = 0
					place(s)
				}
			}
		}
		for ; next < at.Seconds() && at < duration; next += random.ExpFloat64() / rate {
			arrive()
		}
		for i, engine := range engines {
			ratio := engine.relative * engine.slowness
			speed := 1 / ratio
			if engine.prefilling == nil && len(engine.waiting) > 0 {
				engine.prefilling, engine.waiting = engine.waiting[0], engine.waiting[1:]
				engine.prefilling.left = -float64(replayedPrompt) / replayedRate / 1000
			}
			if engine.prefilling != nil || len(engine.decoding) > 0 {
				engine.busy += engineTick.Seconds()
			}
			if s := engine.prefilling; s != nil {
				speed *= decodingInPrefill
				if s.left += engineTick.Seconds() / ratio; s.left >= 0 {
					if table := tables[s.entry]; s.alone && table.PrefillMark(targetID(i)) == s.mark {
						// Times that are taken over a network are longer by up to a tenth.
						took := time.Duration(float64(now.Sub(s.placed)) * (1 + 0.1*random.Float64()))
						table.RecordPrefill(now, targetID(i), replayedPrompt, took)
					}
					tables[s.entry].PrefillDone(targetID(i), s.requirements)
					dirty[s.entry] = true
					engine.streams++
					if s.firstEvent == 0 {
						s.firstEvent = now.Sub(s.arrived)
						firstEvents = append(firstEvents, s.firstEvent)
						if s.firstEvent <= firstEventObjectives[s.rank] {
							result.onTime[s.rank]++
						}
					}
					s.left, s.windowStart, s.windowEvents = replayedDecoding*(0.5+random.Float64()), now, 0
					s.ideal, s.decodingSince = s.left*engine.relative, now
					s.mark = tables[s.entry].PrefillMark(targetID(i))
					engine.decoding = append(engine.decoding, s)
					engine.prefilling = nil
				}
			}
			memory := 0
			if engine.prefilling != nil {
				if at%(5*engineTick) == 0 {
					s := engine.prefilling
					if table := tables[s.entry]; s.alone && table.PrefillMark(targetID(i)) == s.mark {
						table.RecordOverduePrefill(now, targetID(i), replayedPrompt, now.Sub(s.placed))
					}
				}
				memory += replayedMemory
			}
			memory += replayedMemory * (len(engine.decoding) + len(engine.waiting))
			engine.maxMemory = max(engine.maxMemory, memory)
			engine.decoding = slices.DeleteFunc(engine.decoding, func(s *replayedStream) bool {
				s.left -= speed * engineTick.Seconds()
				s.windowEvents += speed * engineTick.Seconds() * replayedEvents / replayedDecoding
				if now.Sub(s.windowStart) >= 400*time.Millisecond && s.windowEvents >= 1 {
					// Events count in hundredths, since a window is no whole number of them.
					tables[s.entry].RecordEvents(now, targetID(i), s.mark, int(100*s.windowEvents), 100*now.Sub(s.windowStart))
					s.mark = tables[s.entry].PrefillMark(targetID(i))
					s.windowStart, s.windowEvents = now, 0
				}
				if s.left > 0 {
					return false
				}
				tables[s.entry].RemoveAttempt(targetID(i), s.requirements, true)
				dirty[s.entry] = true
				ideal += s.ideal
				decoded += now.Sub(s.decodingSince).Seconds()
				return true
			})
		}
		if at%engineUpdates == 0 {
			for entry := range f.entries {
				if dirty[entry] || at%(500*time.Millisecond) == 0 {
					broadcast(entry)
				}
			}
			clear(dirty)
		}
	}
	most, total, longest, time := 0, 0, 0.0, 0.0
	for _, engine := range engines {
		most, total = max(most, engine.streams), total+engine.streams
		longest, time = max(longest, engine.busy), time+engine.busy
		result.maxMemory = max(result.maxMemory, engine.maxMemory)
	}
	result.busiestStreams = float64(most) * float64(f.engines) / float64(total)
	result.busiestTime = longest * float64(f.engines) / time
	result.stretch = decoded / ideal
	result.p50, result.p95 = percentile(firstEvents, 0.5), percentile(firstEvents, 0.95)
	return result
}

// pickEngineBefore chooses as entries did that took all engines to be of one speed: by the tokens to
// prefill and the decoding attempts there, and among similar ones by session.
func pickEngineBefore(t *Table, now time.Time, r Requirements) (Choice, error) {
	t.expirePeers(now)
	var candidates []candidate
	least := math.Inf(1)
	for _, target := range t.Service(r.Service) {
		if target.IsDraining() {
			continue
		}
		work := t.totalWork(target)
		cost := float64(work.PrefillTokens + work.Decoding*decodingCostTokens)
		if !target.hasMemoryFor(work, r.MemoryTokens) {
			cost += noMemoryCostTokens
		}
		candidates, least = append(candidates, candidate{target, cost}), min(least, cost)
	}
	var best *Target
	for _, c := range candidates {
		if c.cost <= least+similarCostTokens && (best == nil || affinity(r.Session, c.target.ID) > affinity(r.Session, best.ID)) {
			best = c.target
		}
	}
	return Choice{Target: best}, nil
}

// replayEngineLoad returns the sums of some runs of a load, with the means of their measures.
func replayEngineLoad(f engineFleet, load string, pick engineChooser) engineReplayResult {
	const seeds = 1
	sum := engineReplayResult{streams: make([]int, f.kinds), onTime: make([]int, f.kinds)}
	for seed := range uint64(seeds) {
		r := replayEngines(f, seed, load, 36*time.Second, pick)
		for rank := range f.kinds {
			sum.streams[rank] += r.streams[rank]
			sum.onTime[rank] += r.onTime[rank]
		}
		sum.p50, sum.p95 = sum.p50+r.p50/seeds, sum.p95+r.p95/seeds
		sum.busiestStreams, sum.busiestTime = sum.busiestStreams+r.busiestStreams/seeds, sum.busiestTime+r.busiestTime/seeds
		sum.maxMemory, sum.stretch = max(sum.maxMemory, r.maxMemory), sum.stretch+r.stretch/seeds
	}
	return sum
}

// Guards against prompts that are sent to slow engines as if they were not, and against a choice
// that gets worse where engines are equal.
func TestPick_EnginesOfUnevenSpeed(t *testing.T) {
	for _, test := range []struct {
		name, load string
		fleet      engineFleet
	}{
		{"catalogue", "ordinary", catalogueFleet},
		{"catalogue", "slow targets", catalogueFleet},
		{"catalogue", "crowd", catalogueFleet},
		{"licences", "ordinary", licencesFleet},
		{"licences", "slow targets", licencesFleet},
		{"licences", "crowd", licencesFleet},
		{"equal", "ordinary", equalFleet},
		{"equal", "slow targets", equalFleet},
	} {
		t.Run(test.name+"/"+test.load, func(t *testing.T) {
			before := replayEngineLoad(test.fleet, test.load, pickEngineBefore)
			now := replayEngineLoad(test.fleet, test.load, (*Table).Pick)
			t.Logf("before: %s", before)
			t.Logf("now:    %s", now)
			for rank := range test.fleet.kinds {
				onTime := func(r engineReplayResult) float64 { return float64(r.onTime[rank]) / float64(r.streams[rank]) }
				assert.Assert(t, onTime(now) > onTime(before)-0.01, "first events of rank %d", rank)
			}
			assert.Assert(t, now.p95 <= before.p95, "first events")
		})
	}
}

// Guards against engines that work for far longer than the mean, the goal for slow targets and
// crowds. It counts time: an engine that is twice as fast serves twice the prompts in the same.
func TestPick_EnginesAreEvenlyBusy(t *testing.T) {
	const goal = 1.25
	for _, test := range []struct {
		name, load string
		fleet      engineFleet
	}{
		{"catalogue", "ordinary", catalogueFleet},
		{"catalogue", "slow targets", catalogueFleet},
		{"catalogue", "crowd", catalogueFleet},
		{"licences", "ordinary", licencesFleet},
		{"licences", "slow targets", licencesFleet},
		{"licences", "crowd", licencesFleet},
	} {
		t.Run(test.name+"/"+test.load, func(t *testing.T) {
			now := replayEngineLoad(test.fleet, test.load, (*Table).Pick)
			t.Logf("%s", now)
			assert.Assert(t, now.busiestTime <= goal)
		})
	}
}
