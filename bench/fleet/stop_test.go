package fleet_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/version"
)

// stopDuringCompletion sends a long request and calls stop with the member that
// generates the output, once the caller has tokensBeforeFault tokens. It returns the
// complete response.
func stopDuringCompletion(t *testing.T, f *fleet.Fleet, stop func(ctx context.Context, member *fleet.Member) error) *caller.CompletionResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	req := trialRequest()
	req.MaxTokens = 400
	stopped := make(chan error, 1)
	var once sync.Once
	req.OnProgress = func(tokens int) {
		if tokens < tokensBeforeFault {
			return
		}
		once.Do(func() {
			member := busiestMember(f)
			go func() { stopped <- stop(ctx, member) }()
		})
	}
	resp, err := caller.New(&http.Client{Transport: &http.Transport{}}).Complete(ctx, f.URL(0), req)
	assert.NilError(t, err)
	verdict := caller.Check(salt, fleet.TrialVersion, req, resp)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Equal(t, resp.Outcome.Error, "")
	assert.NilError(t, <-stopped)
	assert.NilError(t, ctx.Err())
	return resp
}

// busiestMember returns the member whose engine has decoded the most tokens.
func busiestMember(f *fleet.Fleet) *fleet.Member {
	busiest := f.Members[0]
	for _, member := range f.Members {
		if member.Engine.Work().DecodedTokens > busiest.Engine.Work().DecodedTokens {
			busiest = member
		}
	}
	return busiest
}

func TestAgentStop_FinishesRunningWork(t *testing.T) {
	f := startTwoEntries(t, 3, nil)
	resp := stopDuringCompletion(t, f, func(ctx context.Context, member *fleet.Member) error { return member.Agent.Stop(ctx) })
	assert.Equal(t, int(resp.Outcome.Attempts), 1)
}

func TestAgentStop_DrainMoveMovesRunningWork(t *testing.T) {
	f := startTwoEntries(t, 3, func(p *version.Profile) { p.Drain = version.DrainMove })
	var stopped *fleet.Member
	resp := stopDuringCompletion(t, f, func(ctx context.Context, member *fleet.Member) error {
		stopped = member
		return member.Agent.Stop(ctx)
	})
	assert.Equal(t, int(resp.Outcome.Attempts), 2)
	assert.Assert(t, memberOf(f, resp.LastEventID) != stopped)
}

func TestEntryStop_FinishesResponses(t *testing.T) {
	f := startTwoEntries(t, 3, nil)
	resp := stopDuringCompletion(t, f, func(ctx context.Context, _ *fleet.Member) error { return f.Entries[0].Stop(ctx) })
	assert.Equal(t, int(resp.Outcome.Attempts), 1)
	_, err := caller.New(&http.Client{Transport: &http.Transport{}}).Complete(t.Context(), f.URL(0), trialRequest())
	assert.Assert(t, err != nil)
}

// While the entry closes connections, one caller has sent a part of a request and another
// has just connected.
func TestEntryStop_RequestsBeingReadGetResponses(t *testing.T) {
	f := startTwoEntries(t, 1, nil)
	entry := f.Entries[0]
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.URL(0)+"/v1/models", nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+fleet.TrialToken)
	var encoded bytes.Buffer
	assert.NilError(t, request.Write(&encoded))
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", entry.Address())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		return conn
	}
	send := func(conn net.Conn, part []byte) {
		_, err := conn.Write(part)
		assert.NilError(t, err)
	}
	receive := func(conn net.Conn) *http.Response {
		response, err := http.ReadResponse(bufio.NewReader(conn), request)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		return response
	}
	kept := dial()
	send(kept, encoded.Bytes())
	receive(kept)
	send(kept, encoded.Bytes()[:40])
	accepted := dial()
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- entry.Stop(t.Context()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", entry.Address())
		if err != nil {
			return poll.Success()
		}
		_ = conn.Close()
		return poll.Continue("the entry still accepts connections")
	}, poll.WithTimeout(testTimeout), poll.WithDelay(10*time.Millisecond))
	time.Sleep(50 * time.Millisecond)
	send(kept, encoded.Bytes()[40:])
	send(accepted, encoded.Bytes())
	assert.Assert(t, receive(kept).Close)
	assert.Assert(t, receive(accepted).Close)
	assert.NilError(t, <-stopped)
}

func TestEngineStop_CompletesResponse(t *testing.T) {
	f := startTwoEntries(t, 3, nil)
	stopDuringCompletion(t, f, func(ctx context.Context, member *fleet.Member) error { return member.Engine.Shutdown(ctx) })
}

// A target that the host list shows as draining (HostLeaving) gets no new work.
func TestDrainingHostState_GetsNoNewWork(t *testing.T) {
	f := startTwoEntries(t, 2, nil)
	draining := f.Members[0]
	f.Hosts.SetState(draining.Placement.Target, outside.HostLeaving)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		before := draining.Engine.Work().DecodedTokens
		for range 4 {
			resp, err := caller.New(http.DefaultClient).Complete(t.Context(), f.URL(0), trialRequest())
			assert.NilError(t, err)
			assert.Equal(t, resp.Outcome.Error, "")
		}
		if draining.Engine.Work().DecodedTokens > before {
			return poll.Continue("the target still gets work")
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(10*time.Millisecond))
}

// Streams are released after use: a link carries more requests in total than it may
// have in flight at once.
func TestLink_CarriesMoreRequestsThanStreamLimit(t *testing.T) {
	const (
		callers           = 48
		requestsPerCaller = 100
	)
	config := engine.DefaultConfig(salt, fleet.TrialVersion)
	config.StepTime = time.Millisecond
	config.StepPerSequence = 0
	config.Batch = callers
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: fleet.TrialDocument(), Service: fleet.TrialService, Domains: []string{"naxos"},
		Entries: 1, Engines: 1, Engine: config,
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	client := caller.New(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}})
	req := trialRequest()
	req.MaxTokens = 1
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range requestsPerCaller {
				resp, err := client.Complete(ctx, f.URL(0), req)
				if err != nil || resp.Outcome.Error != "" {
					t.Errorf("%v %+v", err, resp.Outcome)
					return
				}
			}
		})
	}
	group.Wait()
}

// When the caller disconnects, its generation is cancelled at the engine.
func TestCallerDisconnect_CancelsGeneration(t *testing.T) {
	f := startTwoEntries(t, 1, nil)
	callerCtx, disconnect := context.WithCancel(t.Context())
	req := trialRequest()
	req.MaxTokens = longOutputTokens
	req.OnProgress = func(tokens int) {
		if tokens >= tokensBeforeFault {
			disconnect()
		}
	}
	_, err := caller.New(&http.Client{Transport: &http.Transport{}}).Complete(callerCtx, f.URL(0), req)
	assert.Assert(t, err != nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	assert.NilError(t, f.Members[0].Agent.Stop(ctx))
	assert.NilError(t, ctx.Err())
	assert.Assert(t, f.Members[0].Engine.Work().DecodedTokens < longOutputTokens)
}

// Callers used connections until the entry closed them, which cost some a response.
func TestIdleTimeout_CallersAreTold(t *testing.T) {
	f := startTwoEntries(t, 1, nil)
	for _, path := range []string{"/health", "/v1/models", "/unknown"} {
		response, err := http.Get(f.URL(0) + path)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.Header.Get("Keep-Alive"), "timeout=96", path)
	}
}
