package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// at returns the time a number of seconds after the start of a replay.
func at(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// receiving returns a holder that is receiving a body.
func receiving() *Holder { return &Holder{state: Receiving, progress: at(0)} }

func expectGrant(t *testing.T, b *Budget, h *Holder, n int64, want Grant, wantYielding ...*Holder) {
	t.Helper()
	grant, yielding := b.Add(at(0), h, n)
	assert.Equal(t, grant, want)
	assert.Equal(t, len(yielding), len(wantYielding))
	for i := range yielding {
		assert.Assert(t, yielding[i] == wantYielding[i])
	}
}

// A response without end yields to a sound one that comes later.
func TestBudget_LargestBodyYields(t *testing.T) {
	b := NewBudget(Limits{Bytes: 1000})
	endless, other, sound := receiving(), receiving(), receiving()
	expectGrant(t, b, endless, 600, Granted)
	expectGrant(t, b, other, 300, Granted)
	expectGrant(t, b, sound, 200, Wait, endless)
	expectGrant(t, b, sound, 200, Wait)
	expectGrant(t, b, endless, 1, Yield)
	assert.Assert(t, !b.SetState(at(0), endless, Kept))
	b.Close(endless)
	expectGrant(t, b, sound, 200, Granted)
	assert.Assert(t, b.SetState(at(0), sound, Kept))
	b.Close(sound)
	b.Close(other)
	assert.Equal(t, b.Used(), int64(0))
}

// Slow callers keep whole responses in memory. What is received beside them has to yield.
func TestBudget_WholeBodiesAreKept(t *testing.T) {
	b := NewBudget(Limits{Bytes: 1000})
	kept, next := receiving(), receiving()
	expectGrant(t, b, kept, 900, Granted)
	assert.Assert(t, b.SetState(at(0), kept, Kept))
	expectGrant(t, b, next, 200, Yield)
	b.Close(next)
	b.Close(kept)
	next = receiving()
	expectGrant(t, b, next, 200, Granted)
}

// Bodies without end come from most targets, in any order: they never use more than the limit, and
// each smaller one beside them is received.
func TestBudget_EndlessBodiesLeaveRoomForSmallOnes(t *testing.T) {
	const limit, chunk, small = 1000, 10, 40
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		b := NewBudget(Limits{Bytes: limit})
		endless := make([]*Holder, 20)
		for i := range endless {
			endless[i] = receiving()
		}
		grow := func(h *Holder) bool {
			for {
				grant, yielding := b.Add(at(0), h, chunk)
				assert.Assert(t, b.Used() <= limit)
				if grant != Wait {
					return grant == Granted
				}
				for _, other := range yielding {
					b.Close(other)
					other.state = Receiving
				}
			}
		}
		for range 2000 {
			if h := endless[random.IntN(len(endless))]; !grow(h) {
				b.Close(h)
				h.state = Receiving
			}
			sound := receiving()
			for range small / chunk {
				larger := b.worst(at(0), nil, usage{}).bytes > sound.bytes+chunk
				assert.Assert(t, grow(sound) || !larger, "seed %d", seed)
			}
			b.Close(sound)
		}
		for _, h := range endless {
			b.Close(h)
		}
		assert.Equal(t, b.used, usage{})
		assert.Equal(t, b.yielding, usage{})
	}
}

// A crowd sends bodies that stop short, a caller sends a large one that goes on. The crowd yields,
// those that stopped first before the others.
func TestReplay_StalledBodiesYieldToOneThatMakesProgress(t *testing.T) {
	b := NewBudget(Limits{Bytes: 40_000})
	crowd := make([]*Holder, 10)
	for i := range crowd {
		crowd[i] = &Holder{}
		grant, _ := b.Connect(at(float64(i)), crowd[i], 1000)
		assert.Equal(t, grant, Granted)
	}
	ordinary := &Holder{}
	grant, _ := b.Connect(at(10), ordinary, 1000)
	assert.Equal(t, grant, Granted)
	var yielded []*Holder
	for range 38 {
		b.Progress(at(11), ordinary)
		grant, yielding := b.Add(at(11), ordinary, 1000)
		for grant == Wait {
			yielded = append(yielded, yielding...)
			for _, h := range yielding {
				b.Close(h)
			}
			grant, yielding = b.Add(at(11), ordinary, 1000)
		}
		assert.Equal(t, grant, Granted)
	}
	assert.Equal(t, len(yielded), 9)
	for i, h := range yielded {
		assert.Assert(t, h == crowd[i])
	}
}

// A crowd uses up all connections without sending anything. A new caller takes the place of the
// connection that has waited longest, but not of one that carries a request.
func TestReplay_UnusedConnectionsYieldToNewOnes(t *testing.T) {
	b := NewBudget(Limits{Connections: 3})
	inUse, first, second, next := &Holder{}, &Holder{}, &Holder{}, &Holder{}
	for i, h := range []*Holder{inUse, first, second} {
		grant, _ := b.Connect(at(float64(i)), h, 10)
		assert.Equal(t, grant, Granted)
	}
	assert.Assert(t, b.SetState(at(2), inUse, Kept))
	body := receiving()
	expectGrant(t, b, body, 1_000_000, Granted)
	grant, yielding := b.Connect(at(3), next, 10)
	assert.Equal(t, grant, Wait)
	assert.Equal(t, len(yielding), 1)
	assert.Assert(t, yielding[0] == first)
	b.Close(first)
	grant, _ = b.Connect(at(3), next, 10)
	assert.Equal(t, grant, Granted)
	assert.Equal(t, b.Connections(), 3)
}

