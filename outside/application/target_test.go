package application_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/application"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/network"
)

func bookingCall() outside.ApplicationCall {
	return outside.ApplicationCall{
		CallBody: request.CallBody{
			Method: http.MethodPost, Path: "/bookings", Body: []byte("{}"),
			Header: []request.HeaderField{{Name: "Idempotency-Key", Value: "k"}},
		},
		MaxReplyBytes: 10,
	}
}

// TestCallIsSentOnce guards against a call that runs twice. The server executes each
// call after the first and then closes the connection without a response, whereupon a
// client that reuses connections would send the call again.
func TestCallIsSentOnce(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if received.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	target := application.NewTarget(server.URL)
	_, err := target.Call(t.Context(), bookingCall())
	assert.NilError(t, err)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		before := received.Load()
		call := bookingCall()
		call.Method, call.Body = method, nil
		_, err = target.Call(t.Context(), call)
		assert.Equal(t, fault.KindOf(err), fault.TargetLost)
		assert.Equal(t, received.Load(), before+1)
	}
}

func TestCall_ConnectionRefusedIsNoTarget(t *testing.T) {
	listener, err := net.Listen("tcp", network.ProcessAddress())
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	_, err = application.NewTarget("http://"+listener.Addr().String()).Call(t.Context(), bookingCall())
	assert.Equal(t, fault.KindOf(err), fault.NoTarget)
}

func TestCall_LimitsReplyAndReturnsRedirect(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bookings" {
			_, _ = w.Write(make([]byte, 11))
			return
		}
		http.Redirect(w, r, "/bookings", http.StatusFound)
	}))
	defer server.Close()
	target := application.NewTarget(server.URL)
	_, err := target.Call(t.Context(), bookingCall())
	assert.Equal(t, fault.KindOf(err), fault.TooLarge)
	call := bookingCall()
	call.Path = "/elsewhere"
	reply, err := target.Call(t.Context(), call)
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, http.StatusFound)
}

// A failing application sends heads without end to many calls at once. Each was kept up to 10 MB.
func TestCall_LongHeadIsGivenUp(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X", strings.Repeat("a", 2*bounded.MaxHeadBytes))
	}))
	defer server.Close()
	target := application.NewTarget(server.URL)
	for _, idempotent := range []bool{false, true} {
		call := bookingCall()
		call.Idempotent = idempotent
		_, err := target.Call(t.Context(), call)
		assert.Equal(t, fault.KindOf(err), fault.TargetLost)
	}
}
