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

// Submission is one submission of a key, as its caller saw it.
type Submission struct {
	Key string
	// Caller numbers the caller that made it.
	Caller      int
	Called      time.Time
	Returned    time.Time
	Told        CallResponse
	Silent      bool
	FirstMarked bool
}

// History is what callers and the application saw, of any number of keys.
type History struct {
	Submissions []Submission
	Runs        []application.Execution
}

// operation is an input of the model of one key.
type operation struct {
	key string
	// run is an execution by the application; else it is a submission.
	run    bool
	wasRun request.WasRun
	digest string
}

// keyState is the state of the model of one key.
type keyState struct {
	ran    bool
	digest string
}

// step is the model of calls: a key runs at most once; who is told that it ran is
// told after it ran and always the same; who is told that it was not run is told
// so at an instant at which it had not.
func step(state, input, _ any) (bool, any) {
	s, op := state.(keyState), input.(operation)
	switch {
	case op.run:
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
			if op.run {
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
		if s.Silent {
			continue
		}
		digest := s.Told.Outcome.Digest
		list = append(list, porcupine.Operation{
			ClientId: s.Caller, Call: s.Called.UnixNano(), Return: s.Returned.UnixNano(),
			Input: operation{key: s.Key, wasRun: s.Told.Outcome.WasRun, digest: digest},
		})
	}
	for _, run := range h.Runs {
		list = append(list, porcupine.Operation{
			Call: run.At.UnixNano(), Return: run.At.UnixNano() + 1, Input: operation{key: run.Key, run: true},
		})
	}
	return list
}

// unexplained returns the keys that ran when no submission could have run them:
// all that had been made before were told "not run".
func (h History) unexplained() []string {
	var keys []string
	for _, run := range h.Runs {
		explained := false
		for _, s := range h.Submissions {
			if s.Key == run.Key && s.Called.Before(run.At) && (s.Silent || s.Told.Outcome.WasRun != request.RunNo) {
				explained = true
			}
		}
		if !explained {
			keys = append(keys, run.Key)
		}
	}
	return keys
}

// checkTimeout bounds the search for an order of one history.
const checkTimeout = time.Minute

// Check checks the history. A violation is an error, and its history is written
// into directory as a page for a browser.
func (h History) Check(directory string) error {
	if keys := h.unexplained(); len(keys) > 0 {
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
