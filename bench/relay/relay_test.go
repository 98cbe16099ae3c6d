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
	relayTokens  = 2000
	relayCallers = 32
	// tokenPace is the pause between the tokens of one stream.
	tokenPace = 2 * time.Millisecond
)

// source is an engine that costs little: it sends prepared events at a pace.
func source() http.Handler {
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
	var ask struct {
		RequestID string `json:"request_id"`
		MaxTokens int    `json:"max_tokens"`
	}
	if json.NewDecoder(r.Body).Decode(&ask) != nil {
		return
	}
	flusher := w.(http.Flusher)
	ticker := time.NewTicker(tokenPace)
	defer ticker.Stop()
	finish := "null"
	for i := range ask.MaxTokens {
		if i == ask.MaxTokens-1 {
			finish = `"length"`
		}
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"text\":\"\",\"token_ids\":[%d],\"finish_reason\":%s}]}\n\n", ask.RequestID, 256+i%512, finish)
		flusher.Flush()
		<-ticker.C
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// bare relays events line by line, as the least that any relay does.
func bare(target string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		upstream, err := http.Post(target+r.URL.Path, "application/json", r.Body)
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

// cost is the processor time and the allocations of one token.
type cost struct{ nanos, allocations float64 }

func measure(b *testing.B, url string) cost {
	b.Helper()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begin := processorTime(b)
	var callers sync.WaitGroup
	for range relayCallers {
		callers.Go(func() { readAnswer(b, url) })
	}
	callers.Wait()
	spent := processorTime(b) - begin
	runtime.ReadMemStats(&after)
	tokens := float64(relayCallers * relayTokens)
	return cost{float64(spent) / tokens, float64(after.Mallocs-before.Mallocs) / tokens}
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func readAnswer(b *testing.B, url string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"two words","max_tokens":%d,"stream":true,"request_id":"bare"}`, fleet.TrialService, relayTokens)
	post, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", bytes.NewReader([]byte(body)))
	post.Header.Set("Authorization", "Bearer "+fleet.TrialToken)
	response, err := http.DefaultClient.Do(post)
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
	if count < relayTokens/2 {
		b.Errorf("only %d events", count)
	}
}

// BenchmarkRelay reports the cost of a token through entry and agent, through the
// bare relay, and straight from the source, and the ratio of the two relays
// without what source and caller cost.
func BenchmarkRelay(b *testing.B) {
	tokens := httptest.NewServer(source())
	defer tokens.Close()
	relayed := httptest.NewServer(bare(tokens.URL))
	defer relayed.Close()
	f := startFleet(b, tokens.URL)
	for b.Loop() {
		direct := measure(b, tokens.URL)
		least := measure(b, relayed.URL)
		whole := measure(b, f.URL(0))
		b.ReportMetric(direct.nanos, "direct-ns/token")
		b.ReportMetric(least.nanos, "bare-ns/token")
		b.ReportMetric(whole.nanos, "relay-ns/token")
		b.ReportMetric(least.allocations-direct.allocations, "bare-allocs/token")
		b.ReportMetric(whole.allocations-direct.allocations, "relay-allocs/token")
		b.ReportMetric((whole.nanos-direct.nanos)/(least.nanos-direct.nanos), "ratio")
	}
}

// startFleet starts one entry and one agent beside the source.
func startFleet(b *testing.B, target string) *fleet.Fleet {
	b.Helper()
	f, err := fleet.Start(b.Context(), fleet.Layout{
		Document: fleet.TrialDocument(), Service: fleet.TrialService, Domains: []string{"naxos"},
		Entries: 1, Engines: 1, Engine: engine.DefaultConfig("relay", fleet.TrialVersion), EngineURL: target,
	})
	assert.NilError(b, err)
	b.Cleanup(f.Close)
	return f
}
