package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/request"
)

// A failing engine writes an earlier response once more on a kept connection: a refusal while
// it runs a generation, or the tokens of another prompt. These responses name no request.
func TestEngine_LateResponseIsNotTakenForThatOfTheNextCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveLateResponses(conn)
		}
	}()
	engine := newEngine(settings.Agent{EngineURL: "http://" + listener.Addr().String()})
	for range 4 {
		tokens, err := engine.Tokenize(t.Context(), "m", request.Prompt{Text: "a prompt"})
		assert.NilError(t, err)
		assert.DeepEqual(t, tokens, []request.TokenID{1, 2})
		stream, err := engine.Generate(t.Context(), outside.GenerateRequest{Model: "m", RequestID: "r"})
		assert.NilError(t, err)
		chunk, err := stream.Next()
		assert.NilError(t, err)
		assert.Equal(t, chunk.FinishReason, request.FinishStop)
		_, err = stream.Next()
		assert.ErrorIs(t, err, io.EOF)
		assert.NilError(t, stream.Close())
	}
}

func serveLateResponses(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		body := `{"tokens":[1,2]}`
		if !first && req.URL.Path == "/tokenize" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"tokens\":[9]}")
		}
		if req.URL.Path != "/tokenize" {
			body = "data: {\"id\":\"r\",\"choices\":[{\"token_ids\":[3],\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
			if !first {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(20 * time.Millisecond)
			}
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}
