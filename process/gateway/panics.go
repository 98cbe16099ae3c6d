package gateway

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/pkg/errors"
)

// protect runs f and reports whether it returned. A panic ends only what f was doing: it is
// logged and counted, and the process continues.
func (g *Gateway) protect(what string, f func()) (returned bool) {
	defer func() {
		if r := recover(); r != nil {
			g.recordPanic(what, r)
		}
	}()
	f()
	return true
}

func (g *Gateway) recordPanic(what string, value any) {
	g.metrics.panics.Add(context.Background(), 1)
	g.log.Event("panic", "in", what, "value", fmt.Sprint(value), "stack", string(debug.Stack()))
}

// protectHandler is deferred by the handler of a caller's request: a panic closes the caller's
// connection. The handler itself panics with http.ErrAbortHandler to do so.
func (g *Gateway) protectHandler() {
	r := recover()
	if r == nil {
		return
	}
	if err, ok := r.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		g.recordPanic("request", r)
	}
	panic(http.ErrAbortHandler)
}
