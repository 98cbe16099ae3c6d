package relay_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

const (
	tokensPerCaller = 2000
	relayCallers    = 32
	// tokenInterval is the time between the tokens of one stream.
	tokenInterval = 2 * time.Millisecond
)

// engineHandler returns the handler of a minimal engine that costs little CPU time: it
// streams fixed tokens at a fixed rate.
func engineHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tokenize", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"count":2,"tokens":[300,301]}`)
	})
	mux.HandleFunc("GET /v1/models", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"object":"list","data":[{"id":%q}]}`, fleet.TrialVersion)
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{}`) })
	mux.HandleFunc("POST /v1/completions", streamTokens)
	return mux
}

func streamTokens(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"request_id"`
		MaxTokens int    `json:"max_tokens"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return
	}
	flusher := w.(http.Flusher)
	ticker := time.NewTicker(tokenInterval)
	defer ticker.Stop()
	finish := "null"
	for i := range body.MaxTokens {
		if i == body.MaxTokens-1 {
			finish = `"length"`
		}
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"text\":\"\",\"token_ids\":[%d],\"finish_reason\":%s}]}\n\n", body.RequestID, 256+i%512, finish)
		flusher.Flush()
		<-ticker.C
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// bareRelay returns a handler that forwards events line by line, the minimum that any
// relay must do.
func bareRelay(engineURL string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		upstream, err := http.Post(engineURL+r.URL.Path, "application/json", r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = upstream.Body.Close() }()
		w.Header().Set("Content-Type", "text/event-stream")
		flusher := w.(http.Flusher)
		lines := bufio.NewScanner(upstream.Body)
		for lines.Scan() {
			_, _ = w.Write(append(lines.Bytes(), '\n'))
			if len(lines.Bytes()) == 0 {
				flusher.Flush()
			}
		}
	})
}

// cost holds the CPU time, in nanoseconds, and the allocations per token.
type cost struct{ nanos, allocations float64 }

func measureCost(b *testing.B, url string) cost {
	b.Helper()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := cpuTime(b)
	var callers sync.WaitGroup
	for range relayCallers {
		callers.Go(func() { readResponse(b, url) })
	}
	callers.Wait()
	used := cpuTime(b) - start
	runtime.ReadMemStats(&after)
	tokens := float64(relayCallers * tokensPerCaller)
	return cost{float64(used) / tokens, float64(after.Mallocs-before.Mallocs) / tokens}
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func readResponse(b *testing.B, url string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"two words","max_tokens":%d,"stream":true,"request_id":"bare"}`, fleet.TrialService, tokensPerCaller)
	request, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", bytes.NewReader([]byte(body)))
	request.Header.Set("Authorization", "Bearer "+fleet.TrialToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	count := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("data: {")) {
			count++
		}
	}
	if count < tokensPerCaller/2 {
		b.Errorf("only %d events", count)
	}
}

// BenchmarkRelay reports the cost of a token through entry and agent, through the
// bare relay, and directly from the engine. The reported ratio is that of the two
// relays after subtracting the direct cost, that is the cost of engine and caller.
func BenchmarkRelay(b *testing.B) {
	engineServer := httptest.NewServer(engineHandler())
	defer engineServer.Close()
	bareServer := httptest.NewServer(bareRelay(engineServer.URL))
	defer bareServer.Close()
	f := startFleet(b, engineServer.URL)
	for b.Loop() {
		direct := measureCost(b, engineServer.URL)
		bare := measureCost(b, bareServer.URL)
		full := measureCost(b, f.URL(0))
		b.ReportMetric(direct.nanos, "direct-ns/token")
		b.ReportMetric(bare.nanos, "bare-ns/token")
		b.ReportMetric(full.nanos, "relay-ns/token")
		b.ReportMetric(bare.allocations-direct.allocations, "bare-allocs/token")
		b.ReportMetric(full.allocations-direct.allocations, "relay-allocs/token")
		b.ReportMetric((full.nanos-direct.nanos)/(bare.nanos-direct.nanos), "ratio")
	}
}

// startFleet starts one entry and one agent that uses the engine at engineURL.
func startFleet(b *testing.B, engineURL string) *fleet.Fleet {
	b.Helper()
	f, err := fleet.Start(b.Context(), fleet.Layout{
		Document: fleet.TrialDocument(), Service: fleet.TrialService, Domains: []string{"naxos"},
		Entries: 1, Engines: 1, Engine: engine.DefaultConfig("relay", fleet.TrialVersion), EngineURL: engineURL,
	})
	assert.NilError(b, err)
	b.Cleanup(f.Close)
	return f
}
