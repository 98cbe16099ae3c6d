package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// workPollInterval is the interval at which engines are polled for their work. Work that
// an engine does between the last poll and being killed is not counted.
const workPollInterval = 50 * time.Millisecond

// workTimeout bounds one poll, so that a paused engine does not delay the others.
const workTimeout = 40 * time.Millisecond

// workMeter keeps the latest work report of every engine, including killed ones.
type workMeter struct {
	client  *http.Client
	engines []string

	mu   sync.Mutex
	work map[string]engine.Work
}

func newWorkMeter(client *http.Client, engines []string) *workMeter {
	return &workMeter{client: client, engines: engines, work: map[string]engine.Work{}}
}

func (m *workMeter) run(ctx context.Context) {
	ticker := time.NewTicker(workPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.poll(ctx)
		}
	}
}

func (m *workMeter) poll(ctx context.Context) {
	var polls sync.WaitGroup
	for _, base := range m.engines {
		polls.Go(func() { m.pollEngine(ctx, base) })
	}
	polls.Wait()
}

func (m *workMeter) pollEngine(ctx context.Context, base string) {
	ctx, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/standin/work", nil)
	if err != nil {
		return
	}
	response, err := m.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var work engine.Work
	if json.NewDecoder(response.Body).Decode(&work) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.work[base] = work
}

// total returns the work of all engines.
func (m *workMeter) total() engine.Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	var total engine.Work
	for _, work := range m.work {
		total.PrefillTokens += work.PrefillTokens
		total.DecodedTokens += work.DecodedTokens
	}
	return total
}
