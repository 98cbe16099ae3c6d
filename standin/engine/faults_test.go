package engine_test

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// streamRequestID sends a completion with the given request ID and returns the ID in the
// first event of its stream.
func streamRequestID(t *testing.T, server *engine.Server, id string) string {
	t.Helper()
	response, err := sendCompletion(t, server, newCompletion(id, 1))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(line, `"id":"`)
	name, _, _ := strings.Cut(rest, `"`)
	return name
}

func TestWrongRequestID_OnlyNextStreamCarriesAnotherID(t *testing.T) {
	server := startEngine(t, nil)
	server.SetFaults(engine.Faults{WrongRequestID: true})
	assert.Assert(t, streamRequestID(t, server, "r1") != "r1")
	assert.Equal(t, streamRequestID(t, server, "r2"), "r2")
}

func TestSilent_HoldsResponsesUntilCleared(t *testing.T) {
	server := startEngine(t, nil)
	server.SetFaults(engine.Faults{Silent: true})
	responses := make(chan string, 1)
	go func() { responses <- streamRequestID(t, server, "r1") }()
	select {
	case <-responses:
		t.Fatal("a silent engine sent a response")
	case <-time.After(100 * time.Millisecond):
	}
	server.SetFaults(engine.Faults{})
	assert.Equal(t, <-responses, "r1")
}

func TestSlow_LengthensSteps(t *testing.T) {
	server := startEngine(t, nil)
	response, err := sendCompletion(t, server, newCompletion("r1", 100_000))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	server.SetFaults(engine.Faults{Slow: 1e6})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		before := server.Work().DecodedTokens
		time.Sleep(50 * time.Millisecond)
		if server.Work().DecodedTokens == before {
			return poll.Success()
		}
		return poll.Continue("still as fast")
	}, poll.WithTimeout(30*time.Second))
}
