package calls

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

// Executor serves the calls of one entry.
type Executor struct {
	pages   *PageWriter
	targets TargetSelector
	budgets *budgets
	// events records the time line; it may be nil.
	events *timeline.Recorder

	mu sync.Mutex
	// running holds the reservations that this process is working on.
	running map[request.Nonce]chan struct{}
	// settling counts the outcomes that are not yet recorded.
	settling int
}

// NewExecutor returns a driver that works as long as pages do and records its events
// in events, which may be nil.
func NewExecutor(pages *PageWriter, targets TargetSelector, events *timeline.Recorder) *Executor {
	return &Executor{events: events, pages: pages, targets: targets, budgets: newBudgets(), running: map[request.Nonce]chan struct{}{}}
}

// settleGrace is how long a submission may go on after its deadline to record
// what became of it.
const settleGrace = 10 * time.Second

// Submit serves one call to its end. The call goes on when ctx ends, as its caller
// may ask for the outcome later.
func (d *Executor) Submit(ctx context.Context, call Call) Result {
	if call.Idempotent {
		return d.repeat(ctx, call)
	}
	ctx = context.WithoutCancel(ctx)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	s := &submission{driver: d, call: call, digest: call.Body.Digest()}
	return s.run(ctx)
}

func newNonce(deadline time.Time) request.Nonce {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return request.NewNonce(deadline, random)
}

// begin notes that this process works on a reservation.
func (d *Executor) begin(nonce request.Nonce) (end func()) {
	done := make(chan struct{})
	d.mu.Lock()
	d.running[nonce] = done
	d.mu.Unlock()
	return func() {
		d.mu.Lock()
		delete(d.running, nonce)
		d.mu.Unlock()
		close(done)
	}
}

// await waits until this process has ended its work on a reservation. It returns
// false when it has none.
func (d *Executor) await(ctx context.Context, nonce request.Nonce) bool {
	d.mu.Lock()
	done, ok := d.running[nonce]
	d.mu.Unlock()
	if !ok {
		return false
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return true
}

const drainPoll = 10 * time.Millisecond

// Drain waits until every outcome is recorded, or ctx ends.
func (d *Executor) Drain(ctx context.Context) {
	for d.addSettling(0) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPoll):
		}
	}
}

func (d *Executor) addSettling(change int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settling += change
	return d.settling
}

// stopped says that the process ended its work.
func (d *Executor) stopped() bool { return d.pages.stopped.Err() != nil }
