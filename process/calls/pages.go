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
	// pageWritesPerSecond bounds the commits of one page by one process.
	pageWritesPerSecond = 20
	// entryWritesPerSecond bounds the commits of one process over all pages, and
	// entryWriteBurst how many of them may come at once.
	entryWritesPerSecond = 100
	entryWriteBurst      = 20
	// pageWriteBurst lets a lone call commit without waiting.
	pageWriteBurst = 4
	// maxBatch bounds the operations of one commit.
	maxBatch = 1024
	// storeTimeout bounds one request to the store.
	storeTimeout = 500 * time.Millisecond
	// storePause is waited after an error, growing up to storePauseMax.
	storePause    = 10 * time.Millisecond
	storePauseMax = 200 * time.Millisecond
)

// PageOptions says how pages are written.
type PageOptions struct {
	// WritesPerSecond bounds the commits of one page; zero means the default.
	WritesPerSecond float64
	// Unbatched commits every operation on its own.
	Unbatched bool
}

// PageWriter commits operations to call pages, many in one compare-and-swap.
type PageWriter struct {
	store   Store
	options PageOptions
	stopped context.Context

	mu     sync.Mutex
	byName map[string]*pager
	stats  PageStats
	// total bounds the writes over all pages.
	total *rate.Limiter
	// layouts holds the number of pages of each service that is known.
	layouts map[string]int
}

// PageStats counts the traffic of the pages.
type PageStats struct {
	// Operations counts the operations that were asked for.
	Operations int `json:"operations"`
	// Writes, Reads and Conflicts count requests to the store.
	Writes    int `json:"writes"`
	Reads     int `json:"reads"`
	Conflicts int `json:"conflicts"`
	// Errors counts requests to the store that had no answer.
	Errors int `json:"errors"`
}

// NewPageWriter returns pages over store that work until ctx ends.
func NewPageWriter(ctx context.Context, store Store, options PageOptions) *PageWriter {
	if options.WritesPerSecond <= 0 {
		options.WritesPerSecond = pageWritesPerSecond
	}
	total := rate.NewLimiter(entryWritesPerSecond, entryWriteBurst)
	if options.Unbatched {
		total = rate.NewLimiter(rate.Inf, 1)
	}
	return &PageWriter{store: store, total: total, options: options, stopped: ctx, byName: map[string]*pager{}, layouts: map[string]int{}}
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

// PageKey is the key of a page in the store.
func PageKey(service string, page int) string {
	return fmt.Sprintf("mulberrylane/calls/%s/%04d", service, page)
}

// Do carries out op on the page of its call; pages is how many the service is to
// have. An error of kind StoreUnavailable
// means that the operation may take effect or not.
func (p *PageWriter) Do(ctx context.Context, service string, pages int, op callpage.Operation) (callpage.Result, error) {
	p.count(func(s *PageStats) { s.Operations++ })
	pages, err := p.layout(ctx, service, pages)
	if err != nil {
		return callpage.Result{}, err
	}
	w := &waiting{ctx: ctx, op: op, done: make(chan callpage.Result, 1)}
	select {
	case p.pager(PageKey(service, op.CallKey.PageIndex(pages))).queue <- w:
	case <-ctx.Done():
		return callpage.Result{}, storeLate()
	}
	select {
	case result := <-w.done:
		return result, nil
	case <-ctx.Done():
	case <-p.stopped.Done():
	}
	return callpage.Result{}, storeLate()
}

func storeLate() error {
	return fault.New(fault.StoreUnavailable, "the key-value service did not answer in time")
}

// pager returns the goroutine that owns a page in this process.
func (p *PageWriter) pager(key string) *pager {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byName[key]
	if ok {
		return found
	}
	found = &pager{
		pages: p,
		key:   key,
		queue: make(chan *waiting, maxBatch),
		limit: rate.NewLimiter(rate.Limit(p.options.WritesPerSecond), pageWriteBurst),
	}
	if p.options.Unbatched {
		found.limit = rate.NewLimiter(rate.Inf, 1)
	}
	p.byName[key] = found
	go found.run(p.stopped)
	return found
}

// waiting is one operation that waits for its commit.
type waiting struct {
	ctx  context.Context
	op   callpage.Operation
	done chan callpage.Result
}

// pager commits the operations on one page, one batch at a time.
type pager struct {
	pages *PageWriter
	key   string
	queue chan *waiting
	limit *rate.Limiter

	// page is the page as last seen, at modRevision; fresh says that it was read
	// from the store after the running batch was gathered.
	page        *callpage.Page
	modRevision int64
	fresh       bool
	// last is the page as last seen, also while the store gives no answers.
	last *callpage.Page
}

func (g *pager) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-g.queue:
			if g.limit.Wait(ctx) != nil || g.pages.total.Wait(ctx) != nil {
				return
			}
			g.commit(ctx, g.gather(first))
		}
	}
}

