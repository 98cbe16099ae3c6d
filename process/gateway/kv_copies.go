package gateway

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/target"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// firstCopyDelay is how long an attempt streams before part of its KV memory counts
	// as copied; engines send copies several times a second.
	firstCopyDelay = 250 * time.Millisecond
	// copyTimeout is how long an engine may take to copy the KV memory of an attempt:
	// about a gigabyte, behind other copies on the same link.
	copyTimeout = 1500 * time.Millisecond
	// maxCopyFailures is how many copy requests in a row may fail, 250 ms apart, before
	// another target is picked. A call that is still in progress at the target ends in
	// that time; a lack of memory seldom does.
	maxCopyFailures = 2
	// copyRenewFraction is the part of a copy's TTL after which it is renewed.
	copyRenewFraction = 0.55
)

// intermediaryHeaders are added by proxies and tracing, and differ between the attempts of a
// caller at one request.
var intermediaryHeaders = []string{
	"Forwarded", "Via", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Port", "X-Forwarded-Proto",
	"X-Real-Ip", "X-Request-Id", "Traceparent", "Tracestate", "Baggage",
}

// repeatedHeader returns the fields of a header that a caller sends again with each attempt.
func repeatedHeader(header map[string][]string) map[string][]string {
	repeated := maps.Clone(header)
	for _, names := range [][]string{platform.AttemptHeaders, intermediaryHeaders} {
		for _, name := range names {
			delete(repeated, name)
		}
	}
	return repeated
}

// startRun records the run of a stream whose engines send KV copies. If the caller comes back,
// the first attempt resumes from the copy that was made for its request, if that can be told.
func (s *stream) startRun() {
	if !s.usesKVCopies() {
		return
	}
	g := s.gateway
	identity := s.inbound.Identity(s.workspaceName(), repeatedHeader(s.inbound.Header))
	s.run = kvcopies.Number(g.runs.Add(1))
	result := kvcopies.NotReturning
	g.control.do(func() {
		c, now := g.control, time.Now()
		c.updateRunKnowledge(now)
		s.resumeCopy, result = c.kvCopies.Start(now, s.run, s.inbound.ID, identity, s.inbound.Position > 0)
	})
	if result != kvcopies.NotReturning {
		g.metrics.countReturn(result.String())
		g.log.Event("caller_returned", "request", s.inbound.ID, "position", s.inbound.Position,
			"copy", result.String(), "run", s.resumeCopy.RequestID)
	}
}

// copyTTL returns how long the copy of the stream stays usable if the stream is interrupted.
func (s *stream) copyTTL() time.Duration {
	if s.engine == nil {
		return 0
	}
	return s.engine.KVCopyTTL
}

// usableCopy returns the copy from which another attempt can resume, or the zero value.
// A copy that the engine was told to send with the attempt exists once it has streamed
// for firstCopyDelay; a copy that was requested later exists once it has a handle.
func (a *attempt) usableCopy() kvcopies.Copy {
	var kvCopy kvcopies.Copy
	a.exchange.gateway.control.do(func() {
		sentByEngine := !a.copyRequested && a.streaming && time.Since(a.streamingSince) > firstCopyDelay
		if sentByEngine || a.kvCopy.Handle != "" {
			kvCopy = a.kvCopy
		}
	})
	return kvCopy
}

// recordCopy records where the KV memory of a running attempt is copied to, unless its stream
// has ended, so that other entries learn of it.
func (c *control) recordCopy(a *attempt) {
	if a.kvCopy.Target != "" && c.kvCopies.RecordCopy(a.exchange.run, a.kvCopy) {
		c.updatePending = true
	}
}

// replaceCopiesOn picks another target for each copy at a target that is down.
func (c *control) replaceCopiesOn(id request.TargetID) {
	for _, m := range c.monitors {
		for a := range m.attempts {
			if a.kvCopy.Target == id {
				c.moveCopy(a)
			}
		}
	}
}

// moveRefusedCopy moves a copy whose target refused it, and reports whether there was
// another target.
func (c *control) moveRefusedCopy(a *attempt) bool {
	a.copyRefusedBy = append(a.copyRefusedBy, a.kvCopy.Target)
	next := c.pickCopyTarget(a)
	if next == nil {
		a.copyRefusedBy = nil
		return false
	}
	c.setCopyTarget(a, next)
	return true
}

// moveCopy moves the copy of a running attempt to another target, or drops it if there
// is none.
func (c *control) moveCopy(a *attempt) { c.setCopyTarget(a, c.pickCopyTarget(a)) }

// pickCopyTarget picks the target for the next copy of a running attempt.
func (c *control) pickCopyTarget(a *attempt) *placement.Target {
	source := c.table.Get(a.target.ID)
	if source == nil || source.Down(time.Now()) {
		return nil
	}
	return c.table.PickKVCopyTarget(time.Now(), source, a.requirements, a.copyRefusedBy...)
}

