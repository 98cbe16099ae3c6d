package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/version"
)

// operationResult is the result of an operation as its operator saw it.
type operationResult int

const (
	accepted operationResult = iota
	conflicted
	unknown
	read
)

// input is a change, given by its own note and the note of its base, or a read.
type input struct{ baseNote, note string }

type output struct {
	result   operationResult
	seenNote string
}

// configurationModel is the sequential model. Its state is the note of the current
// revision. A change without a response may or may not have been accepted.
func configurationModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, in, out any) []any {
			current, change, observed := state.(string), in.(input), out.(output)
			switch observed.result {
			case read:
				return stateIf(current == observed.seenNote, current)
			case accepted:
				return stateIf(current == change.baseNote, change.note)
			case conflicted:
				return stateIf(current != change.baseNote, current)
			default:
				if current == change.baseNote {
					return []any{current, change.note}
				}
				return []any{current}
			}
		},
	}
	return model.ToModel()
}

func stateIf(ok bool, state string) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

// recorder records the operations of all operators.
type recorder struct {
	startedAt  time.Time
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (r *recorder) record(operator int, in input, call int64, out output) {
	returned := time.Since(r.startedAt).Nanoseconds()
	if out.result == unknown {
		returned = int64(time.Hour)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{ClientId: operator, Input: in, Call: call, Output: out, Return: returned})
}

// runOperator plans and applies changes as one operator.
func (r *recorder) runOperator(ctx context.Context, operator int, client *Client, random *rand.Rand) {
	for change := range 12 {
		call := time.Since(r.startedAt).Nanoseconds()
		base, err := client.Current(ctx)
		if err != nil {
			continue
		}
		r.record(operator, input{}, call, output{result: read, seenNote: base.Note})
		time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
		in := input{baseNote: base.Note, note: fmt.Sprintf("%d/%d", operator, change)}
		call = time.Since(r.startedAt).Nanoseconds()
		_, err = client.Apply(ctx, Change{Author: "operator", Note: in.note, Base: base, Document: version.Document{}})
		var conflict *ConflictError
		var notSent *NotSentError
		switch {
		case err == nil:
			r.record(operator, in, call, output{result: accepted})
		case errors.As(err, &conflict):
			r.record(operator, in, call, output{result: conflicted})
		case errors.As(err, &notSent):
		default:
			r.record(operator, in, call, output{result: unknown})
		}
	}
}

// TestConcurrentOperators_AcceptedChangesAreLinearizable runs operators against a
// store with outages and lost writes and responses, and checks that their operations
// are linearizable and that the history has every accepted change.
func TestConcurrentOperators_AcceptedChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		state := kv.New()
		server := httptest.NewServer(state.EtcdHandler())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		r := &recorder{startedAt: time.Now()}
		var operators, outages sync.WaitGroup
		stop := make(chan struct{})
		outages.Go(func() { injectFaults(state, seed, stop) })
		for operator := range 4 {
			operators.Go(func() {
				client := NewClient(etcd.NewStore([]string{server.URL}, server.Client()))
				client.retryInterval = 2 * time.Millisecond
				r.runOperator(ctx, operator, client, rand.New(rand.NewPCG(seed, uint64(operator))))
			})
		}
		operators.Wait()
		close(stop)
		outages.Wait()
		state.SetFaults(kv.Faults{})
		result := porcupine.CheckOperationsTimeout(configurationModel(), r.operations, 30*time.Second)
		assert.Equal(t, result, porcupine.Ok, "seed %d", seed)
		checkHistory(ctx, t, NewClient(etcd.NewStore([]string{server.URL}, server.Client())), r.operations)
		cancel()
		server.Close()
	}
}

// injectFaults changes the faults of the store until stop is closed.
func injectFaults(state *kv.Store, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 99))
	for i := uint64(0); ; i++ {
		faults := kv.Faults{ResponseLossRate: 0.2, WriteLossRate: 0.1, Seed: seed<<8 + i, Outage: random.IntN(5) == 0}
		state.SetFaults(faults)
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+random.IntN(10)) * time.Millisecond):
		}
	}
}

// checkHistory checks that the kept revisions form a gapless chain, each based on the
// previous one, and that the chain has every accepted change.
func checkHistory(ctx context.Context, t *testing.T, client *Client, operations []porcupine.Operation) {
	t.Helper()
	history, err := client.History(ctx)
	assert.NilError(t, err)
	kept := map[string]bool{}
	for i, revision := range history {
		kept[revision.Note] = true
		if i+1 < len(history) {
			assert.Equal(t, revision.Base, history[i+1].Revision)
			assert.Equal(t, revision.Sequence, history[i+1].Sequence+1)
			assert.Assert(t, revision.Revision > history[i+1].Revision)
		}
	}
	for _, operation := range operations {
		if operation.Output.(output).result == accepted {
			assert.Assert(t, kept[operation.Input.(input).note], "accepted change %v is missing from the history", operation.Input)
		}
	}
}
