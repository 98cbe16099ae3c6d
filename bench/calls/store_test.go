package calls_test

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/standin/kv"
)

// swapInput is one compare-and-swap of unique values; an empty next is a read.
type swapInput struct{ expected, next string }

// swapOutput is what came back; an unknown one may have taken effect.
type swapOutput struct {
	unknown, swapped bool
	current          string
}

// swapModel is a register with compare-and-swap that may lose answers.
func swapModel() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			held, in, out := state.(string), input.(swapInput), output.(swapOutput)
			switch {
			case in.next == "" && out.current == held:
				return []any{held}
			case in.next == "":
				return nil
			case out.unknown && held == in.expected:
				return []any{held, in.next}
			case out.unknown:
				return []any{held}
			case out.swapped && held == in.expected:
				return []any{in.next}
			case !out.swapped && held != in.expected && out.current == held:
				return []any{held}
			default:
				return nil
			}
		},
	}
	return nondeterministic.ToModel()
}

// TestStoreIsLinearizable checks the compare-and-swap that calls rest on, as the
// adapter sees it, while answers and writes are lost.
func TestStoreIsLinearizable(t *testing.T) {
	store := kv.New()
	server := httptest.NewServer(store.EtcdHandler())
	defer server.Close()
	store.SetFaults(kv.Faults{ResponseLossRate: 0.2, WriteLossRate: 0.1, Seed: 5})
	var mu sync.Mutex
	var history []porcupine.Operation
	var tasks sync.WaitGroup
	for client := range 4 {
		tasks.Go(func() {
			for _, op := range swapAgain(t, etcd.NewStore([]string{server.URL}, server.Client()), client) {
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	assert.Assert(t, len(history) > 100)
	end := time.Now().UnixNano()
	for i, op := range history {
		if op.Output.(swapOutput).unknown {
			history[i].Return = end
		}
	}
	assert.Assert(t, porcupine.CheckOperations(swapModel(), history))
	for i, op := range history {
		if out := op.Output.(swapOutput); out.swapped {
			out.swapped, out.current = false, "a value that nobody wrote"
			history[i].Output = out
			break
		}
	}
	assert.Assert(t, !porcupine.CheckOperations(swapModel(), history), "a doctored history passed")
}

// swapAgain makes reads and swaps of one key and returns its history.
func swapAgain(t *testing.T, store *etcd.Store, client int) []porcupine.Operation {
	random := rand.New(rand.NewPCG(uint64(client), 3))
	var history []porcupine.Operation
	var seen outside.KeyValue
	for number := range 60 {
		in := swapInput{}
		called := time.Now().UnixNano()
		out := swapOutput{}
		var err error
		var current outside.KeyValue
		if random.IntN(3) == 0 {
			current, err = store.Get(t.Context(), "key")
		} else {
			in = swapInput{expected: string(seen.Value), next: fmt.Sprintf("%d-%d", client, number)}
			current, out.swapped, err = store.CompareAndSwap(t.Context(), outside.CompareAndSwapRequest{Key: "key", Value: []byte(in.next), ExpectedRevision: seen.ModRevision})
		}
		out.unknown = err != nil
		if err == nil {
			seen = current
			out.current = string(current.Value)
		}
		if err != nil && in.next == "" {
			continue
		}
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: called, Output: out, Return: time.Now().UnixNano()})
	}
	return history
}
