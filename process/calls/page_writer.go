package calls

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/callpage"
)

// Store is the part of the key-value service that call pages need.
type Store interface {
	Get(ctx context.Context, key string) (outside.KeyValue, error)
	CompareAndSwap(ctx context.Context, swap outside.CompareAndSwapRequest) (current outside.KeyValue, swapped bool, err error)
}

const (
	// pageWritesPerSecond bounds the rate of commits to one page by one process.
	pageWritesPerSecond = 20
	// entryWritesPerSecond bounds the rate of commits of one process over all pages,
	// and entryWriteBurst their burst.
	entryWritesPerSecond = 100
	entryWriteBurst      = 20
	// pageWriteBurst allows the commits of a single call without a wait.
	pageWriteBurst = 4
	// maxBatch bounds the number of operations in one commit.
	maxBatch = 1024
	// storeTimeout bounds one request to the store.
	storeTimeout = 500 * time.Millisecond
	// minStoreRetryDelay is the delay after a first error; it doubles with each further
	// error, up to maxStoreRetryDelay.
	minStoreRetryDelay = 10 * time.Millisecond
	maxStoreRetryDelay = 200 * time.Millisecond
)

// PageOptions sets how pages are written.
type PageOptions struct {
	// WritesPerSecond bounds the rate of commits to one page; zero means the default.
	WritesPerSecond float64
	// Unbatched commits each operation separately and without rate limits.
	Unbatched bool
}

// PageWriter commits operations to call pages, batching them into one compare-and-swap
// for each page.
type PageWriter struct {
	store   Store
	options PageOptions
	stopped context.Context

	mu         sync.Mutex
	committers map[string]*pageCommitter
	stats      PageStats
	// totalLimit bounds the rate of writes over all pages.
	totalLimit *rate.Limiter
	// pageCounts caches the number of pages by service.
	pageCounts map[string]int
}

// PageStats counts operations and requests to the store.
type PageStats struct {
	// Operations counts the operations passed to Do.
	Operations int `json:"operations"`
	// Writes and Reads count requests to the store; Conflicts counts writes that lost
	// to another process.
	Writes    int `json:"writes"`
	Reads     int `json:"reads"`
	Conflicts int `json:"conflicts"`
	// Errors counts requests to the store that failed.
	Errors int `json:"errors"`
}

// NewPageWriter returns a PageWriter that runs until ctx ends.
func NewPageWriter(ctx context.Context, store Store, options PageOptions) *PageWriter {
	if options.WritesPerSecond <= 0 {
		options.WritesPerSecond = pageWritesPerSecond
	}
	total := rate.NewLimiter(entryWritesPerSecond, entryWriteBurst)
	if options.Unbatched {
		total = rate.NewLimiter(rate.Inf, 1)
	}
	return &PageWriter{store: store, totalLimit: total, options: options, stopped: ctx, committers: map[string]*pageCommitter{}, pageCounts: map[string]int{}}
}

// Stats returns the counts so far.
func (p *PageWriter) Stats() PageStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

func (p *PageWriter) count(add func(*PageStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.stats)
}

// PageKey returns the store key of a page.
func PageKey(service string, page int) string {
	return fmt.Sprintf("mulberrylane/calls/%s/%04d", service, page)
}

// Do applies op to the page of its call and returns its result once that is
// committed. pages is the number of pages that the service declares. An error of kind
// StoreUnavailable means that the operation may or may not take effect.
func (p *PageWriter) Do(ctx context.Context, service string, pages int, op callpage.Operation) (callpage.Result, error) {
	p.count(func(s *PageStats) { s.Operations++ })
	pages, err := p.pageCount(ctx, service, pages)
	if err != nil {
		return callpage.Result{}, err
	}
	pending := &pendingOperation{ctx: ctx, op: op, done: make(chan callpage.Result, 1)}
	select {
	case p.committer(PageKey(service, op.CallKey.PageIndex(pages))).queue <- pending:
	case <-ctx.Done():
		return callpage.Result{}, storeTimeoutError()
	}
	select {
	case result := <-pending.done:
		return result, nil
	case <-ctx.Done():
	case <-p.stopped.Done():
	}
	return callpage.Result{}, storeTimeoutError()
}

func storeTimeoutError() error {
	return fault.New(fault.StoreUnavailable, "the key-value service did not answer in time")
}

// committer returns the committer of a page in this process, and starts it if
// necessary.
func (p *PageWriter) committer(key string) *pageCommitter {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.committers[key]
	if ok {
		return found
	}
	found = &pageCommitter{
		writer: p,
		key:    key,
		queue:  make(chan *pendingOperation, maxBatch),
		limit:  rate.NewLimiter(rate.Limit(p.options.WritesPerSecond), pageWriteBurst),
	}
	if p.options.Unbatched {
		found.limit = rate.NewLimiter(rate.Inf, 1)
	}
	p.committers[key] = found
	go found.run(p.stopped)
	return found
}

// pendingOperation is an operation that waits for its commit.
type pendingOperation struct {
	ctx  context.Context
	op   callpage.Operation
	done chan callpage.Result
}

