package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/caller"
)

// heldWriter calls flushing before what was written is sent.
type heldWriter struct {
	http.ResponseWriter
	flushing func()
}

func (w *heldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// FlushError implements what http.ResponseController calls.
func (w *heldWriter) FlushError() error {
	w.flushing()
	return errors.WithStack(http.NewResponseController(w.ResponseWriter).Flush())
}

// A target is suspected, sends an event and falls silent again while that event is written to a
// slow caller.
func TestSilence_DuringSlowWriteMovesStream(t *testing.T) {
	d := newDeployment(t)
	events, silent := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(silent) })
	d.startRawTarget("e1", "writer", func(e rawExchange) {
		e.write(e.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for id := 1; id <= deliveredBefore; id++ {
			<-events
			e.write(chunk(e.events(id, id)))
		}
		<-silent
	})
	g := d.startReadyEntry("entry-1")
	held, release := make(chan struct{}), make(chan struct{})
	var holding atomic.Bool
	goOn := sync.OnceFunc(func() { close(release) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.serveCaller(&heldWriter{w, func() {
			if holding.Swap(false) {
				close(held)
				<-release
			}
		}}, r)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(goOn)
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	t.Cleanup(cancel)
	req := streamRequest()
	r := req.httpRequest(ctx, g)
	r.URL.Host = server.Listener.Addr().String()
	go func() {
		for range deliveredBefore - 1 {
			events <- struct{}{}
		}
	}()
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	reader := &streamReader{response: response, stream: caller.NewEventReader(response.Body)}
	reader.skipTo(t, deliveredBefore-1)
	// doAttempt calls do with the running attempt on the control goroutine.
	doAttempt := func(do func(a *attempt)) {
		g.control.do(func() {
			for a := range g.control.monitors["e1"].attempts {
				do(a)
			}
		})
	}
	suspect := func() {
		doAttempt(func(a *attempt) {
			// No probe of the entry itself interferes.
			a.monitor.probing = true
			g.control.recordProbe("e1", probeResult{startedAt: time.Now()})
		})
	}
	suspect()
	time.Sleep(2 * checkInterval)
	holding.Store(true)
	events <- struct{}{}
	<-held
	d.waitUntil(func() bool {
		suspected := true
		doAttempt(func(a *attempt) { suspected = a.suspected.Load() })
		return !suspected
	})
	d.startEngine("e2", "paros")
	d.waitUntil(func() bool { return g.targetCount() == 2 })
	suspect()
	goOn()
	reader.expectRest(t, req.AttemptID, deliveredBefore-1)
}
