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

// status is what an operator was told.
type status int

const (
	accepted status = iota
	conflicted
	unknown
	read
)

// input is a change by its note and that of the entry it was planned on, or a read.
type input struct{ base, note string }

type output struct {
	status status
	seen   string
}

// register is the model: the note of the accepted entry that stands. A change
// whose answer never came may have been accepted or not.
func register() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, in, out any) []any {
			stands, change, told := state.(string), in.(input), out.(output)
			switch told.status {
			case read:
				return when(stands == told.seen, stands)
			case accepted:
				return when(stands == change.base, change.note)
			case conflicted:
				return when(stands != change.base, stands)
			default:
				if stands == change.base {
					return []any{stands, change.note}
				}
				return []any{stands}
			}
		},
	}
	return model.ToModel()
}

func when(ok bool, state string) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

// recorder records the operations of all operators.
type recorder struct {
	began time.Time
	mu    sync.Mutex
	list  []porcupine.Operation
}

func (r *recorder) record(operator int, in input, call int64, out output) {
	back := time.Since(r.began).Nanoseconds()
	if out.status == unknown {
		back = int64(time.Hour)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, porcupine.Operation{ClientId: operator, Input: in, Call: call, Output: out, Return: back})
}

// operate plans and applies changes as one operator does.
func (r *recorder) operate(ctx context.Context, operator int, client *Client, random *rand.Rand) {
	for change := range 12 {
		call := time.Since(r.began).Nanoseconds()
		base, err := client.Current(ctx)
		if err != nil {
			continue
		}
		r.record(operator, input{}, call, output{status: read, seen: base.Note})
		time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
		in := input{base: base.Note, note: fmt.Sprintf("%d/%d", operator, change)}
		call = time.Since(r.began).Nanoseconds()
		_, err = client.Apply(ctx, Change{Author: "operator", Note: in.note, Base: base, Document: version.Document{}})
		var conflict *ConflictError
		var notSent *NotSentError
		switch {
		case err == nil:
			r.record(operator, in, call, output{status: accepted})
		case errors.As(err, &conflict):
			r.record(operator, in, call, output{status: conflicted})
		case errors.As(err, &notSent):
		default:
			r.record(operator, in, call, output{status: unknown})
		}
	}
}

// TestConcurrentOperatorsLoseNothing runs operators against a store that goes
// down and loses writes and answers, and checks the history.
func TestConcurrentOperatorsLoseNothing(t *testing.T) {
	for seed := range uint64(6) {
		state := kv.New()
		server := httptest.NewServer(state.EtcdHandler())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		r := &recorder{began: time.Now()}
		var operators, outages sync.WaitGroup
		stop := make(chan struct{})
		outages.Go(func() { disturb(state, seed, stop) })
		for operator := range 4 {
			operators.Go(func() {
				client := NewClient(etcd.NewStore([]string{server.URL}, server.Client()))
				client.settlePause = 2 * time.Millisecond
				r.operate(ctx, operator, client, rand.New(rand.NewPCG(seed, uint64(operator))))
			})
		}
		operators.Wait()
		close(stop)
		outages.Wait()
		state.SetFaults(kv.Faults{})
		result := porcupine.CheckOperationsTimeout(register(), r.list, 30*time.Second)
		assert.Equal(t, result, porcupine.Ok, "seed %d", seed)
		checkChain(ctx, t, NewClient(etcd.NewStore([]string{server.URL}, server.Client())), r.list)
		cancel()
		server.Close()
	}
}

// disturb changes the store's failures until stop is closed.
func disturb(state *kv.Store, seed uint64, stop <-chan struct{}) {
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

// checkChain holds the kept revisions to be a gapless chain that has every
// accepted change, each planned on the one before it.
func checkChain(ctx context.Context, t *testing.T, client *Client, list []porcupine.Operation) {
	t.Helper()
	history, err := client.History(ctx)
	assert.NilError(t, err)
	kept := map[string]bool{}
	for i, entry := range history {
		kept[entry.Note] = true
		if i+1 < len(history) {
			assert.Equal(t, entry.Base, history[i+1].Revision)
			assert.Equal(t, entry.Sequence, history[i+1].Sequence+1)
			assert.Assert(t, entry.Revision > history[i+1].Revision)
		}
	}
	for _, operation := range list {
		if operation.Output.(output).status == accepted {
			assert.Assert(t, kept[operation.Input.(input).note], "accepted change %v is lost", operation.Input)
		}
	}
}
