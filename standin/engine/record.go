package engine

import "time"

// GenerationRecord is what an engine did for one generation, for the accounts of load
// tools. Instants that were not reached are zero.
type GenerationRecord struct {
	RequestID string `json:"requestId"`
	// Arrived, Admitted and FirstToken are the instants at which the request came,
	// entered the batch, and got its first token.
	Arrived    time.Time `json:"arrived"`
	Admitted   time.Time `json:"admitted"`
	FirstToken time.Time `json:"firstToken"`
	// PromptTokens counts the tokens of the prompt, of which PrefillTokens were
	// computed and CachedTokens were in the prefix cache.
	PromptTokens  int `json:"promptTokens"`
	PrefillTokens int `json:"prefillTokens"`
	CachedTokens  int `json:"cachedTokens"`
	DecodedTokens int `json:"decodedTokens"`
	// Ended says that the generation finished or was cancelled.
	Ended bool `json:"ended"`
}

// Prefill returns the time from the admission to the first token, or zero.
func (r GenerationRecord) Prefill() time.Duration {
	if r.FirstToken.IsZero() {
		return 0
	}
	return r.FirstToken.Sub(r.Admitted)
}

// Records returns a copy of all records, when the configuration keeps them.
func (e *Engine) Records() []GenerationRecord {
	return e.copyRecords(func(*GenerationRecord) bool { return true })
}

// ActiveRecords returns the records of the generations that wait or run now.
func (e *Engine) ActiveRecords() []GenerationRecord {
	return e.copyRecords(func(r *GenerationRecord) bool { return !r.Ended })
}

func (e *Engine) copyRecords(want func(*GenerationRecord) bool) []GenerationRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []GenerationRecord
	for _, record := range e.records {
		if want(record) {
			list = append(list, *record)
		}
	}
	return list
}

// stop ends all computing at this instant. Later steps change nothing.
func (e *Engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
}

// QueueDepth returns how many generations wait or run now; none on a killed engine.
func (e *Engine) QueueDepth() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return 0
	}
	return len(e.waiting) + len(e.running)
}
