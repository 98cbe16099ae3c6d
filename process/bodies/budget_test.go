package bodies

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func expectGrant(t *testing.T, b *Budget, body *Body, n int64, want Grant, wantYielding *Body) {
	t.Helper()
	grant, yielding := b.Add(body, n)
	assert.Equal(t, grant, want)
	assert.Assert(t, yielding == wantYielding)
}

// A response without end yields to a sound one that comes later.
func TestBudget_LargestBodyYields(t *testing.T) {
	b := NewBudget(1000)
	endless, other, sound := &Body{}, &Body{}, &Body{}
	expectGrant(t, b, endless, 600, Granted, nil)
	expectGrant(t, b, other, 300, Granted, nil)
	expectGrant(t, b, sound, 200, Wait, endless)
	expectGrant(t, b, sound, 200, Wait, nil)
	expectGrant(t, b, endless, 1, Yield, nil)
	assert.Assert(t, !b.Received(endless))
	b.Release(endless)
	expectGrant(t, b, sound, 200, Granted, nil)
	assert.Assert(t, b.Received(sound))
	b.Release(sound)
	b.Release(other)
	assert.Equal(t, b.Used(), int64(0))
}

// Slow callers keep whole responses in memory. What is received beside them has to yield.
func TestBudget_WholeBodiesAreKept(t *testing.T) {
	b := NewBudget(1000)
	kept, next := &Body{}, &Body{}
	expectGrant(t, b, kept, 900, Granted, nil)
	assert.Assert(t, b.Received(kept))
	expectGrant(t, b, next, 200, Yield, nil)
	b.Release(next)
	b.Release(kept)
	expectGrant(t, b, next, 200, Granted, nil)
}

// Bodies without end come from most targets, in any order: they never use more than the limit, and
// each smaller one beside them is received.
func TestBudget_EndlessBodiesLeaveRoomForSmallOnes(t *testing.T) {
	const limit, chunk, small = 1000, 10, 40
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		b := NewBudget(limit)
		endless := make([]*Body, 20)
		for i := range endless {
			endless[i] = &Body{}
		}
		grow := func(body *Body) bool {
			for {
				grant, yielding := b.Add(body, chunk)
				assert.Assert(t, b.Used() <= limit)
				if grant != Wait {
					return grant == Granted
				}
				if yielding != nil {
					b.Release(yielding)
				}
			}
		}
		for range 2000 {
			if body := endless[random.IntN(len(endless))]; !grow(body) {
				b.Release(body)
			}
			sound := &Body{}
			for range small / chunk {
				larger := b.largest().bytes > sound.bytes+chunk
				assert.Assert(t, grow(sound) || !larger, "seed %d", seed)
			}
			b.Release(sound)
		}
		for _, body := range endless {
			b.Release(body)
		}
		assert.Equal(t, b.used, int64(0))
		assert.Equal(t, b.yielding, int64(0))
	}
}
