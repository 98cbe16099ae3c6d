package calls

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

// Executor executes the calls of one entry.
type Executor struct {
	pages   *PageWriter
	targets TargetSelector
	budgets *budgets
	// events records the timeline; it may be nil.
	events *timeline.Recorder

	mu sync.Mutex
	// inProgress holds the reservations that this process is working on; each channel
	// is closed when the work ends.
	inProgress map[request.Nonce]chan struct{}
	// pendingSettles counts the outcomes that are still being recorded.
	pendingSettles int
}

// NewExecutor returns an Executor that runs until pages is stopped and records its
// timeline in events, which may be nil.
func NewExecutor(pages *PageWriter, targets TargetSelector, events *timeline.Recorder) *Executor {
	return &Executor{events: events, pages: pages, targets: targets, budgets: newBudgets(), inProgress: map[request.Nonce]chan struct{}{}}
}

// settleGracePeriod is how long after its deadline a submission may still record its
// outcome.
const settleGracePeriod = 10 * time.Second

// Submit executes one call. A non-idempotent call continues after ctx ends, because
// its caller may ask for the outcome later.
func (e *Executor) Submit(ctx context.Context, call Call) Result {
	if call.Idempotent {
		return e.submitIdempotent(ctx, call)
	}
	ctx = context.WithoutCancel(ctx)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	s := &submission{executor: e, call: call, digest: call.Body.Digest()}
	return s.run(ctx)
}

func newNonce(deadline time.Time) request.Nonce {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return request.NewNonce(deadline, random)
}

// trackReservation records that this process works on a reservation, until end is
// called.
func (e *Executor) trackReservation(nonce request.Nonce) (end func()) {
	done := make(chan struct{})
	e.mu.Lock()
	e.inProgress[nonce] = done
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		delete(e.inProgress, nonce)
		e.mu.Unlock()
		close(done)
	}
}

// awaitReservation waits until this process has ended its work on a reservation or
// ctx ends. It returns false at once if the process is not working on it.
func (e *Executor) awaitReservation(ctx context.Context, nonce request.Nonce) bool {
	e.mu.Lock()
	done, ok := e.inProgress[nonce]
	e.mu.Unlock()
	if !ok {
		return false
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return true
}

const drainPollInterval = 10 * time.Millisecond

// Drain waits until no outcome is still being recorded, or ctx ends.
func (e *Executor) Drain(ctx context.Context) {
	for e.addPendingSettles(0) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

func (e *Executor) addPendingSettles(change int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingSettles += change
	return e.pendingSettles
}

// stopped reports whether the page writer has stopped because the entry ends.
func (e *Executor) stopped() bool { return e.pages.stopped.Err() != nil }
