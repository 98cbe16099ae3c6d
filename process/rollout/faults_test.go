package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// small is a fleet that is fast to simulate.
func small() simConfig {
	c := catalogue()
	c.entries, c.rate, c.limit = 8, 120, 20*time.Second
	return c
}

func failingHalf(s *simulation, _ *simReplica, _ string) (bool, float64) {
	return s.random.IntN(2) == 0, 1
}

// TestStore_LostAnswersAndLateWrites guards against states that are written twice, and roll-outs that stop half-done,
// when answers of the store are lost and its writes come late.
func TestStore_LostAnswersAndLateWrites(t *testing.T) {
	t.Parallel()
	for seed := range *seeds * 3 {
		config := small()
		config.answerLoss = 0.4
		s := play(t, seed, config)
		s.runUntil(s.now.Add(20 * time.Second))
		assert.DeepEqual(t, s.states(), []State{Running, StateCompleted})
		assert.Equal(t, s.completedRunning+s.oldAfterCompletion, 0)
		// Each lost answer costs its time-out and the wait for the next try, of this entry or another.
		late := s.statusAt[1].Sub(s.orderAt.Add(s.duration))
		assert.Assert(t, late <= time.Duration(s.lost)*1500*time.Millisecond, "completed %s late after %d lost answers", late, s.lost)
		config.bad = failingHalf
		s = play(t, seed, config)
		assert.DeepEqual(t, s.states(), []State{Running, StateRolledBack})
	}
}

// TestStore_OutageHalfway guards against requests to a bad version while no record can be written.
func TestStore_OutageHalfway(t *testing.T) {
	t.Parallel()
	for seed := range *seeds {
		config := small()
		config.outageFrom, config.outageUntil = 2*time.Second, 10*time.Second
		play(t, seed, config).checkGood("outage")
		config.bad = failingHalf
		play(t, seed, config).checkBad("outage")
		// The outage hides the end of the time limit; the roll-out ends after it.
		config.bad = nil
		config.outageFrom, config.outageUntil = 10*time.Second, 21*time.Second
		s := play(t, seed, config)
		s.runUntil(s.now.Add(20 * time.Second))
		assert.DeepEqual(t, s.states(), []State{Running, StateCompleted})
		assert.Equal(t, s.completedRunning+s.oldAfterCompletion, 0)
	}
}

// TestEntry_DeathAtEachStep guards against a roll-out that stops because the entry that acts dies,
// before or after its transaction is applied.
func TestEntry_DeathAtEachStep(t *testing.T) {
	t.Parallel()
	for _, stage := range []Stage{Canary, Ramping, Moved, Completed, RolledBack} {
		for seed := range *seeds {
			config := small()
			config.limit = 30 * time.Second
			died := 0
			config.afterCommit = func(s *simulation, e *simEntry, change Change) {
				if change.Record.Stage == stage && died < 2 {
					died++
					s.crash(e)
					s.after(5*time.Second, func() { s.startEntry(e) })
				}
			}
			if stage == RolledBack {
				config.bad = failingHalf
				s := play(t, seed, config)
				assert.DeepEqual(t, s.states(), []State{Running, StateRolledBack})
			} else {
				play(t, seed, config).checkGood(stage.String())
			}
			assert.Assert(t, died > 0)
		}
	}
}

