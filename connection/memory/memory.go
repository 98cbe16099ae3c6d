// Package memory applies a quota.Budget to the connections and bodies of a process. It owns the
// lock, the clock and the waiting; package quota decides.
package memory

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mulberrylane/mulberrylane/connection/quota"
)

// waitInterval is how often those that wait for memory ask again if nothing is released: holders
// that make no progress yield with time.
const waitInterval = 100 * time.Millisecond

// maxWait is how long is waited for memory. Others yield within some milliseconds, or after a second
// if their callers do not read; a fault that keeps one from being released must not stop all.
const maxWait = 5 * time.Second

// Yield is a holder that had to yield.
type Yield struct {
	// State is what it waited for, Stalled for how long it had made no progress, and Bytes what it
	// held.
	State   quota.State
	Stalled time.Duration
	Bytes   int64
	// Refused is set if it yielded when it asked for more itself.
	Refused bool
}

// DescriptorLimit returns how many descriptors the process may have, or 0 if that is not known.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// callerDescriptorFraction is the part of the process's descriptors that connections of callers may
// use: each request needs another one to a target.
const callerDescriptorFraction = 0.5

// CallerLimits returns the limits of everything that is held on behalf of callers: so many bytes,
// and a part of the descriptors of the process.
func CallerLimits(bytes int64) quota.Limits {
	return quota.Limits{Bytes: bytes, Connections: int(callerDescriptorFraction * float64(DescriptorLimit()))}
}

// Memory limits the memory and the connections that callers make a process hold.
type Memory struct {
	// OnYield, if set, is called for each holder that has to yield. It must be set before the
	// first account is opened, and must not call Memory.
	OnYield func(Yield)

	mu sync.Mutex
	// changed is signalled when something was released or has to yield.
	changed *sync.Cond
	waiters int
	// waking is set while a timer runs that wakes those that wait.
	waking bool
	budget *quota.Budget
	// accounts holds the accounts of holders that are open.
	accounts map[*quota.Holder]*Account
}

// New returns a Memory with the given limits.
func New(limits quota.Limits) *Memory {
	m := &Memory{budget: quota.NewBudget(limits), accounts: map[*quota.Holder]*Account{}}
	m.changed = sync.NewCond(&m.mu)
	return m
}

// Used returns the memory of all accounts in bytes.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Used()
}

// Connections returns the number of connections.
func (m *Memory) Connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Connections()
}

// Account is what one holder uses. The methods of a nil Account grant everything and do nothing.
type Account struct {
	memory *Memory
	holder quota.Holder
	// interrupt ends what the holder waits for once it has to yield. It may be called at any time
	// after that was set, also when the holder is closed.
	interrupt func()
	closed    bool
}

// Connect opens the account of a connection, which is receiving, or returns nil if there is no
// room for it. A nil Memory returns nil and true.
func (m *Memory) Connect(interrupt func()) (*Account, bool) {
	if m == nil {
		return nil, true
	}
	a := &Account{memory: m, interrupt: interrupt}
	granted := a.ask(func(now time.Time) (quota.Grant, []*quota.Holder) {
		return m.budget.Connect(now, &a.holder, quota.ConnectionBytes)
	})
	if !granted {
		a.Close()
		return nil, false
	}
	return a, true
}

// Open opens an account without a connection.
func (m *Memory) Open(state quota.State, interrupt func()) *Account {
	a := &Account{memory: m}
	a.SetState(state, interrupt)
	return a
}

// Reserve asks for n more bytes, and waits while others release theirs. It reports whether the
// account may have them; if not, its holder has to be released.
func (a *Account) Reserve(n int64) bool {
	if a == nil {
		return true
	}
	return a.ask(func(now time.Time) (quota.Grant, []*quota.Holder) {
		return a.memory.budget.Add(now, &a.holder, n)
	})
}

