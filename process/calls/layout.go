package calls

import (
	"context"
	"strconv"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

// LayoutKey returns the store key of the number of pages of a service.
func LayoutKey(service string) string { return "mulberrylane/layout/" + service }

// pageCount returns the number of pages of a service. The number is written by the
// first call and never changes: an idempotency key that moved to another page would
// be taken for a new one, and its call could run again.
func (p *PageWriter) pageCount(ctx context.Context, service string, declared int) (int, error) {
	p.mu.Lock()
	count, ok := p.pageCounts[service]
	p.mu.Unlock()
	if ok {
		return count, nil
	}
	pages, err := p.initPageCount(ctx, service, declared)
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pageCounts[service] = pages
	return pages, nil
}

// initPageCount stores the declared number of pages unless a number is stored
// already, and returns the stored number. It retries until ctx ends if the store does
// not respond.
func (p *PageWriter) initPageCount(ctx context.Context, service string, declared int) (int, error) {
	swap := outside.CompareAndSwapRequest{Key: LayoutKey(service), Value: []byte(strconv.Itoa(declared))}
	for ctx.Err() == nil && p.stopped.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		current, swapped, err := p.store.CompareAndSwap(attemptCtx, swap)
		cancel()
		if err != nil {
			pauseRandomly(ctx)
			continue
		}
		if swapped {
			return declared, nil
		}
		pages, err := strconv.Atoi(string(current.Value))
		if err != nil || pages < 1 {
			return 0, fault.New(fault.Internal, "key %s: %q is not a number of pages", swap.Key, current.Value)
		}
		return pages, nil
	}
	return 0, storeTimeoutError()
}
