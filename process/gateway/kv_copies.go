package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/target"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// copiedAfter is how long after a run began to answer some of its memory was
	// copied; engines send it several times a second.
	copiedAfter = 250 * time.Millisecond
	// copyWithin is how long an engine may take to copy the memory of a run: about
	// a gigabyte, behind other copies on the same link.
	copyWithin = 1500 * time.Millisecond
	// copyTries is how often in a row a target may refuse a copy, 250 ms apart: a call
	// that is still under way ends in that time, a lack of room seldom does.
	copyTries = 2
	// copyAgainShare is the part of a copy's life after which it is renewed.
	copyAgainShare = 0.55
)

// heldCopy is a copy that callers who come back can be served from.
type heldCopy struct {
	peers.KVCopy
	// until is when the copy of a stream that broke off is of no more use; zero while
	// the stream runs.
	until time.Time
}

// heldCopies returns the copies that other entries are told of.
func (c *control) heldCopies(now time.Time) map[string]peers.KVCopy {
	held := make(map[string]peers.KVCopy, len(c.sessionCopies))
	for session, copied := range c.sessionCopies {
		if !copied.until.IsZero() && now.After(copied.until) {
			delete(c.sessionCopies, session)
			continue
		}
		held[session] = copied.KVCopy
	}
	return held
}

// copyOf returns a copy of the memory of an earlier run of the session, here or at
// another entry.
func (c *control) copyOf(session string) (peers.KVCopy, bool) {
	if own, ok := c.sessionCopies[session]; ok {
		return own.KVCopy, true
	}
	for _, message := range c.peerUpdates {
		if found, ok := message.KVCopies[session]; ok {
			return found, true
		}
	}
	return peers.KVCopy{}, false
}

// keepFor says how long the copies of a service's broken streams are of use.
func (g *Gateway) keepFor(service string) time.Duration {
	if s := g.table.Load().Service(service); s != nil && s.Engine != nil {
		return s.Engine.KVCopyTTL
	}
	return 0
}

// usableCopy returns where the memory of a lost attempt can be gone on from, or
// nothing. Engines copy from the first token on.
func (a *attempt) usableCopy() peers.KVCopy {
	var held peers.KVCopy
	a.exchange.gateway.control.do(func() {
		old := !a.ordered && a.answering && time.Since(a.answeredAt) > copiedAfter
		if old || a.copy.Handle != "" {
			held = a.copy
		}
	})
	return held
}

// noteCopy notes where the memory of a running attempt is copied to, for other
// entries to be told.
func (c *control) noteCopy(a *attempt) {
	if session := a.exchange.in.Session(); session != "" && a.copy.Target != "" {
		c.sessionCopies[session] = heldCopy{KVCopy: a.copy}
	}
}

// copyLost finds another target for the copies that a lost target held.
func (c *control) copyLost(id request.TargetID) {
	for _, w := range c.monitors {
		for a := range w.attempts {
			if a.copy.Target == id {
				c.copyAnew(a)
			}
		}
	}
}

// copyElsewhere gives up a target that does not take the copy of a running attempt,
// and says whether there is another one.
func (c *control) copyElsewhere(a *attempt) bool {
	a.copyless = append(a.copyless, a.copy.Target)
	next := c.nextHolder(a)
	if next == nil {
		a.copyless = nil
		return false
	}
	c.copyTo(a, next)
	return true
}

// copyAnew has the memory of a running attempt copied to another target, or to none
// if there is no other.
func (c *control) copyAnew(a *attempt) { c.copyTo(a, c.nextHolder(a)) }

// nextHolder chooses the target that takes the next copy of a running attempt.
func (c *control) nextHolder(a *attempt) *placement.Target {
	run := c.table.Get(a.target.ID)
	if run == nil || run.Down(time.Now()) {
		return nil
	}
	return c.table.PickKVCopyTarget(time.Now(), run, a.need, a.copyless...)
}

