package calls

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/application"
)

// Submission is one submission of a key, as observed by its caller.
type Submission struct {
	Key string
	// Caller is the number of the caller that sent it.
	Caller          int
	Called          time.Time
	Returned        time.Time
	Response        CallResponse
	Unanswered      bool
	FirstSubmission bool
}

// History holds the submissions that callers have sent and the executions that the
// application has recorded, of any number of keys.
type History struct {
	Submissions []Submission
	Executions  []application.Execution
}

// operation is an operation of the model of one key.
type operation struct {
	key string
	// execution marks an execution by the application. Otherwise it is a submission.
	execution bool
	wasRun    request.WasRun
	digest    string
}

// keyState is the state of the model of one key.
type keyState struct {
	ran    bool
	digest string
}

// step is the step function of the model. A key runs at most once. The outcome "run" is
// valid only after the key has run, and all submissions with it get the same digest. The
// outcome "not run" is valid only while the key has not run.
func step(state, input, _ any) (bool, any) {
	s, op := state.(keyState), input.(operation)
	switch {
	case op.execution:
		return !s.ran, keyState{ran: true}
	case op.wasRun == request.RunNo:
		return !s.ran, s
	case op.wasRun == request.RunYes && s.digest == "":
		return s.ran, keyState{ran: s.ran, digest: op.digest}
	case op.wasRun == request.RunYes:
		return s.digest == op.digest, s
	default:
		return true, s
	}
}

func model() porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init:      func() any { return keyState{} },
		Step:      step,
		DescribeOperation: func(input, _ any) string {
			op := input.(operation)
			if op.execution {
				return "the application runs " + op.key
			}
			return fmt.Sprintf("%s: was run: %s %.8s", op.key, op.wasRun, op.digest)
		},
		DescribeState: func(state any) string { return fmt.Sprintf("%+v", state) },
	}
}

func partition(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string]int{}
	var parts [][]porcupine.Operation
	for _, op := range history {
		key := op.Input.(operation).key
		at, ok := byKey[key]
		if !ok {
			at = len(parts)
			byKey[key] = at
			parts = append(parts, nil)
		}
		parts[at] = append(parts[at], op)
	}
	return parts
}

func (h History) operations() []porcupine.Operation {
	var list []porcupine.Operation
	for _, s := range h.Submissions {
		if s.Unanswered {
			continue
		}
		digest := s.Response.Outcome.Digest
		list = append(list, porcupine.Operation{
			ClientId: s.Caller, Call: s.Called.UnixNano(), Return: s.Returned.UnixNano(),
			Input: operation{key: s.Key, wasRun: s.Response.Outcome.WasRun, digest: digest},
		})
	}
	for _, execution := range h.Executions {
		list = append(list, porcupine.Operation{
			Call: execution.At.UnixNano(), Return: execution.At.UnixNano() + 1, Input: operation{key: execution.Key, execution: true},
		})
	}
	return list
}

// unexplainedKeys returns the keys that ran although every submission sent before the
// execution got the outcome "not run".
func (h History) unexplainedKeys() []string {
	var keys []string
	for _, execution := range h.Executions {
		explained := false
		for _, s := range h.Submissions {
			if s.Key == execution.Key && s.Called.Before(execution.At) && (s.Unanswered || s.Response.Outcome.WasRun != request.RunNo) {
				explained = true
			}
		}
		if !explained {
			keys = append(keys, execution.Key)
		}
	}
	return keys
}

// checkTimeout bounds the search for a linearization of a history.
const checkTimeout = time.Minute

// Check returns an error unless the history satisfies the model. A history for which no
// linearization is found is also written to directory as an HTML page.
func (h History) Check(directory string) error {
	if keys := h.unexplainedKeys(); len(keys) > 0 {
		return errors.Errorf("keys ran though every submission before was told that they were not: %v", keys)
	}
	result, info := porcupine.CheckOperationsVerbose(model(), h.operations(), checkTimeout)
	if result == porcupine.Ok {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "history")
	}
	path := filepath.Join(directory, "calls-history.html")
	if err := porcupine.VisualizePath(model(), info, path); err != nil {
		return errors.Wrap(err, "history")
	}
	return errors.Errorf("the history of calls is not linearizable (%s): see %s", result, path)
}