// setCopyTarget has the KV memory of a running attempt copied to next, if any, and no
// longer to the previous target.
func (c *control) setCopyTarget(a *attempt, next *placement.Target) {
	c.table.AddKVCopyTokens(a.kvCopy.Target, -a.requirements.MemoryTokens)
	a.kvCopy = kvcopies.Copy{}
	if next == nil {
		return
	}
	c.table.AddKVCopyTokens(next.ID, a.requirements.MemoryTokens)
	a.kvCopy = kvcopies.Copy{RequestID: a.exchange.inbound.ID, Target: next.ID, Incarnation: next.Incarnation}
	a.copyRequested = true
	c.recordCopy(a)
	a.exchange.gateway.log.Event("copy_moved", "request", a.exchange.inbound.ID, "target", next.ID, "runs", a.target.ID)
	kvCopy := a.kvCopy
	go c.gateway.protect("KV copy", func() { a.maintainCopy(kvCopy, next.Address) })
}

// maintainCopy requests a copy of a running attempt's KV memory and renews it until the
// attempt ends or the copy is moved. It frees the copy of an attempt that completed.
func (a *attempt) maintainCopy(kvCopy kvcopies.Copy, address string) {
	g := a.exchange.gateway
	c := g.control
	ttl := a.exchange.engine.KVCopyTTL
	lastHandle, failures := "", 0
	for a.ctx.Err() == nil {
		if !a.isStreaming() {
			// Engines have nothing to copy before the first token.
			pause(a.ctx, firstCopyDelay/2)
			continue
		}
		handle, err := a.requestCopy(address)
		if err != nil {
			g.log.Event("copy_failed", "request", a.exchange.inbound.ID, "target", kvCopy.Target, "error", err.Error())
			failures++
		} else {
			failures = 0
		}
		current := false
		c.do(func() {
			current = a.kvCopy.Target == kvCopy.Target
			switch {
			case current && err == nil && a.kvCopy.Handle != handle:
				// Another entry can resume from it only by its handle.
				a.kvCopy.Handle, a.kvCopy.Source = handle, a.target.Address
				c.recordCopy(a)
			case current && failures >= maxCopyFailures && a.ctx.Err() == nil:
				current = !c.moveRefusedCopy(a)
			}
		})
		if !current {
			return
		}
		if err == nil {
			lastHandle = handle
		}
		delay := time.Duration(copyRenewFraction * float64(ttl))
		if err != nil {
			delay = firstCopyDelay
		}
		pause(a.ctx, delay)
	}
	if a.complete.Load() && lastHandle != "" {
		a.freeCopy(lastHandle)
	}
}

func (a *attempt) isStreaming() bool {
	streaming := false
	a.exchange.gateway.control.do(func() { streaming = a.streaming })
	return streaming
}

// requestCopy has the engine copy the part of the attempt's KV memory that is not yet
// copied.
func (a *attempt) requestCopy(address string) (string, error) {
	call, err := platform.KVCopyCall(a.exchange.inbound.ID, address)
	if err != nil {
		return "", errors.WithStack(err)
	}
	status, body, err := a.exchange.gateway.callEngine(a.ctx, a.target, call, maxIdleTime, copyTimeout)
	if err != nil {
		return "", err
	}
	handle, err := platform.DecodeKVCopyHandle(status, body)
	return handle, errors.WithStack(err)
}

// freeCopy releases the copy of a completed attempt.
func (a *attempt) freeCopy(handle string) {
	g := a.exchange.gateway
	call := platform.FreeKVCopyCall(handle)
	if _, _, err := g.callEngine(g.background, a.target, call, maxIdleTime, probeTimeout); err != nil {
		g.log.Event("copy_not_freed", "request", a.exchange.inbound.ID, "error", err.Error())
	}
}

// callEngine makes a call to a registered engine that is not part of a caller's request.
func (g *Gateway) callEngine(ctx context.Context, engine placement.Registration, call platform.TargetCall, maxIdle, timeout time.Duration) (int, []byte, error) {
	status, header, body, err := g.callTarget(ctx, engine.Address, call, maxIdle, timeout)
	if announced := platform.DecodeAnnouncement(status, header); !announced.IsZero() {
		g.control.post(func() { g.control.recordAnnouncement("", engine, announced) })
	}
	return status, body, err
}

// callTarget makes a call to a target that is not part of a caller's request, on a
// connection that was idle for less than maxIdle or on a new one.
func (g *Gateway) callTarget(ctx context.Context, address string, call platform.TargetCall, maxIdle, timeout time.Duration) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := g.pool.Get(ctx, address, maxIdle)
	if err != nil {
		return 0, nil, nil, errors.WithStack(err)
	}
	stopClose := context.AfterFunc(ctx, conn.Close)
	defer stopClose()
	response, err := conn.Do(target.Request{
		Method: call.Method, Path: call.Path, Host: address, Header: call.Header, Body: call.Body,
		ResponseID: platform.ResponseID,
	})
	if err != nil {
		return 0, nil, nil, errors.WithStack(err)
	}
	body, err := readAtMost(response.Body, maxTargetCallResponseBytes)
	if err != nil {
		conn.Close()
		return 0, nil, nil, errors.Wrap(err, "body")
	}
	if stopClose() {
		g.pool.Put(conn, response)
	}
	return response.StatusCode, response.Header, body, nil
}