// TestEntry_StartsInTheMiddle guards against entries that start without the age of the order, alone
// or all together, also when their clocks have jumped.
func TestEntry_StartsInTheMiddle(t *testing.T) {
	t.Parallel()
	restart := func(s *simulation, entries []*simEntry, skew time.Duration) {
		for _, e := range entries {
			s.crash(e)
			s.after(500*time.Millisecond, func() { e.skew = skew; s.startEntry(e) })
		}
	}
	for name, happens := range map[string]func(s *simulation){
		"half":                    func(s *simulation) { restart(s, s.entries[:4], 0) },
		"all":                     func(s *simulation) { restart(s, s.entries, 0) },
		"all, clocks behind":      func(s *simulation) { restart(s, s.entries, -time.Hour) },
		"half, clocks ahead":      func(s *simulation) { restart(s, s.entries[:4], time.Hour) },
		"half, clocks far behind": func(s *simulation) { restart(s, s.entries[:4], -48*time.Hour) },
		"one after another, twice": func(s *simulation) {
			restart(s, s.entries[:2], 0)
			s.after(3*time.Second, func() { restart(s, s.entries[2:4], 0) })
		},
	} {
		for _, at := range []time.Duration{3 * time.Second, 9 * time.Second} {
			for seed := range *seeds {
				config := small()
				config.happens = map[time.Duration]func(*simulation){at: happens}
				s := play(t, seed, config)
				if name == "all, clocks behind" {
					// Nobody knows the age, so the limit counts anew.
					s.runUntil(s.now.Add(config.limit))
					assert.DeepEqual(t, s.states(), []State{Running, StateCompleted})
				} else {
					s.checkGood(name)
				}
				config.bad = failingHalf
				s = play(t, seed, config)
				if name == "all, clocks behind" {
					s.runUntil(s.now.Add(config.limit))
				}
				s.checkBad(name)
			}
		}
	}
}

// TestEntry_SilentHoldsBackTheEnd guards against old replicas that are stopped while an entry that
// nobody hears still uses them.
func TestEntry_SilentHoldsBackTheEnd(t *testing.T) {
	t.Parallel()
	config := small()
	config.happens = map[time.Duration]func(*simulation){0: func(s *simulation) { s.entries[7].silent = true }}
	s := play(t, 1, config)
	s.checkGood("silent")
	assert.Assert(t, s.statusAt[1].Sub(s.orderAt) > 18*time.Second, "completed after %s without the silent entry", s.statusAt[1].Sub(s.orderAt))
}

// TestOrder_SecondWhileOneRuns guards against a mix of two orders.
func TestOrder_SecondWhileOneRuns(t *testing.T) {
	t.Parallel()
	second := func(version string, after func(s *simulation)) func(s *simulation) {
		return func(s *simulation) {
			if len(s.replicas[version]) == 0 {
				s.addReplicas(version, s.config.replicas)
			}
			s.order(version, 20*time.Second)
			if after != nil {
				after(s)
			}
		}
	}
	for _, at := range []time.Duration{300 * time.Millisecond, 4 * time.Second, 15500 * time.Millisecond, 17500 * time.Millisecond} {
		for _, version := range []string{"v1", "v2", "v3"} {
			for seed := range *seeds {
				config := small()
				config.happens = map[time.Duration]func(*simulation){at: second(version, nil)}
				s := newSimulation(t, seed, config)
				s.runUntil(s.start.Add(5 * time.Second))
				s.addReplicas("v2", config.replicas)
				s.order("v2", config.limit)
				s.after(at, func() { config.happens[at](s) })
				s.runUntil(s.now.Add(45 * time.Second))
				last := s.statuses[len(s.statuses)-1]
				assert.DeepEqual(t, last, Status{State: StateCompleted, Target: version})
				assert.Assert(t, !s.statusAt[len(s.statusAt)-1].After(s.orderAt.Add(s.duration)))
				assert.Equal(t, s.completedRunning+s.oldAfterCompletion, 0)
				before := s.sentBy[version]
				total := s.requests
				clear(s.sentBy)
				s.runUntil(s.now.Add(5 * time.Second))
				for other, count := range s.sentBy {
					assert.Assert(t, other == version, "%s: %d requests to %s (%d of %d before)", version, count, other, before, total)
				}
				assert.Equal(t, s.refused, 0)
			}
		}
	}
}

