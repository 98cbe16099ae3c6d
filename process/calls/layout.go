package calls

import (
	"context"
	"strconv"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

// LayoutKey is the key that holds the number of pages of a service.
func LayoutKey(service string) string { return "mulberrylane/layout/" + service }

// layout returns the number of pages of a service. It is written once, by the first
// call, and never changes after: a key that moved to another page would be taken
// for a new one and could run again.
func (p *PageWriter) layout(ctx context.Context, service string, wanted int) (int, error) {
	p.mu.Lock()
	known, ok := p.layouts[service]
	p.mu.Unlock()
	if ok {
		return known, nil
	}
	pages, err := p.fixLayout(ctx, service, wanted)
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.layouts[service] = pages
	return pages, nil
}

// fixLayout writes the number of pages unless it stands, and returns what stands.
// Without an answer it tries again until ctx ends.
func (p *PageWriter) fixLayout(ctx context.Context, service string, wanted int) (int, error) {
	swap := outside.CompareAndSwapRequest{Key: LayoutKey(service), Value: []byte(strconv.Itoa(wanted))}
	for ctx.Err() == nil && p.stopped.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, storeTimeout)
		current, swapped, err := p.store.CompareAndSwap(attempt, swap)
		cancel()
		if err != nil {
			pauseRandomly(ctx)
			continue
		}
		if swapped {
			return wanted, nil
		}
		pages, err := strconv.Atoi(string(current.Value))
		if err != nil || pages < 1 {
			return 0, fault.New(fault.Internal, "key %s: %q is not a number of pages", swap.Key, current.Value)
		}
		return pages, nil
	}
	return 0, storeLate()
}