// gather takes what waits in the queue.
func (g *pager) gather(first *waiting) []*waiting {
	batch := []*waiting{first}
	if g.pages.options.Unbatched {
		return batch
	}
	for len(batch) < maxBatch {
		select {
		case w := <-g.queue:
			batch = append(batch, w)
		default:
			return batch
		}
	}
	return batch
}

// commit carries out a batch; operations whose callers gave up are dropped.
func (g *pager) commit(ctx context.Context, batch []*waiting) {
	g.fresh = false
	batch = g.answerSettled(batch)
	pause := storePause
	for ctx.Err() == nil {
		batch = alive(batch)
		if len(batch) == 0 {
			return
		}
		results, ok := g.attempt(ctx, batch)
		if ok {
			for i, w := range batch {
				w.done <- results[i]
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, storePauseMax)
	}
}

// answerSettled answers the operations on calls that are known to be done, for
// which the store is not needed, and returns the others.
func (g *pager) answerSettled(batch []*waiting) []*waiting {
	if g.last == nil {
		return batch
	}
	kept := batch[:0]
	for _, w := range batch {
		record, done := g.last.Settled(w.op.CallKey)
		if !done {
			kept = append(kept, w)
			continue
		}
		w.done <- callpage.ResultOf(w.op, record)
	}
	return kept
}

func alive(batch []*waiting) []*waiting {
	kept := batch[:0]
	for _, w := range batch {
		if w.ctx.Err() == nil {
			kept = append(kept, w)
		}
	}
	return kept
}

// attempt tries until the batch is committed, or the store gives no answer. After
// a lost answer the page is read again: an operation that took effect finds its
// own nonce there.
func (g *pager) attempt(ctx context.Context, batch []*waiting) ([]callpage.Result, bool) {
	ops := make([]callpage.Operation, 0, len(batch))
	for _, w := range batch {
		ops = append(ops, w.op)
	}
	for {
		if g.page == nil && !g.read(ctx) {
			return nil, false
		}
		next, results, changed := g.page.Apply(time.Now(), ops)
		if !changed && (g.fresh || allFinal(results)) {
			return results, true
		}
		if !changed {
			g.page = nil
			continue
		}
		swapped, ok := g.write(ctx, next)
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

func (g *pager) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	g.pages.count(func(s *PageStats) { s.Reads++ })
	current, err := g.pages.store.Get(ctx, g.key)
	if err != nil {
		g.pages.count(func(s *PageStats) { s.Errors++ })
		return false
	}
	return g.take(current) == nil
}

// take makes what the store holds the page as last seen.
func (g *pager) take(current outside.KeyValue) error {
	page, err := callpage.Decode(current.Value)
	if err != nil {
		g.page = nil
		return errors.Wrapf(err, "key %s", g.key)
	}
	g.page, g.last = page, page
	g.modRevision = current.ModRevision
	g.fresh = true
	return nil
}

// write swaps the page for next. Without an answer nothing is known of the page.
func (g *pager) write(ctx context.Context, next *callpage.Page) (swapped, ok bool) {
	value, err := next.Encode()
	if err != nil {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	g.pages.count(func(s *PageStats) { s.Writes++ })
	current, swapped, err := g.pages.store.CompareAndSwap(ctx, outside.CompareAndSwapRequest{Key: g.key, Value: value, ExpectedRevision: g.modRevision})
	if err != nil {
		g.pages.count(func(s *PageStats) { s.Errors++ })
		g.page = nil
		return false, false
	}
	if swapped {
		g.page, g.last = next, next
		g.modRevision = current.ModRevision
		return true, true
	}
	g.pages.count(func(s *PageStats) { s.Conflicts++ })
	return false, g.take(current) == nil && g.pages.total.Wait(ctx) == nil
}
