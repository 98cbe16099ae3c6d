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

// Merge returns the events of several processes in causal order: an event that
// was caused by a message stands after the sending of that message.
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

// WriteText writes events as aligned lines for people.
func WriteText(w io.Writer, events []Event) error {
	for _, event := range events {
		at := event.Timestamp.Time().UTC().Format("15:04:05.000")
		if _, err := fmt.Fprintf(w, "%s %-20s %-18s %s\n", at, event.Process, event.Kind, fields(event)); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

func fields(event Event) string {
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

// traceEvent is one event of the trace-event format that trace viewers read.
type traceEvent struct {
	Name      string  `json:"name"`
	Phase     string  `json:"ph"`
	Timestamp int64   `json:"ts"`
	Duration  int64   `json:"dur,omitempty"`
	Process   int     `json:"pid"`
	Thread    int     `json:"tid"`
	Scope     string  `json:"s,omitempty"`
	Args      anyArgs `json:"args"`
}

type anyArgs struct {
	Name  string `json:"name,omitempty"`
	Event *Event `json:"event,omitempty"`
}

type traceFile struct {
	TraceEvents []traceEvent `json:"traceEvents"`
}

// WriteTrace writes events in the trace-event format. Processes are rows, and
// attempts are spans from their start to their end.
func WriteTrace(w io.Writer, events []Event) error {
	file := traceFile{TraceEvents: []traceEvent{}}
	rows := map[string]int{}
	for i := range events {
		event := &events[i]
		row, known := rows[event.Process]
		if !known {
			row = len(rows) + 1
			rows[event.Process] = row
			file.TraceEvents = append(file.TraceEvents, traceEvent{Name: "process_name", Phase: "M", Process: row, Args: anyArgs{Name: event.Process}})
		}
		file.TraceEvents = append(file.TraceEvents, traceEvent{
			Name: string(event.Kind), Phase: "i", Scope: "t", Process: row, Thread: 1,
			Timestamp: micros(event.Timestamp), Args: anyArgs{Event: event},
		})
	}
	file.TraceEvents = append(file.TraceEvents, spans(events, rows)...)
	return errors.Wrap(json.NewEncoder(w).Encode(file), "write")
}

func micros(stamp Timestamp) int64 {
	counter := int64(stamp & (1<<counterBits - 1))
	return stamp.Time().UnixMicro() + counter%int64(time.Millisecond/time.Microsecond)
}

type attemptKey struct {
	process string
	request string
	attempt uint32
}

// spans pairs the start of each attempt with its end in the same process.
func spans(events []Event, rows map[string]int) []traceEvent {
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
				Timestamp: micros(begin.Timestamp), Duration: micros(event.Timestamp) - micros(begin.Timestamp),
				Process: rows[event.Process], Thread: 2, Args: anyArgs{Event: &event},
			})
		}
	}
	return list
}
