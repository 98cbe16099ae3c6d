package application_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/application"
	"github.com/mulberrylane/mulberrylane/request"
)

func booking() outside.ApplicationCall {
	return outside.ApplicationCall{
		CallBody: request.CallBody{
			Method: http.MethodPost, Path: "/bookings", Body: []byte("{}"),
			Header: []request.HeaderField{{Name: "Idempotency-Key", Value: "k"}},
		},
		MaxReplyBytes: 10,
	}
}

// TestCallIsSentOnce breaks every connection after the effect of its second
// request. A client that keeps connections would send the call again.
func TestCallIsSentOnce(t *testing.T) {
	var ran atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if ran.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	target := application.NewTarget(server.URL)
	_, err := target.Call(t.Context(), booking())
	assert.NilError(t, err)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		before := ran.Load()
		call := booking()
		call.Method, call.Body = method, nil
		_, err = target.Call(t.Context(), call)
		assert.Equal(t, fault.KindOf(err), fault.TargetLost)
		assert.Equal(t, ran.Load(), before+1)
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := application.NewTarget(server.URL).Call(t.Context(), booking())
	assert.Equal(t, fault.KindOf(err), fault.NoTarget)
}

func TestLongReplyAndRedirectAreNotFollowed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bookings" {
			_, _ = w.Write(make([]byte, 11))
			return
		}
		http.Redirect(w, r, "/bookings", http.StatusFound)
	}))
	defer server.Close()
	target := application.NewTarget(server.URL)
	_, err := target.Call(t.Context(), booking())
	assert.Equal(t, fault.KindOf(err), fault.TooLarge)
	call := booking()
	call.Path = "/elsewhere"
	reply, err := target.Call(t.Context(), call)
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, http.StatusFound)
}
