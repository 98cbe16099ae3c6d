package measure

import (
	"time"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/load"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// Resume holds the resume latency: the time from the failure of the engine or entry
// until the next token reached the caller.
type Resume struct {
	// Interrupted counts the generations that a fault interrupted after their caller
	// had received a token; BeforeFirst counts those interrupted earlier.
	Interrupted int `json:"interrupted"`
	BeforeFirst int `json:"beforeFirst"`
	// NotResumed counts interrupted generations that were never resumed.
	NotResumed int         `json:"notResumed"`
	Latency    Percentiles `json:"latency"`
	// LessPrefill is the latency minus the prefill time of the new engine.
	LessPrefill Percentiles `json:"lessPrefill"`
	// Reach, Queue, Prefill and Relay are the consecutive parts of the latency: until
	// the new engine had the request, until the request entered the batch, until its
	// first token, and until that token reached the caller.
	Reach   Percentiles `json:"reach"`
	Queue   Percentiles `json:"queue"`
	Prefill Percentiles `json:"prefill"`
	Relay   Percentiles `json:"relay"`
	// Samples holds every single latency, for plots.
	Samples []float64 `json:"samples,omitempty"`
}

// recordKey identifies the generations of one request on one target.
type recordKey struct{ request, target string }

// latencyParts holds the distributions of the parts of the resume latency.
type latencyParts struct{ reach, queue, prefill, relay histogram }

func newLatencyParts() latencyParts {
	return latencyParts{reach: newHistogram(), queue: newHistogram(), prefill: newHistogram(), relay: newHistogram()}
}

type resumeRecorder struct {
	run         *load.Run
	records     map[recordKey][]engine.GenerationRecord
	latency     histogram
	lessPrefill histogram
	parts       latencyParts
	resume      Resume
	// lostTokens is the number of tokens that must be prefilled again.
	lostTokens int
}

// measureResumes measures the resume latency of every interrupted generation.
func measureResumes(run *load.Run) *resumeRecorder {
	m := &resumeRecorder{
		run:         run,
		records:     recordsByKey(run),
		latency:     newHistogram(),
		lessPrefill: newHistogram(),
		parts:       newLatencyParts(),
	}
	results := run.ResultsByRequestID()
	for _, event := range run.FaultEvents {
		recorded := map[*load.Result]bool{}
		for _, interrupted := range event.Interrupted {
			if result, ok := results[interrupted.Record.RequestID]; ok {
				recorded[result] = true
				m.recordInterrupted(event, interrupted, result)
			}
		}
		m.recordDisconnects(event, recorded)
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
	for _, engineRecords := range run.Engines {
		for _, record := range engineRecords.Records {
			key := recordKey{record.RequestID, engineRecords.Target}
			records[key] = append(records[key], record)
		}
	}
	return records
}

// recordInterrupted measures one generation that was active on a failed engine.
func (m *resumeRecorder) recordInterrupted(event load.FaultEvent, interrupted load.InterruptedGeneration, result *load.Result) {
	before := lastArrivalBefore(result.Response.Arrivals, event.At)
	if before >= 0 && string(result.Response.Arrivals[before].Target) != interrupted.Target {
		// The generation had moved away earlier; its old attempt was being cancelled.
		return
	}
	m.lostTokens += lostPrefill(interrupted.Record)
	if before < 0 {
		m.resume.BeforeFirst++
		return
	}
	m.resume.Interrupted++
	// The prompt of the attempt consists of the request's prompt, with one token per byte,
	// and the output of earlier attempts.
	emitted := interrupted.Record.PromptTokens + interrupted.Record.DecodedTokens - len(result.Request.Prompt)
	next, ok := firstResumedArrival(result.Response.Arrivals, event.At, interrupted.Target, emitted+1)
	if !ok {
		m.resume.NotResumed++
		return
	}
	m.add(event, result, next)
}

// recordDisconnects measures the responses whose connection broke when an entry died,
// except those already recorded because the same fault affected their engine.
func (m *resumeRecorder) recordDisconnects(event load.FaultEvent, recorded map[*load.Result]bool) {
	for _, result := range m.run.Results {
		for _, disconnect := range result.Disconnects {
			if recorded[result] || !causedDisconnect(event, disconnect) {
				continue
			}
			if lastArrivalBefore(result.Response.Arrivals, disconnect.At) < 0 {
				m.resume.BeforeFirst++
				continue
			}
			m.resume.Interrupted++
			next := lastArrivalBefore(result.Response.Arrivals, disconnect.At) + 1
			if next == len(result.Response.Arrivals) {
				m.resume.NotResumed++
				continue
			}
			m.add(event, result, result.Response.Arrivals[next])
		}
	}
}

// entryDisconnectWindow is the time after the death of an entry within which a broken
// connection to it is attributed to that death.
const entryDisconnectWindow = time.Second

func causedDisconnect(event load.FaultEvent, disconnect load.Disconnect) bool {
	after := disconnect.At.Sub(event.At)
	for _, entry := range event.Entries {
		if entry == disconnect.Entry && after >= 0 && after < entryDisconnectWindow {
			return true
		}
	}
	return false
}

func (m *resumeRecorder) add(event load.FaultEvent, result *load.Result, next caller.Arrival) {
	latency := next.At.Sub(event.At)
	m.latency.add(latency)
	m.resume.Samples = append(m.resume.Samples, millis(latency))
	record, ok := m.resumingAttempt(event, result, next)
	if !ok {
		m.lessPrefill.add(latency)
		return
	}
	m.lessPrefill.add(latency - record.Prefill())
	m.parts.reach.add(record.Arrived.Sub(event.At))
	m.parts.queue.add(record.Admitted.Sub(record.Arrived))
	m.parts.prefill.add(record.Prefill())
	m.parts.relay.add(next.At.Sub(record.FirstToken))
}

// resumingAttempt returns the record of the attempt that resumed the output. There is
// none when the old attempt itself continued.
func (m *resumeRecorder) resumingAttempt(event load.FaultEvent, result *load.Result, next caller.Arrival) (engine.GenerationRecord, bool) {
	for _, record := range m.records[recordKey{result.ID(), string(next.Target)}] {
		if record.Arrived.After(event.At) && !record.FirstToken.IsZero() && !record.FirstToken.After(next.At) {
			return record, true
		}
	}
	return engine.GenerationRecord{}, false
}

// lastArrivalBefore returns the index of the last arrival not after at, or -1.
func lastArrivalBefore(arrivals []caller.Arrival, at time.Time) int {
	last := -1
	for i, arrival := range arrivals {
		if arrival.At.After(at) {
			break
		}
		last = i
	}
	return last
}

// firstResumedArrival returns the first arrival after at that comes from another
// target than the failed one, or ends past lastPosition, the last output position that
// tokens from before the failure can have.
func firstResumedArrival(arrivals []caller.Arrival, at time.Time, failed string, lastPosition int) (caller.Arrival, bool) {
	position := 0
	for _, arrival := range arrivals {
		position += arrival.Tokens
		if arrival.At.After(at) && (string(arrival.Target) != failed || position > lastPosition) {
			return arrival, true
		}
	}
	return caller.Arrival{}, false
}
