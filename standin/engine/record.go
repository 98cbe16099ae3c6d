package engine

import "time"

// GenerationRecord records the work that an engine did for one generation, for the reports
// of load tools. Times of events that have not occurred are zero.
type GenerationRecord struct {
	RequestID string `json:"requestId"`
	// Arrived, Admitted and FirstToken are the times at which the request arrived,
	// entered the batch, and got its first token.
	Arrived    time.Time `json:"arrived"`
	Admitted   time.Time `json:"admitted"`
	FirstToken time.Time `json:"firstToken"`
	// PromptTokens is the number of tokens in the prompt, of which PrefillTokens were
	// computed and CachedTokens were in the prefix cache.
	PromptTokens  int `json:"promptTokens"`
	PrefillTokens int `json:"prefillTokens"`
	CachedTokens  int `json:"cachedTokens"`
	DecodedTokens int `json:"decodedTokens"`
	// Ended is set when the generation has finished or was cancelled.
	Ended bool `json:"ended"`
}

// Prefill returns the time from admission to the first token, or zero before the first
// token.
func (r GenerationRecord) Prefill() time.Duration {
	if r.FirstToken.IsZero() {
		return 0
	}
	return r.FirstToken.Sub(r.Admitted)
}

// Records returns a copy of all records. It is empty unless Config.KeepRecords is set.
func (e *Engine) Records() []GenerationRecord {
	return e.filterRecords(func(*GenerationRecord) bool { return true })
}

// ActiveRecords returns the records of the generations that are waiting or running.
func (e *Engine) ActiveRecords() []GenerationRecord {
	return e.filterRecords(func(r *GenerationRecord) bool { return !r.Ended })
}

func (e *Engine) filterRecords(include func(*GenerationRecord) bool) []GenerationRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	var records []GenerationRecord
	for _, record := range e.records {
		if include(record) {
			records = append(records, *record)
		}
	}
	return records
}

// stop ends all computation at once: a step that ends later changes nothing.
func (e *Engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.killed = true
}

// ActiveGenerations returns how many generations are waiting or running. It is zero for a
// killed engine.
func (e *Engine) ActiveGenerations() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
		return 0
	}
	return len(e.waiting) + len(e.running)
}
