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

// Work counts what an engine has computed since it started.
type Work struct {
	// PrefillTokens counts prompt tokens that were not in the prefix cache.
	PrefillTokens int64 `json:"prefillTokens"`
	// CachedTokens counts prompt tokens that were in the prefix cache.
	CachedTokens int64 `json:"cachedTokens"`
	// DecodedTokens counts generated tokens.
	DecodedTokens int64 `json:"decodedTokens"`
	// Steps counts batch steps.
	Steps int64 `json:"steps"`
}

// sequence is one generation in the queue or the batch.
type sequence struct {
	id        string
	ctx       context.Context
	model     string
	prompt    []request.TokenID
	generated []request.TokenID
	maxTokens int
	priority  int
	arrival   int64
	// prefillRemaining is the number of prompt tokens still to be computed, or -1
	// before admission.
	prefillRemaining int
	oracle           *oracle.Sequence
	output           chan []request.TokenID
	record           *GenerationRecord
}

// Engine is one stand-in engine. Run executes its steps; Serve exposes it over HTTP.
type Engine struct {
	config Config
	random *rand.Rand

	mu            sync.Mutex
	waiting       []*sequence
	running       []*sequence
	cache         *prefixCache
	models        []string
	work          Work
	arrivals      int64
	loadSamples   []loadSample
	faults        faultState
	cacheEventLog cacheEventLog
	wake          chan struct{}
	records       []*GenerationRecord
	// killed is set once the engine has been killed.
	killed bool
	// orders is the state set by orders, other than the loaded models.
	orders orderState
}

type loadSample struct {
	sampledAt        time.Time
	running, waiting int
}

// New returns an engine that computes nothing until Run is called.
func New(config Config) *Engine {
	return &Engine{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		cache:  newPrefixCache(config.CacheBlocks),
		models: slices.Clone(config.Models),
		wake:   make(chan struct{}, 1),
	}
}

// Work returns the work done so far.
func (e *Engine) Work() Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.work
}

// submit queues a generation. Its tokens are sent on s.output, which is closed after
// the last one or when s.ctx ends.
func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	e.arrivals++
	s.arrival = e.arrivals
	s.record = &GenerationRecord{RequestID: s.id, Arrived: time.Now(), PromptTokens: len(s.prompt)}
	s.prefillRemaining = -1
	s.oracle = oracle.NewSequence(e.config.Salt, s.model)
	s.oracle.Append(s.prompt...)
	s.output = make(chan []request.TokenID, s.maxTokens+1)
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
		stepDuration, busy := e.beginStep()
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
		case <-time.After(stepDuration):
		}
		if !e.waitWhilePaused(ctx) {
			return
		}
		e.endStep()
	}
}

// beginStep forms the batch and returns the duration of its step. busy is false when
// there is nothing to compute.
func (e *Engine) beginStep() (stepDuration time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
		return 0, false
	}
	e.dropCancelled()
	e.admit()
	e.sampleLoad()
	if len(e.running) == 0 {
		return 0, false
	}
	prefillTokens := e.prefillStep()
	stepDuration = e.config.StepTime
	stepDuration += time.Duration(len(e.running)) * e.config.StepPerSequence
	stepDuration += time.Duration(prefillTokens) * e.config.PrefillPerToken
	jitterFactor := 1 + e.config.Jitter*(2*e.random.Float64()-1)
	stepDuration = time.Duration(float64(stepDuration) * jitterFactor * e.faults.slowdown())
	e.work.Steps++
	return stepDuration, true
}

func (e *Engine) dropCancelled() {
	cancelled := func(s *sequence) bool {
		if s.ctx.Err() == nil {
			return false
		}
		s.record.Ended = true
		close(s.output)
		return true
	}
	e.waiting = slices.DeleteFunc(e.waiting, cancelled)
	e.running = slices.DeleteFunc(e.running, cancelled)
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
		s.prefillRemaining = len(s.prompt) - cached
		s.record.Admitted = time.Now()
		s.record.CachedTokens = cached
		e.running = append(e.running, s)
	}
}

// prefillStep computes up to PrefillChunk prompt tokens and returns how many.
func (e *Engine) prefillStep() int {
	remaining := e.config.PrefillChunk
	for _, s := range e.running {
		computed := min(s.prefillRemaining, remaining)
		s.prefillRemaining -= computed
		s.record.PrefillTokens += computed
		remaining -= computed
		if computed > 0 && s.prefillRemaining == 0 {
			e.insertPrefix(s)
		}
	}
	total := e.config.PrefillChunk - remaining
	e.work.PrefillTokens += int64(total)
	return total
}

// endStep generates the next token of every sequence whose prefill is complete.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.prefillRemaining > 0 || s.ctx.Err() != nil {
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
	s.output <- []request.TokenID{token}
	if len(s.generated) < s.maxTokens {
		return false
	}
	e.insertPrefix(s)
	s.record.Ended = true
	close(s.output)
	return true
}

func (e *Engine) sampleLoad() {
	now := time.Now()
	e.loadSamples = append(e.loadSamples, loadSample{now, len(e.running), len(e.waiting)})
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].sampledAt) >= e.config.LoadLag {
		e.loadSamples = e.loadSamples[1:]
	}
}

// laggedLoad returns the load as it was LoadLag ago.
func (e *Engine) laggedLoad() loadSample {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sampleLoad()
	return e.loadSamples[0]
}

func (e *Engine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.models, model)
}

// next waits for the next tokens. ok is false after the last ones and when the request
// was cancelled.
func (s *sequence) next() (tokens []request.TokenID, ok bool) {
	select {
	case tokens, ok = <-s.output:
		return tokens, ok
	case <-s.ctx.Done():
		return nil, false
	}
}
