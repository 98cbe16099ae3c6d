package memory

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/quota"
)

// A holder that yields releases its memory a moment later. The one that asked waits for that.
func TestReserve_WaitsForHoldersThatYield(t *testing.T) {
	m := New(quota.Limits{Bytes: 1000})
	var yields []Yield
	m.OnYield = func(y Yield) { yields = append(yields, y) }
	var stalled *Account
	var interrupted atomic.Bool
	stalled = m.Open(quota.Receiving, func() {
		interrupted.Store(true)
		go func() {
			time.Sleep(20 * time.Millisecond)
			stalled.Close()
		}()
	})
	assert.Assert(t, stalled.Reserve(900))
	next := m.Open(quota.Receiving, nil)
	assert.Assert(t, next.Reserve(500))
	assert.Assert(t, interrupted.Load())
	assert.Equal(t, len(yields), 1)
	assert.Equal(t, yields[0].Bytes, int64(900))
	assert.Equal(t, yields[0].State, quota.Receiving)
	assert.Equal(t, m.Used(), int64(500))
	assert.Assert(t, !stalled.Reserve(1))
	assert.Assert(t, !stalled.SetState(quota.Receiving, nil))
	stalled.Force(1)
	next.Close()
	assert.Equal(t, m.Used(), int64(0))
}

// A holder that yielded was never released, and everything that asked for memory stood still.
func TestReserve_DoesNotWaitForEver(t *testing.T) {
	t.Parallel()
	m := New(quota.Limits{Bytes: 1000})
	stuck := m.Open(quota.Receiving, func() {})
	assert.Assert(t, stuck.Reserve(900))
	next := m.Open(quota.Receiving, nil)
	assert.Assert(t, !next.Reserve(500))
	assert.Assert(t, next.Yielded())
	next.Close()
	assert.Equal(t, m.Used(), int64(900))
}

// Accounts are used by many goroutines. In the end nothing is counted, and nobody waits.
func TestMemory_ConcurrentHoldersLeaveNothing(t *testing.T) {
	m := New(quota.Limits{Bytes: 400_000, Connections: 15})
	m.OnYield = func(Yield) {}
	var group sync.WaitGroup
	var granted atomic.Int64
	for seed := range uint64(40) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			for range 100 {
				ended := make(chan struct{})
				var once sync.Once
				a, ok := m.Connect(func() { once.Do(func() { close(ended) }) })
				if !ok {
					continue
				}
				for step := 0; step < 5 && a.Reserve(random.Int64N(20_000)); step++ {
					granted.Add(1)
					select {
					case <-ended:
					case <-time.After(time.Duration(random.IntN(200)) * time.Microsecond):
					}
					a.Progress()
				}
				a.SetState(quota.State(random.IntN(4)), nil)
				a.Close()
			}
		})
	}
	group.Wait()
	assert.Assert(t, granted.Load() > 0)
	assert.Equal(t, m.Used(), int64(0))
	assert.Equal(t, m.Connections(), 0)
	assert.Equal(t, len(m.accounts), 0)
}

func TestNilAccount_GrantsEverything(t *testing.T) {
	var m *Memory
	a, ok := m.Connect(nil)
	assert.Assert(t, ok)
	assert.Assert(t, a.Reserve(1) && a.SetState(quota.Idle, nil) && a.Progress() && !a.Yielded())
	a.Force(1)
	a.Release(1)
	a.Close()
}
