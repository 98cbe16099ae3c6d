package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/oracle"
)

// Server is an engine on a TCP port.
type Server struct {
	*Engine
	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	draining atomic.Bool

	connections sync.Map
}

// Serve starts the engine at an IP address and TCP port.
func Serve(config Config, address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{Engine: New(config), listener: listener, cancel: cancel}
	s.server = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnState:         s.track,
	}
	go s.Run(ctx)
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// URL returns the base URL of the engine.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// track keeps the set of open connections.
func (s *Server) track(connection net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.connections.Delete(connection)
		return
	}
	s.connections.Store(connection, true)
}

// Kill ends the engine at once and resets its connections, as when its process
// dies. No token is computed after it returns.
func (s *Server) Kill() {
	s.stop()
	s.connections.Range(func(connection, _ any) bool {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return true
	})
	s.cancel()
	_ = s.server.Close()
}

// Shutdown refuses new generations and ends the engine after the running ones.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	err := s.server.Shutdown(ctx)
	s.cancel()
	return errors.Wrap(err, "shutdown")
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tokenize", s.tokenize)
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("GET /v1/models", s.listModels)
	mux.HandleFunc("GET /load", s.reportLoad)
	mux.HandleFunc("GET /cache/events", s.cacheEvents)
	mux.HandleFunc("POST /orders", s.takeOrder)
	mux.HandleFunc("GET /role", s.reportRole)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /standin/fault", s.setFault)
	mux.HandleFunc("GET /standin/work", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Work()) })
	return s.silence(mux)
}

// silence keeps answers back while the engine is silent or paused.
func (s *Server) silence(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/standin/fault" && !s.waitWhilePaused(r.Context()) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var fault Faults
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(fault)
}

type tokenizeAsk struct {
	Prompt   string            `json:"prompt"`
	Messages []request.Message `json:"messages"`
}

type tokenizeAnswer struct {
	Count  int               `json:"count"`
	Tokens []request.TokenID `json:"tokens"`
}

func (s *Server) tokenize(w http.ResponseWriter, r *http.Request) {
	var ask tokenizeAsk
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text := ask.Prompt
	if len(ask.Messages) > 0 {
		text = oracle.ApplyChatTemplate(ask.Messages)
	}
	tokens := oracle.Tokenize(text)
	reply(w, tokenizeAnswer{Count: len(tokens), Tokens: tokens})
}

type modelAnswer struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID string `json:"id"`
}

func (s *Server) listModels(w http.ResponseWriter, _ *http.Request) {
	answer := modelAnswer{Object: "list", Data: []modelEntry{}}
	s.mu.Lock()
	for _, model := range s.models {
		answer.Data = append(answer.Data, modelEntry{ID: model})
	}
	s.mu.Unlock()
	reply(w, answer)
}

type loadAnswer struct {
	Running    int     `json:"running"`
	Waiting    int     `json:"waiting"`
	CacheUsage float64 `json:"cacheUsage"`
}

func (s *Server) reportLoad(w http.ResponseWriter, _ *http.Request) {
	sample := s.load()
	s.mu.Lock()
	usage := float64(s.cache.order.Len()) / float64(max(1, s.config.CacheBlocks))
	s.mu.Unlock()
	reply(w, loadAnswer{Running: sample.running, Waiting: sample.waiting, CacheUsage: usage})
}

type completionAsk struct {
	Model     string            `json:"model"`
	Prompt    []request.TokenID `json:"prompt"`
	MaxTokens int               `json:"max_tokens"`
	Priority  int               `json:"priority"`
	RequestID string            `json:"request_id"`
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var ask completionAsk
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.draining.Load() {
		http.Error(w, "the engine is leaving", http.StatusServiceUnavailable)
		return
	}
	if !s.loaded(ask.Model) {
		http.Error(w, "no such model", http.StatusNotFound)
		return
	}
	if ask.MaxTokens < 1 || len(ask.Prompt) == 0 {
		http.Error(w, "max_tokens and prompt must be set", http.StatusBadRequest)
		return
	}
	generation := &sequence{id: ask.RequestID, ctx: r.Context(), model: ask.Model, prompt: ask.Prompt, max: ask.MaxTokens, priority: ask.Priority}
	s.submit(generation)
	id := ask.RequestID
	if s.takeCross() {
		id = "crossed-" + id
	}
	s.stream(w, id, generation)
}

// stream writes the events of one generation. The text of the tokens is left
// out: the caller asked for token ids.
func (s *Server) stream(w http.ResponseWriter, id string, generation *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	flusher.Flush()
	sent := 0
	for {
		tokens, ok := generation.next()
		if !ok {
			break
		}
		ids, _ := json.Marshal(tokens)
		sent += len(tokens)
		finish := "null"
		if sent >= generation.max {
			finish = `"length"`
		}
		if !s.waitWhilePaused(generation.ctx) {
			return
		}
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"text\":\"\",\"token_ids\":%s,\"finish_reason\":%s}]}\n\n", id, ids, finish)
		flusher.Flush()
	}
	if sent == generation.max {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}