// TestOrder_SupersededBadVersionGetsNothing guards against more requests to a bad version after a second order
// to a third one.
func TestOrder_SupersededBadVersionGetsNothing(t *testing.T) {
	t.Parallel()
	config := small()
	config.bad = failingHalf
	config.outageFrom, config.outageUntil = 3*time.Second, 9*time.Second
	s := newSimulation(t, 3, config)
	s.runUntil(s.start.Add(5 * time.Second))
	s.addReplicas("v2", config.replicas)
	s.order("v2", config.limit)
	s.after(8*time.Second, func() {
		s.addReplicas("v3", config.replicas)
		s.store.put("order", Order{Service: simService, Version: "v3", Duration: 20 * time.Second})
	})
	s.runUntil(s.now.Add(8 * time.Second))
	before := s.sentBy["v2"]
	s.runUntil(s.now.Add(25 * time.Second))
	assert.Equal(t, s.sentBy["v2"], before)
	assert.DeepEqual(t, s.statuses[len(s.statuses)-1], Status{State: StateCompleted, Target: "v3"})
}

// TestOrder_RemovedOrOddRollsBack guards against a roll-out that goes on without its order.
func TestOrder_RemovedOrOddRollsBack(t *testing.T) {
	t.Parallel()
	for _, value := range []any{nil, struct{}{}} {
		for _, at := range []time.Duration{2 * time.Second, 16 * time.Second} {
			config := small()
			config.happens = map[time.Duration]func(*simulation){at: func(s *simulation) { s.store.put("order", value) }}
			s := play(t, 5, config)
			assert.DeepEqual(t, s.states(), []State{Running, StateRolledBack})
			clear(s.sentBy)
			s.runUntil(s.now.Add(5 * time.Second))
			assert.Equal(t, s.sentBy["v2"], 0)
		}
	}
	// Without a roll-out nothing happens.
	s := newSimulation(t, 1, small())
	s.store.put("order", struct{}{})
	s.runUntil(s.start.Add(5 * time.Second))
	assert.Equal(t, len(s.statuses)+s.commits, 0)
}

// TestReplicas_MissingOrGone guards against refusals and lost time when a version has no replicas.
func TestReplicas_MissingOrGone(t *testing.T) {
	t.Parallel()
	config := small()
	// None ever registers.
	s := newSimulation(t, 1, config)
	s.runUntil(s.start.Add(5 * time.Second))
	s.order("v2", config.limit)
	s.runUntil(s.now.Add(config.limit + 2*time.Second))
	assert.DeepEqual(t, s.states(), []State{Running, StateRolledBack})
	assert.Assert(t, !s.statusAt[1].After(s.orderAt.Add(config.limit)))
	// They register late, and are gone for a while.
	s = newSimulation(t, 2, config)
	s.runUntil(s.start.Add(5 * time.Second))
	s.order("v2", config.limit)
	s.after(4*time.Second, func() { s.addReplicas("v2", config.replicas) })
	var gone []*simReplica
	s.after(8*time.Second, func() { gone, s.replicas["v2"] = s.replicas["v2"], nil })
	s.after(10*time.Second, func() { s.replicas["v2"] = gone })
	s.runUntil(s.now.Add(config.limit + 2*time.Second))
	s.checkGood("gone for a while")
	assert.Equal(t, s.refused, 0)
	// A third version is not restricted.
	config.happens = map[time.Duration]func(*simulation){3 * time.Second: func(s *simulation) { s.addReplicas("v9", 2) }}
	s = play(t, 3, config)
	s.checkGood("third version")
	clear(s.sentBy)
	s.runUntil(s.now.Add(3 * time.Second))
	assert.Assert(t, s.sentBy["v9"] > 0 && s.sentBy["v2"] > 0 && s.sentBy["v1"] == 0, "%v", s.sentBy)
}

// TestService_WithoutTraffic guards against roll-outs that wait for evidence which never comes, as
// when the configuration moves all routes elsewhere.
func TestService_WithoutTraffic(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{0.01, 1} {
		config := small()
		config.rate = rate
		play(t, 4, config).checkGood("little traffic")
	}
}