// All connections carry requests: a new one is refused.
func TestReplay_ConnectionIsRefusedWhileAllAreInUse(t *testing.T) {
	b := NewBudget(Limits{Connections: 2})
	for range 2 {
		h := &Holder{}
		grant, _ := b.Connect(at(0), h, 10)
		assert.Equal(t, grant, Granted)
		b.SetState(at(0), h, Kept)
	}
	next := &Holder{}
	grant, yielding := b.Connect(at(1), next, 10)
	assert.Equal(t, grant, Yield)
	assert.Equal(t, len(yielding), 0)
	b.Close(next)
	assert.Equal(t, b.Connections(), 2)
	assert.Equal(t, b.yielding, usage{})
}

// Callers that keep connections between requests lose them only after a crowd that stopped inside
// its requests.
func TestReplay_IdleConnectionsYieldLast(t *testing.T) {
	b := NewBudget(Limits{Bytes: 3000})
	idle, stalled, next := &Holder{}, &Holder{}, &Holder{}
	b.Connect(at(0), idle, 1000)
	b.SetState(at(0), idle, Idle)
	b.Connect(at(3), stalled, 1000)
	grant, yielding := b.Connect(at(4), next, 1500)
	assert.Equal(t, grant, Wait)
	assert.Equal(t, len(yielding), 1)
	assert.Assert(t, yielding[0] == stalled)
}

// A caller gets a second to read what is ready, also while memory is short. Others wait for it.
func TestReplay_SlowReaderYieldsAfterASecond(t *testing.T) {
	b := NewBudget(Limits{Bytes: 1000})
	slow, next := &Holder{}, &Holder{}
	b.SetState(at(0), slow, Sending)
	b.SetState(at(0.5), next, Sending)
	expectGrant(t, b, slow, 900, Granted)
	grant, yielding := b.Add(at(0.9), next, 200)
	assert.Equal(t, grant, Wait)
	assert.Equal(t, len(yielding), 0)
	grant, yielding = b.Add(at(1.1), next, 200)
	assert.Equal(t, grant, Wait)
	assert.Equal(t, len(yielding), 1)
	assert.Assert(t, yielding[0] == slow)
}

// Large requests fill the budget, and wait for targets: ordinary ones still find room.
func TestReplay_LargeHoldersLeaveRoomForOrdinaryOnes(t *testing.T) {
	const limit = 4 << 20
	b := NewBudget(Limits{Bytes: limit})
	for {
		large := receiving()
		if grant, _ := b.Add(at(0), large, 512<<10); grant != Granted {
			b.Close(large)
			break
		}
		b.SetState(at(0), large, Kept)
	}
	assert.Equal(t, b.Used(), int64(3<<20))
	for range 50 {
		expectGrant(t, b, receiving(), 20<<10, Granted)
	}
}

// What a target has already sent is counted beyond the limit, and others yield for it.
func TestForce_CountsBeyondTheLimit(t *testing.T) {
	b := NewBudget(Limits{Bytes: 1000})
	stalled, response := receiving(), &Holder{}
	expectGrant(t, b, stalled, 900, Granted)
	yielding := b.Force(at(1), response, 300)
	assert.Equal(t, len(yielding), 1)
	assert.Assert(t, yielding[0] == stalled)
	assert.Equal(t, b.Used(), int64(1200))
	b.Close(stalled)
	b.Remove(response, 100)
	assert.Equal(t, b.Used(), int64(200))
	b.Close(response)
	assert.Equal(t, b.Used(), int64(0))
	assert.Equal(t, b.yielding, usage{})
}

// Operations in any order leave nothing counted once all holders are closed.
func TestBudget_NothingStaysCounted(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		b := NewBudget(Limits{Bytes: 200_000, Connections: 10})
		holders := make([]*Holder, 20)
		for i := range holders {
			holders[i] = &Holder{}
		}
		now := at(0)
		for range 500 {
			now = now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
			h := holders[random.IntN(len(holders))]
			switch random.IntN(6) {
			case 0:
				if h.connections == 0 && h.bytes == 0 {
					b.Close(h)
					b.Connect(now, h, 1000)
				}
			case 1:
				b.Add(now, h, random.Int64N(80_000))
			case 2:
				b.Force(now, h, random.Int64N(1000))
			case 3:
				b.SetState(now, h, State(random.IntN(4)))
			case 4:
				b.Remove(h, random.Int64N(80_000))
			case 5:
				b.Close(h)
			}
			assert.Assert(t, b.used.connections <= 10)
			assert.Assert(t, b.yielding.bytes >= 0 && b.yielding.bytes <= b.used.bytes, "seed %d", seed)
		}
		for _, h := range holders {
			b.Close(h)
		}
		assert.Equal(t, b.used, usage{}, "seed %d", seed)
		assert.Equal(t, b.yielding, usage{}, "seed %d", seed)
		assert.Equal(t, len(b.waiting), 0)
	}
}