// ask asks until the answer is not to wait.
func (a *Account) ask(request func(now time.Time) (quota.Grant, []*quota.Holder)) bool {
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	for began := time.Now(); ; {
		if a.closed {
			return false
		}
		m.accounts[&a.holder] = a
		yieldedBefore := a.holder.Yielded()
		now := time.Now()
		grant, yielding := request(now)
		if grant == quota.Wait && now.Sub(began) > maxWait {
			m.budget.GiveUp(&a.holder)
			grant = quota.Yield
		}
		refused := grant == quota.Yield && !yieldedBefore
		if refused || len(yielding) > 0 {
			m.interrupt(now, yielding, a, refused)
			if refused {
				return false
			}
			// Others may have been released meanwhile.
			continue
		}
		if grant != quota.Wait {
			return grant == quota.Granted
		}
		m.wait()
	}
}

// wait waits until something changes, or for a while. It must be called with the lock held.
func (m *Memory) wait() {
	if !m.waking {
		m.waking = true
		time.AfterFunc(waitInterval, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.waking = false
			m.changed.Broadcast()
		})
	}
	m.waiters++
	m.changed.Wait()
	m.waiters--
}

// interrupt ends what those wait for that have to yield. It must be called with the lock held,
// which it releases meanwhile: the interrupts may take other locks.
func (m *Memory) interrupt(now time.Time, yielding []*quota.Holder, asked *Account, refused bool) {
	var interrupts []func()
	var yields []Yield
	record := func(h *quota.Holder, refused bool) {
		yields = append(yields, Yield{State: h.State(), Stalled: h.Stalled(now), Bytes: h.Bytes(), Refused: refused})
	}
	for _, h := range yielding {
		record(h, false)
		if a := m.accounts[h]; a != nil && a.interrupt != nil {
			interrupts = append(interrupts, a.interrupt)
		}
	}
	if refused {
		record(&asked.holder, true)
	}
	m.changed.Broadcast()
	m.mu.Unlock()
	defer m.mu.Lock()
	for _, interrupt := range interrupts {
		interrupt()
	}
	if m.OnYield != nil {
		for _, yield := range yields {
			m.OnYield(yield)
		}
	}
}

// Force counts n more bytes that are needed in any case.
func (a *Account) Force(n int64) {
	if a == nil {
		return
	}
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.closed {
		return
	}
	m.accounts[&a.holder] = a
	now := time.Now()
	if yielding := m.budget.Force(now, &a.holder, n); len(yielding) > 0 {
		m.interrupt(now, yielding, nil, false)
	}
}

// Release gives n bytes back.
func (a *Account) Release(n int64) {
	if a == nil || n == 0 {
		return
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.budget.Remove(&a.holder, n)
	a.memory.signal()
}

// signal wakes those that wait. It must be called with the lock held.
func (m *Memory) signal() {
	if m.waiters > 0 {
		m.changed.Broadcast()
	}
}

// SetState records what the holder waits for from now on, and what ends that if it has to yield.
// It reports whether the holder may be kept.
func (a *Account) SetState(state quota.State, interrupt func()) bool {
	if a == nil {
		return true
	}
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.closed || !m.budget.SetState(time.Now(), &a.holder, state) {
		return false
	}
	m.accounts[&a.holder] = a
	a.interrupt = interrupt
	return true
}

// Progress records that the holder has made progress, and reports whether it may be kept.
func (a *Account) Progress() bool {
	if a == nil {
		return true
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.budget.Progress(time.Now(), &a.holder)
	return !a.closed && !a.holder.Yielded()
}

// Yielded reports whether the holder has to be released.
func (a *Account) Yielded() bool {
	if a == nil {
		return false
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	return a.holder.Yielded()
}

// Close records that the holder is no longer in memory. From then on the account grants nothing.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.closed = true
	a.memory.budget.Close(&a.holder)
	delete(a.memory.accounts, &a.holder)
	a.memory.signal()
}
