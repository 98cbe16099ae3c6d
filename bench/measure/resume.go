package measure

import (
	"time"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/load"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// Resume is the resume latency: from the instant the engine failed until the
// next token reached the caller.
type Resume struct {
	// Interrupted counts the generations that a fault struck after their caller had
	// a token; BeforeFirst those that it struck before.
	Interrupted int `json:"interrupted"`
	BeforeFirst int `json:"beforeFirst"`
	// NotResumed counts interrupted generations that never went on.
	NotResumed int         `json:"notResumed"`
	Latency    Percentiles `json:"latency"`
	// LessPrefill is the latency without the new engine's prefill.
	LessPrefill Percentiles `json:"lessPrefill"`
	// Reach, Queue, Prefill and Relay are the parts of the latency: until the new
	// engine had the request, until it entered the batch, until its first token,
	// and until that reached the caller.
	Reach   Percentiles `json:"reach"`
	Queue   Percentiles `json:"queue"`
	Prefill Percentiles `json:"prefill"`
	Relay   Percentiles `json:"relay"`
	// Samples holds every latency, for plots.
	Samples []float64 `json:"samples,omitempty"`
}

// recordKey names what one target did for one request.
type recordKey struct{ request, target string }

// parts holds the parts of the resume latency.
type parts struct{ reach, queue, prefill, relay histogram }

func newParts() parts {
	return parts{reach: newHistogram(), queue: newHistogram(), prefill: newHistogram(), relay: newHistogram()}
}

type resumes struct {
	run         *load.Run
	records     map[recordKey][]engine.GenerationRecord
	latency     histogram
	lessPrefill histogram
	parts       parts
	resume      Resume
	// lost counts the tokens that must be prefilled again.
	lost int
}

// measureResumes measures how every interrupted generation went on.
func measureResumes(run *load.Run) *resumes {
	m := &resumes{
		run:         run,
		records:     recordsByKey(run),
		latency:     newHistogram(),
		lessPrefill: newHistogram(),
		parts:       newParts(),
	}
	replies := run.ResultsByRequestID()
	for _, strike := range run.FaultEvents {
		struck := map[*load.Result]bool{}
		for _, lost := range strike.Interrupted {
			if reply, ok := replies[lost.Record.RequestID]; ok {
				struck[reply] = true
				m.struck(strike, lost, reply)
			}
		}
		m.entryDied(strike, struck)
	}
	m.resume.Latency = m.latency.percentiles()
	m.resume.LessPrefill = m.lessPrefill.percentiles()
	m.resume.Reach = m.parts.reach.percentiles()
	m.resume.Queue = m.parts.queue.percentiles()
	m.resume.Prefill = m.parts.prefill.percentiles()
	m.resume.Relay = m.parts.relay.percentiles()
	return m
}

func recordsByKey(run *load.Run) map[recordKey][]engine.GenerationRecord {
	records := map[recordKey][]engine.GenerationRecord{}
	for _, account := range run.Engines {
		for _, record := range account.Records {
			key := recordKey{record.RequestID, account.Target}
			records[key] = append(records[key], record)
		}
	}
	return records
}

// struck measures one generation that was on a failed engine.
func (m *resumes) struck(strike load.FaultEvent, struck load.InterruptedGeneration, reply *load.Result) {
	before := lastBefore(reply.Response.Arrivals, strike.At)
	if before >= 0 && string(reply.Response.Arrivals[before].Target) != struck.Target {
		// The generation had moved away earlier; its old attempt was being cancelled.
		return
	}
	m.lost += lostPrefill(struck.Record)
	if before < 0 {
		m.resume.BeforeFirst++
		return
	}
	m.resume.Interrupted++
	emitted := struck.Record.PromptTokens + struck.Record.DecodedTokens - len(reply.Request.Prompt)
	next, ok := nextAfter(reply.Response.Arrivals, strike.At, struck.Target, emitted+1)
	if !ok {
		m.resume.NotResumed++
		return
	}
	m.add(strike, reply, next)
}

// entryDied measures the answers whose connection broke with an entry, but for
// those whose engine the same fault struck.
func (m *resumes) entryDied(strike load.FaultEvent, struck map[*load.Result]bool) {
	for _, reply := range m.run.Results {
		for _, broken := range reply.Disconnects {
			if struck[reply] || !died(strike, broken) {
				continue
			}
			if lastBefore(reply.Response.Arrivals, broken.At) < 0 {
				m.resume.BeforeFirst++
				continue
			}
			m.resume.Interrupted++
			next := lastBefore(reply.Response.Arrivals, broken.At) + 1
			if next == len(reply.Response.Arrivals) {
				m.resume.NotResumed++
				continue
			}
			m.add(strike, reply, reply.Response.Arrivals[next])
		}
	}
}

// entryNotice is how long after an entry's death its callers' connections break.
const entryNotice = time.Second

func died(strike load.FaultEvent, broken load.Disconnect) bool {
	after := broken.At.Sub(strike.At)
	for _, entry := range strike.Entries {
		if entry == broken.Entry && after >= 0 && after < entryNotice {
			return true
		}
	}
	return false
}

func (m *resumes) add(strike load.FaultEvent, reply *load.Result, next caller.Arrival) {
	latency := next.At.Sub(strike.At)
	m.latency.add(latency)
	m.resume.Samples = append(m.resume.Samples, millis(latency))
	record, ok := m.resumedBy(strike, reply, next)
	if !ok {
		m.lessPrefill.add(latency)
		return
	}
	m.lessPrefill.add(latency - record.Prefill())
	m.parts.reach.add(record.Arrived.Sub(strike.At))
	m.parts.queue.add(record.Admitted.Sub(record.Arrived))
	m.parts.prefill.add(record.Prefill())
	m.parts.relay.add(next.At.Sub(record.FirstToken))
}

// resumedBy returns the record of the attempt that went on with an answer. There
// is none when the old attempt itself went on.
func (m *resumes) resumedBy(strike load.FaultEvent, reply *load.Result, next caller.Arrival) (engine.GenerationRecord, bool) {
	for _, record := range m.records[recordKey{reply.ID(), string(next.Target)}] {
		if record.Arrived.After(strike.At) && !record.FirstToken.IsZero() && !record.FirstToken.After(next.At) {
			return record, true
		}
	}
	return engine.GenerationRecord{}, false
}

// lastBefore returns the index of the last arrival up to an instant, or -1.
func lastBefore(arrivals []caller.Arrival, at time.Time) int {
	last := -1
	for i, arrival := range arrivals {
		if arrival.At.After(at) {
			break
		}
		last = i
	}
	return last
}

// nextAfter returns the arrival with which an answer went on: the first from
// another target, or one past the position that the failed one had emitted.
func nextAfter(arrivals []caller.Arrival, at time.Time, failed string, emitted int) (caller.Arrival, bool) {
	position := 0
	for _, arrival := range arrivals {
		position += arrival.Tokens
		if arrival.At.After(at) && (string(arrival.Target) != failed || position > emitted) {
			return arrival, true
		}
	}
	return caller.Arrival{}, false
}
