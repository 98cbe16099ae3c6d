package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/oracle"
)

// Work counts what an engine computed since it started.
type Work struct {
	// PrefillTokens counts prompt tokens that were not in the prefix cache.
	PrefillTokens int64 `json:"prefillTokens"`
	// CachedTokens counts prompt tokens that were.
	CachedTokens int64 `json:"cachedTokens"`
	// DecodedTokens counts generated tokens.
	DecodedTokens int64 `json:"decodedTokens"`
	// Steps counts steps.
	Steps int64 `json:"steps"`
}

// sequence is one generation in the batch or the queue.
type sequence struct {
	id        string
	ctx       context.Context
	model     string
	prompt    []request.TokenID
	generated []request.TokenID
	max       int
	priority  int
	arrival   int64
	// prefillLeft counts prompt tokens still to be computed; -1 before admission.
	prefillLeft int
	oracle      *oracle.Sequence
	out         chan []request.TokenID
	record      *GenerationRecord
}

// Engine is one stand-in engine. Run drives it; Serve puts it on HTTP.
type Engine struct {
	config Config
	random *rand.Rand

	mu       sync.Mutex
	waiting  []*sequence
	running  []*sequence
	cache    *prefixCache
	models   []string
	work     Work
	arrivals int64
	lagged   []loadSample
	faults   faults
	cacheLog cacheLog
	wake     chan struct{}
	records  []*GenerationRecord
	// dead says that the engine was killed.
	dead bool
	// orders is what was ordered besides models.
	orders orderState
}

type loadSample struct {
	at               time.Time
	running, waiting int
}

// New returns an engine that does nothing until Run.
func New(config Config) *Engine {
	return &Engine{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		cache:  newPrefixCache(config.CacheBlocks),
		models: slices.Clone(config.Models),
		wake:   make(chan struct{}, 1),
	}
}

// Work returns what was computed so far.
func (e *Engine) Work() Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.work
}

// submit queues a generation. Its tokens come on the channel, which is closed
// after the last one or when ctx ends.
func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	e.arrivals++
	s.arrival = e.arrivals
	s.record = &GenerationRecord{RequestID: s.id, Arrived: time.Now(), PromptTokens: len(s.prompt)}
	s.prefillLeft = -1
	s.oracle = oracle.NewSequence(e.config.Salt, s.model)
	s.oracle.Append(s.prompt...)
	s.out = make(chan []request.TokenID, s.max+1)
	e.waiting = append(e.waiting, s)
	if e.config.KeepRecords {
		e.records = append(e.records, s.record)
	}
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run steps the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for {
		pause, busy := e.beginStep()
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if !e.waitWhilePaused(ctx) {
			return
		}
		e.endStep()
	}
}

// beginStep forms the batch and returns how long its step takes.
func (e *Engine) beginStep() (pause time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return 0, false
	}
	e.dropCancelled()
	e.admit()
	e.sampleLoad()
	if len(e.running) == 0 {
		return 0, false
	}
	prefill := e.prefillStep()
	pause = e.config.StepTime
	pause += time.Duration(len(e.running)) * e.config.StepPerSequence
	pause += time.Duration(prefill) * e.config.PrefillPerToken
	spread := 1 + e.config.Jitter*(2*e.random.Float64()-1)
	pause = time.Duration(float64(pause) * spread * e.faults.slowdown())
	e.work.Steps++
	return pause, true
}

func (e *Engine) dropCancelled() {
	gone := func(s *sequence) bool {
		if s.ctx.Err() == nil {
			return false
		}
		s.record.Ended = true
		close(s.out)
		return true
	}
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.running = slices.DeleteFunc(e.running, gone)
}

// admit moves waiting sequences into the batch by priority, then by arrival.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.arrival - b.arrival)
	})
	for len(e.waiting) > 0 && len(e.running) < e.config.Batch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := min(e.cache.match(s.prompt), len(s.prompt)-1)
		e.work.CachedTokens += int64(cached)
		s.prefillLeft = len(s.prompt) - cached
		s.record.Admitted = time.Now()
		s.record.CachedTokens = cached
		e.running = append(e.running, s)
	}
}

// prefillStep computes prompt tokens up to the chunk size and returns how many.
func (e *Engine) prefillStep() int {
	left := e.config.PrefillChunk
	for _, s := range e.running {
		part := min(s.prefillLeft, left)
		s.prefillLeft -= part
		s.record.PrefillTokens += part
		left -= part
		if part > 0 && s.prefillLeft == 0 {
			e.insertPrefix(s)
		}
	}
	done := e.config.PrefillChunk - left
	e.work.PrefillTokens += int64(done)
	return done
}

// endStep gives every sequence past its prefill its next token.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.prefillLeft > 0 || s.ctx.Err() != nil {
			return false
		}
		return e.decode(s)
	})
}

func (e *Engine) decode(s *sequence) (ended bool) {
	token := s.oracle.Next()
	s.oracle.Append(token)
	s.generated = append(s.generated, token)
	e.work.DecodedTokens++
	s.record.DecodedTokens++
	if s.record.FirstToken.IsZero() {
		s.record.FirstToken = time.Now()
	}
	s.out <- []request.TokenID{token}
	if len(s.generated) < s.max {
		return false
	}
	e.insertPrefix(s)
	s.record.Ended = true
	close(s.out)
	return true
}

func (e *Engine) sampleLoad() {
	now := time.Now()
	e.lagged = append(e.lagged, loadSample{now, len(e.running), len(e.waiting)})
	for len(e.lagged) > 1 && now.Sub(e.lagged[1].at) >= e.config.LoadLag {
		e.lagged = e.lagged[1:]
	}
}

// load returns the lagging load report.
func (e *Engine) load() loadSample {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sampleLoad()
	return e.lagged[0]
}

func (e *Engine) loaded(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.models, model)
}

// next waits for the next tokens; ok is false after the last ones and when the
// request was cancelled.
func (s *sequence) next() (tokens []request.TokenID, ok bool) {
	select {
	case tokens, ok = <-s.out:
		return tokens, ok
	case <-s.ctx.Done():
		return nil, false
	}
}
