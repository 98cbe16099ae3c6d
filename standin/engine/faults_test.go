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

// streamID returns the request id that the first event of a stream names.
func streamID(t *testing.T, server *engine.Server, id string) string {
	t.Helper()
	response, err := post(t, server, ask(id, 1))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(line, `"id":"`)
	name, _, _ := strings.Cut(rest, `"`)
	return name
}

func TestCrossedStreamNamesAnotherRequestOnce(t *testing.T) {
	server := serve(t, nil)
	server.SetFaults(engine.Faults{Cross: true})
	assert.Assert(t, streamID(t, server, "r1") != "r1")
	assert.Equal(t, streamID(t, server, "r2"), "r2")
}

func TestSilentEngineAnswersNothingUntilItReturns(t *testing.T) {
	server := serve(t, nil)
	server.SetFaults(engine.Faults{Silent: true})
	answered := make(chan string, 1)
	go func() { answered <- streamID(t, server, "r1") }()
	select {
	case <-answered:
		t.Fatal("a silent engine answered")
	case <-time.After(100 * time.Millisecond):
	}
	server.SetFaults(engine.Faults{})
	assert.Equal(t, <-answered, "r1")
}

func TestSlowEngineTakesLongerSteps(t *testing.T) {
	server := serve(t, nil)
	response, err := post(t, server, ask("r1", 100_000))
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
