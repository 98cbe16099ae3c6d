package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// Callers keep sending calls on connections that they opened before the stop while a stream
// keeps the process running until the end of its grace period.
func TestStop_CallsOnKeptConnectionsAreNotCutOff(t *testing.T) {
	d := newDeployment(t)
	d.startReplica(replica.Config{
		ID: "e1", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: 400,
		PrefillTime: 10 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
	})
	d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 60 * time.Millisecond, Slots: 64})
	g := d.startReadyEntry("entry-1")
	d.openStream(context.Background(), g, streamRequest()).skipTo(t, 1)
	var answered, cutOff atomic.Int64
	stopped := make(chan error)
	callers := make(chan struct{})
	for range 64 {
		go func() {
			defer func() { callers <- struct{}{} }()
			for {
				client := &http.Client{Transport: &http.Transport{}}
				// The first call opens the connection, which then stays idle.
				for _, idle := range []time.Duration{0, 700 * time.Millisecond} {
					time.Sleep(idle)
					req := bookingRequest()
					response, err := client.Do(req.httpRequest(context.Background(), g))
					if err == nil {
						_, err = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
					switch {
					case err == nil:
						answered.Add(1)
					case errors.Is(err, syscall.ECONNREFUSED):
						return
					case d.fleet.ExecutionLog.Arrivals(req.AttemptID) > 0:
						cutOff.Add(1)
					}
				}
			}
		}()
	}
	time.Sleep(800 * time.Millisecond)
	go func() { stopped <- g.Stop(context.Background()) }()
	start := time.Now()
	assert.NilError(t, <-stopped)
	assert.Assert(t, time.Since(start) < g.settings.Bounds.Grace.Std())
	for range 64 {
		<-callers
	}
	assert.Assert(t, answered.Load() > 0)
	assert.Equal(t, cutOff.Load(), int64(0))
}

// A call that lasts longer than the grace period gets a response before its end.
func TestStop_CallBeyondGracePeriodGetsResponse(t *testing.T) {
	d := newDeployment(t)
	d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: time.Minute, Slots: 6})
	g := d.startReadyEntry("entry-1")
	req := bookingRequest()
	req.DeadlineRemaining = time.Minute
	statuses := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(req.httpRequest(context.Background(), g))
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	d.waitUntil(func() bool { return d.fleet.ExecutionLog.Arrivals(req.AttemptID) > 0 })
	start := time.Now()
	go func() { _ = g.Stop(context.Background()) }()
	assert.Equal(t, <-statuses, http.StatusBadGateway)
	assert.Assert(t, time.Since(start) < g.settings.Bounds.Grace.Std())
}
