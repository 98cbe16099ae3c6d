package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// workPoll is the period at which engines are asked for their work. What an
// engine did after the last poll before its death is not counted.
const workPoll = 50 * time.Millisecond

// workTimeout bounds one question, so that a paused engine holds up nobody.
const workTimeout = 40 * time.Millisecond

// workMeter keeps the latest work report of every engine, the dead ones included.
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
	ticker := time.NewTicker(workPoll)
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
	var asked sync.WaitGroup
	for _, base := range m.engines {
		asked.Go(func() { m.ask(ctx, base) })
	}
	asked.Wait()
}

func (m *workMeter) ask(ctx context.Context, base string) {
	ctx, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/standin/work", nil)
	if err != nil {
		return
	}
	response, err := m.client.Do(ask)
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
