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

// swapInput is a compare-and-swap to a unique value, or a read if next is empty.
type swapInput struct{ expected, next string }

// swapOutput is the result. If it is unknown, the swap may have taken effect.
type swapOutput struct {
	unknown, swapped bool
	current          string
}

// swapModel models a register with compare-and-swap whose responses may be lost.
func swapModel() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			value, in, out := state.(string), input.(swapInput), output.(swapOutput)
			switch {
			case in.next == "" && out.current == value:
				return []any{value}
			case in.next == "":
				return nil
			case out.unknown && value == in.expected:
				return []any{value, in.next}
			case out.unknown:
				return []any{value}
			case out.swapped && value == in.expected:
				return []any{in.next}
			case !out.swapped && value != in.expected && out.current == value:
				return []any{value}
			default:
				return nil
			}
		},
	}
	return nondeterministic.ToModel()
}

// TestStoreIsLinearizable checks the compare-and-swap on which calls depend, through the
// etcd adapter, while responses and writes are lost.
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
			for _, op := range runSwaps(t, etcd.NewStore([]string{server.URL}, server.Client()), client) {
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

// runSwaps performs reads and swaps of one key and returns their history.
func runSwaps(t *testing.T, store *etcd.Store, client int) []porcupine.Operation {
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
