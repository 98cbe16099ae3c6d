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

// Server serves an engine over HTTP on a TCP port.
type Server struct {
	*Engine
	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	draining atomic.Bool

	// connections is the set of open connections.
	connections sync.Map
}

// Serve starts an engine that listens at address, an IP address and TCP port.
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
		ConnState:         s.trackConnection,
	}
	go s.Run(ctx)
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// URL returns the base URL of the engine.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// trackConnection keeps the set of open connections up to date.
func (s *Server) trackConnection(connection net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.connections.Delete(connection)
		return
	}
	s.connections.Store(connection, true)
}

// Kill ends the engine at once and resets its connections, as when its process is
// killed. No token is computed after it returns.
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

// Shutdown refuses new generations and ends the engine when the running ones have
// finished.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	err := s.server.Shutdown(ctx)
	s.cancel()
	return errors.Wrap(err, "shutdown")
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tokenize", s.serveTokenize)
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /cache/events", s.serveCacheEvents)
	mux.HandleFunc("POST /orders", s.serveOrder)
	mux.HandleFunc("GET /role", s.serveRole)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /standin/fault", s.serveFaults)
	mux.HandleFunc("GET /standin/work", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Work()) })
	return s.holdWhilePaused(mux)
}

// holdWhilePaused holds requests while the engine is silent or paused, except those that
// set its faults.
func (s *Server) holdWhilePaused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/standin/fault" && !s.waitWhilePaused(r.Context()) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

type tokenizeRequest struct {
	Prompt   string            `json:"prompt"`
	Messages []request.Message `json:"messages"`
}

type tokenizeResponse struct {
	Count  int               `json:"count"`
	Tokens []request.TokenID `json:"tokens"`
}

func (s *Server) serveTokenize(w http.ResponseWriter, r *http.Request) {
	var body tokenizeRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text := body.Prompt
	if len(body.Messages) > 0 {
		text = oracle.ApplyChatTemplate(body.Messages)
	}
	tokens := oracle.Tokenize(text)
	writeJSON(w, tokenizeResponse{Count: len(tokens), Tokens: tokens})
}

type modelsResponse struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID string `json:"id"`
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	response := modelsResponse{Object: "list", Data: []modelEntry{}}
	s.mu.Lock()
	for _, model := range s.models {
		response.Data = append(response.Data, modelEntry{ID: model})
	}
	s.mu.Unlock()
	writeJSON(w, response)
}

type loadResponse struct {
	Running    int     `json:"running"`
	Waiting    int     `json:"waiting"`
	CacheUsage float64 `json:"cacheUsage"`
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	sample := s.laggedLoad()
	s.mu.Lock()
	usage := float64(s.cache.lru.Len()) / float64(max(1, s.config.CacheBlocks))
	s.mu.Unlock()
	writeJSON(w, loadResponse{Running: sample.running, Waiting: sample.waiting, CacheUsage: usage})
}

type completionRequest struct {
	Model     string            `json:"model"`
	Prompt    []request.TokenID `json:"prompt"`
	MaxTokens int               `json:"max_tokens"`
	Priority  int               `json:"priority"`
	RequestID string            `json:"request_id"`
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.draining.Load() {
		http.Error(w, "the engine is leaving", http.StatusServiceUnavailable)
		return
	}
	if !s.hasModel(body.Model) {
		http.Error(w, "no such model", http.StatusNotFound)
		return
	}
	if body.MaxTokens < 1 || len(body.Prompt) == 0 {
		http.Error(w, "max_tokens and prompt must be set", http.StatusBadRequest)
		return
	}
	generation := &sequence{id: body.RequestID, ctx: r.Context(), model: body.Model, prompt: body.Prompt, maxTokens: body.MaxTokens, priority: body.Priority}
	s.submit(generation)
	id := body.RequestID
	if s.takeWrongRequestID() {
		id = "crossed-" + id
	}
	s.stream(w, id, generation)
}

// stream writes the events of one generation. The text of the tokens is left out, since
// the caller asked for token IDs.
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
		finishReason := "null"
		if sent >= generation.maxTokens {
			finishReason = `"length"`
		}
		if !s.waitWhilePaused(generation.ctx) {
			return
		}
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"text\":\"\",\"token_ids\":%s,\"finish_reason\":%s}]}\n\n", id, ids, finishReason)
		flusher.Flush()
	}
	if sent == generation.maxTokens {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}