// copyTo has the memory of a running attempt copied to next, if any, and no more to
// the target before.
func (c *control) copyTo(a *attempt, next *placement.Target) {
	c.table.AddKVCopyTokens(a.copy.Target, -a.need.MemoryTokens)
	a.copy = peers.KVCopy{}
	if next == nil {
		return
	}
	c.table.AddKVCopyTokens(next.ID, a.need.MemoryTokens)
	a.copy = peers.KVCopy{RequestID: a.exchange.in.ID, Target: next.ID, Incarnation: next.Incarnation}
	a.ordered = true
	if noted, ok := c.sessionCopies[a.exchange.in.Session()]; ok && noted.until.IsZero() {
		c.noteCopy(a)
		c.updatePending = true
	}
	a.exchange.gateway.log.Event("copy_moved", "request", a.exchange.in.ID, "target", next.ID, "runs", a.target.ID)
	go a.keepCopy(a.copy, next.Address)
}

// keepCopy makes a copy of a running attempt's memory and renews it until the
// attempt ends or the copy is lost.
func (a *attempt) keepCopy(held peers.KVCopy, address string) {
	g := a.exchange.gateway
	c := g.control
	life := g.table.Load().Service(a.exchange.service).Engine.KVCopyTTL
	latest, failures := "", 0
	for a.ctx.Err() == nil {
		if !a.hasAnswered() {
			// Engines have nothing to copy before the first token.
			pause(a.ctx, copiedAfter/2)
			continue
		}
		name, err := a.copyOnce(address)
		if err != nil {
			g.log.Event("copy_failed", "request", a.exchange.in.ID, "target", held.Target, "error", err.Error())
			failures++
		} else {
			failures = 0
		}
		current := false
		c.do(func() {
			current = a.copy.Target == held.Target
			switch {
			case current && err == nil:
				a.copy.Handle, a.copy.Source = name, a.target.Address
			case current && failures >= copyTries && a.ctx.Err() == nil:
				current = !c.copyElsewhere(a)
			}
		})
		if !current {
			return
		}
		if err == nil {
			latest = name
		}
		wait := time.Duration(copyAgainShare * float64(life))
		if err != nil {
			wait = copiedAfter
		}
		pause(a.ctx, wait)
	}
	if a.done.Load() && latest != "" {
		a.freeCopy(latest)
	}
}

func (a *attempt) hasAnswered() bool {
	answered := false
	a.exchange.gateway.control.do(func() { answered = a.answering })
	return answered
}

// copyOnce has the engine copy what is new of the attempt's memory.
func (a *attempt) copyOnce(address string) (string, error) {
	call, err := platform.KVCopyCall(a.exchange.in.ID, address)
	if err != nil {
		return "", errors.WithStack(err)
	}
	status, body, err := a.exchange.gateway.callEngine(a.ctx, a.target.Address, call, reuseMost, copyWithin)
	if err != nil {
		return "", err
	}
	name, err := platform.DecodeKVCopyHandle(status, body)
	return name, errors.WithStack(err)
}

// freeCopy lets go of the copy of an attempt that is complete.
func (a *attempt) freeCopy(name string) {
	g := a.exchange.gateway
	call := platform.FreeKVCopyCall(name)
	if _, _, err := g.callEngine(g.background, a.target.Address, call, reuseMost, probeTimeout); err != nil {
		g.log.Event("copy_not_freed", "request", a.exchange.in.ID, "error", err.Error())
	}
}

// callEngine makes one call to an engine besides requests.
func (g *Gateway) callEngine(ctx context.Context, address string, call platform.TargetCall, idle, within time.Duration) (int, []byte, error) {
	status, _, body, err := g.callTarget(ctx, address, call, idle, within)
	return status, body, err
}

// callTarget makes one call to a target besides requests, on a connection that was
// idle for less than idle or a new one.
func (g *Gateway) callTarget(ctx context.Context, address string, call platform.TargetCall, idle, within time.Duration) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	conn, err := g.pool.Get(ctx, address, idle)
	if err != nil {
		return 0, nil, nil, errors.WithStack(err)
	}
	keepOpen := context.AfterFunc(ctx, conn.Close)
	defer keepOpen()
	response, err := conn.Do(target.Request{
		Method: call.Method, Path: call.Path, Host: address, Header: call.Header, Body: call.Body,
	})
	if err != nil {
		return 0, nil, nil, errors.WithStack(err)
	}
	body, err := readAtMost(response.Body, maxProbeBodyBytes)
	if err != nil {
		conn.Close()
		return 0, nil, nil, errors.Wrap(err, "body")
	}
	if keepOpen() {
		g.pool.Put(conn, response)
	}
	return response.StatusCode, response.Header, body, nil
}
