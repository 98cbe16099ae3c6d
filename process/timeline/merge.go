package timeline

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Merge returns the events of several processes in causal order: an event that was caused
// by a message comes after the sending of that message.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		if order := cmp.Compare(a.Timestamp, b.Timestamp); order != 0 {
			return order
		}
		return cmp.Compare(a.Process, b.Process)
	})
	return merged
}

// WriteText writes events as human-readable, aligned lines.
func WriteText(w io.Writer, events []Event) error {
	for _, event := range events {
		at := event.Timestamp.Time().UTC().Format("15:04:05.000")
		if _, err := fmt.Fprintf(w, "%s %-20s %-18s %s\n", at, event.Process, event.Kind, formatFields(event)); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

func formatFields(event Event) string {
	var parts []string
	add := func(name string, value any, set bool) {
		if set {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	add("request", event.Request, event.Request != "")
	add("attempt", event.Attempt, event.Attempt != 0)
	add("target", event.Target, event.Target != "")
	add("revision", event.Revision, event.Revision != 0)
	add("position", event.Position, event.Position != 0)
	add("error", event.Error, event.Error != "")
	add("detail", fmt.Sprintf("%q", event.Detail), event.Detail != "")
	return strings.Join(parts, " ")
}

// WriteJSON writes events as one JSON array.
func WriteJSON(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(events), "write")
}

// traceEvent is one event in the Trace Event Format, which trace viewers read.
type traceEvent struct {
	Name      string    `json:"name"`
	Phase     string    `json:"ph"`
	Timestamp int64     `json:"ts"`
	Duration  int64     `json:"dur,omitempty"`
	Process   int       `json:"pid"`
	Thread    int       `json:"tid"`
	Scope     string    `json:"s,omitempty"`
	Args      traceArgs `json:"args"`
}

type traceArgs struct {
	Name  string `json:"name,omitempty"`
	Event *Event `json:"event,omitempty"`
}

type traceFile struct {
	TraceEvents []traceEvent `json:"traceEvents"`
}

// WriteTrace writes events in the Trace Event Format. Each process is a row, and each
// attempt is a span from its start to its end.
func WriteTrace(w io.Writer, events []Event) error {
	file := traceFile{TraceEvents: []traceEvent{}}
	rows := map[string]int{}
	for i := range events {
		event := &events[i]
		row, known := rows[event.Process]
		if !known {
			row = len(rows) + 1
			rows[event.Process] = row
			file.TraceEvents = append(file.TraceEvents, traceEvent{Name: "process_name", Phase: "M", Process: row, Args: traceArgs{Name: event.Process}})
		}
		file.TraceEvents = append(file.TraceEvents, traceEvent{
			Name: string(event.Kind), Phase: "i", Scope: "t", Process: row, Thread: 1,
			Timestamp: unixMicros(event.Timestamp), Args: traceArgs{Event: event},
		})
	}
	file.TraceEvents = append(file.TraceEvents, attemptSpans(events, rows)...)
	return errors.Wrap(json.NewEncoder(w).Encode(file), "write")
}

func unixMicros(timestamp Timestamp) int64 {
	counter := int64(timestamp & (1<<counterBits - 1))
	return timestamp.Time().UnixMicro() + counter%int64(time.Millisecond/time.Microsecond)
}

type attemptKey struct {
	process string
	request string
	attempt uint32
}

// attemptSpans returns a span for each attempt that started and ended in the same process.
func attemptSpans(events []Event, rows map[string]int) []traceEvent {
	started := map[attemptKey]Event{}
	var list []traceEvent
	for _, event := range events {
		key := attemptKey{event.Process, string(event.Request), uint32(event.Attempt)}
		switch event.Kind {
		case AttemptStarted:
			started[key] = event
		case AttemptEnded, AttemptFailed:
			begin, ok := started[key]
			if !ok {
				continue
			}
			delete(started, key)
			list = append(list, traceEvent{
				Name: fmt.Sprintf("attempt %d on %s", event.Attempt, event.Target), Phase: "X",
				Timestamp: unixMicros(begin.Timestamp), Duration: unixMicros(event.Timestamp) - unixMicros(begin.Timestamp),
				Process: rows[event.Process], Thread: 2, Args: traceArgs{Event: &event},
			})
		}
	}
	return list
}