// pageCommitter commits the operations on one page, one batch at a time.
type pageCommitter struct {
	writer *PageWriter
	key    string
	queue  chan *pendingOperation
	limit  *rate.Limiter

	// page is the page as last seen, at modRevision, or nil if it must be read again.
	// isFresh means that it was read from the store after the current batch was
	// collected.
	page        *callpage.Page
	modRevision int64
	isFresh     bool
	// lastSeen is the page as last seen; unlike page, it is kept while the store is
	// unavailable.
	lastSeen *callpage.Page
}

func (c *pageCommitter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			if c.limit.Wait(ctx) != nil || c.writer.totalLimit.Wait(ctx) != nil {
				return
			}
			c.commit(ctx, c.collectBatch(first))
		}
	}
}

// collectBatch returns first and the operations waiting in the queue, up to maxBatch.
func (c *pageCommitter) collectBatch(first *pendingOperation) []*pendingOperation {
	batch := []*pendingOperation{first}
	if c.writer.options.Unbatched {
		return batch
	}
	for len(batch) < maxBatch {
		select {
		case operation := <-c.queue:
			batch = append(batch, operation)
		default:
			return batch
		}
	}
	return batch
}

// commit commits a batch and drops operations whose contexts have ended.
func (c *pageCommitter) commit(ctx context.Context, batch []*pendingOperation) {
	c.isFresh = false
	batch = c.completeSettled(batch)
	delay := minStoreRetryDelay
	for ctx.Err() == nil {
		batch = removeCanceled(batch)
		if len(batch) == 0 {
			return
		}
		results, ok := c.tryCommit(ctx, batch)
		if ok {
			for i, operation := range batch {
				operation.done <- results[i]
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxStoreRetryDelay)
	}
}

// completeSettled completes the operations on calls that are known to be done, which
// need no request to the store, and returns the others.
func (c *pageCommitter) completeSettled(batch []*pendingOperation) []*pendingOperation {
	if c.lastSeen == nil {
		return batch
	}
	remaining := batch[:0]
	for _, operation := range batch {
		record, done := c.lastSeen.Settled(operation.op.CallKey)
		if !done {
			remaining = append(remaining, operation)
			continue
		}
		operation.done <- callpage.ResultOf(operation.op, record)
	}
	return remaining
}

func removeCanceled(batch []*pendingOperation) []*pendingOperation {
	remaining := batch[:0]
	for _, operation := range batch {
		if operation.ctx.Err() == nil {
			remaining = append(remaining, operation)
		}
	}
	return remaining
}

// tryCommit tries to commit the batch until it succeeds or a request to the store
// fails. After a lost response the next try reads the page again; an operation that
// took effect finds its own nonce there.
func (c *pageCommitter) tryCommit(ctx context.Context, batch []*pendingOperation) ([]callpage.Result, bool) {
	ops := make([]callpage.Operation, 0, len(batch))
	for _, operation := range batch {
		ops = append(ops, operation.op)
	}
	for {
		if c.page == nil && !c.read(ctx) {
			return nil, false
		}
		next, results, changed := c.page.Apply(time.Now(), ops)
		if !changed && (c.isFresh || allFinal(results)) {
			return results, true
		}
		if !changed {
			c.page = nil
			continue
		}
		swapped, ok := c.write(ctx, next)
		if !ok {
			return nil, false
		}
		if swapped {
			return results, true
		}
	}
}

func allFinal(results []callpage.Result) bool {
	for _, result := range results {
		if !result.IsFinal() {
			return false
		}
	}
	return true
}

func (c *pageCommitter) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.writer.count(func(s *PageStats) { s.Reads++ })
	current, err := c.writer.store.Get(ctx, c.key)
	if err != nil {
		c.writer.count(func(s *PageStats) { s.Errors++ })
		return false
	}
	return c.setPage(current) == nil
}

// setPage sets the page as last seen from the value in the store.
func (c *pageCommitter) setPage(current outside.KeyValue) error {
	page, err := callpage.Decode(current.Value)
	if err != nil {
		c.page = nil
		return errors.Wrapf(err, "key %s", c.key)
	}
	c.page, c.lastSeen = page, page
	c.modRevision = current.ModRevision
	c.isFresh = true
	return nil
}

// write replaces the page by next. ok is false if the request failed; the stored page
// is then unknown.
func (c *pageCommitter) write(ctx context.Context, next *callpage.Page) (swapped, ok bool) {
	value, err := next.Encode()
	if err != nil {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.writer.count(func(s *PageStats) { s.Writes++ })
	current, swapped, err := c.writer.store.CompareAndSwap(ctx, outside.CompareAndSwapRequest{Key: c.key, Value: value, ExpectedRevision: c.modRevision})
	if err != nil {
		c.writer.count(func(s *PageStats) { s.Errors++ })
		c.page = nil
		return false, false
	}
	if swapped {
		c.page, c.lastSeen = next, next
		c.modRevision = current.ModRevision
		return true, true
	}
	c.writer.count(func(s *PageStats) { s.Conflicts++ })
	return false, c.setPage(current) == nil && c.writer.totalLimit.Wait(ctx) == nil
}
