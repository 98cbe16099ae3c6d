package entry

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside/vocabulary"
	"github.com/mulberrylane/mulberrylane/request"
)

// A write to a caller that does not read must fail once the buffers are full.
func TestResponseWriter_ReportsSlowCaller(t *testing.T) {
	failed := make(chan error, 1)
	router := gin.New()
	router.GET("/", func(c *gin.Context) {
		writer := newResponseWriter(c, request.Generation{}, completionAsk{Stream: true}, vocabulary.Syllables, 10*time.Millisecond)
		tokens := make([]request.TokenID, 1<<16)
		for {
			if err := writer.writeTokens(tokens, eventID{}); err != nil {
				failed <- err
				return
			}
		}
	})
	server := httptest.NewServer(router)
	defer server.Close()
	caller, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	_, err = caller.Write([]byte("GET / HTTP/1.1\r\nHost: entry\r\n\r\n"))
	assert.NilError(t, err)
	assert.Equal(t, fault.KindOf(<-failed), fault.SlowCaller)
}

func TestReadBody_RejectsBodyOverLimit(t *testing.T) {
	recorder := httptest.NewRecorder()
	c, _ := gin.CreateTestContext(recorder)
	c.Request = httptest.NewRequest(http.MethodPost, "/", strings.NewReader(`{"model":"long"}`))
	c.Request.Body = http.MaxBytesReader(recorder, c.Request.Body, 8)
	_, err := readBody(c, &completionAsk{})
	assert.Equal(t, fault.KindOf(err), fault.TooLarge)
}

// Every frame must name the request and the attempt of its stream.
func TestAttemptEvent_RejectsFrameOfAnotherAttempt(t *testing.T) {
	attempt := wire.StartAttempt{Generation: request.Generation{ID: "mine"}, Attempt: 2}
	for name, frame := range map[string]wire.ServerFrame{
		"began of another request":  {Start: &wire.Start{Request: "other", Attempt: 2}},
		"began of another attempt":  {Start: &wire.Start{Request: "mine", Attempt: 1}},
		"tokens of another request": {Tokens: &wire.Tokens{Request: "other", Attempt: 2}},
		"tokens of another attempt": {Tokens: &wire.Tokens{Request: "mine", Attempt: 3}},
		"end of another request":    {End: &wire.End{Request: "other", Attempt: 2}},
		"nothing":                   {},
	} {
		_, err := attemptEventOf(attempt, frame)
		assert.Equal(t, fault.KindOf(err), fault.Crossed, name)
	}
	_, err := attemptEventOf(attempt, wire.ServerFrame{Tokens: &wire.Tokens{Request: "mine", Attempt: 2}})
	assert.NilError(t, err)
}

func TestEventID_RoundTripsAndRejectsInvalidText(t *testing.T) {
	id := eventID{request: "r", target: "t-1", incarnation: 12, position: 345, digest: 0xfeed}
	parsed, err := parseEventID(string(id.append(nil)))
	assert.NilError(t, err)
	assert.Equal(t, parsed, id)
	for _, invalid := range []string{"r", "r/t/1/2", "r/t/x/2/3", "r/t/1/-2/3", "/t/1/2/3", "r/t/1/2/zz"} {
		_, err := parseEventID(invalid)
		assert.Equal(t, fault.KindOf(err), fault.BadRequest, invalid)
	}
}

// The output of the encoder must decode to the same response with encoding/json.
func TestEventEncoder_MatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chat := rapid.Bool().Draw(t, "chat")
		text := rapid.String().Draw(t, "text")
		tokens := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) request.TokenID {
			return request.TokenID(rapid.Uint32().Draw(t, "token"))
		}), 1, 3).Draw(t, "tokens")
		part := choice{TokenIDs: tokens}
		if chat {
			part.Delta = &chatMessage{Content: text}
		} else {
			part.Text = &text
		}
		want := completionResponse{ID: "r", Object: "o", Created: 7, Model: "m\"", Choices: []choice{part}}
		id := eventID{request: "r", target: "t", incarnation: 1, position: 2, digest: 3}
		event := string(newEventEncoder(want, chat, true).encode(id, []byte(text), tokens))
		data, found := strings.CutPrefix(event, "id: r/t/1/2/3\ndata: ")
		if !found || !strings.HasSuffix(event, "\n\n") {
			t.Fatalf("%q", event)
		}
		var got completionResponse
		if err := json.Unmarshal([]byte(data), &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v instead of %+v", got, want)
		}
	})
}

// To HTTP/1.0 a body without a length ends with the connection, so that a part of it looks
// whole.
func TestCallReply_HasALength(t *testing.T) {
	for _, size := range []int{0, 10, 100 << 10} {
		router := gin.New()
		router.GET("/", func(c *gin.Context) {
			writeCallReply(c, request.CallReply{Status: http.StatusOK, Body: make([]byte, size)}, request.Outcome{})
		})
		server := httptest.NewServer(router)
		caller, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = caller.Write([]byte("GET / HTTP/1.0\r\nHost: entry\r\n\r\n"))
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(body), size)
		assert.Equal(t, response.ContentLength, int64(size))
		assert.NilError(t, response.Body.Close())
		_ = caller.Close()
		server.Close()
	}
}
