// Package transfer limits HTTP exchanges by their progress instead of their whole time, and
// observes what they cost. A response that arrives slowly is not one that does not arrive: how long
// it takes grows with its size and with what else the link carries.
package transfer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled means that an exchange made too little progress.
var ErrStalled = errors.New("the response stalled")

// Allowance returns how long an exchange may have taken once the given number of bytes of its
// response has arrived. It grows with the bytes.
type Allowance func(bytes int) time.Duration

type allowanceKey struct{}

// WithAllowance returns a context whose exchanges are limited by an allowance.
func WithAllowance(ctx context.Context, allow Allowance) context.Context {
	return context.WithValue(ctx, allowanceKey{}, allow)
}

// Exchange is what one exchange cost, whether it failed or not.
type Exchange struct {
	// Path is the path of the request without its query.
	Path string
	// Bytes is the size of the part of the response's body that arrived.
	Bytes int
	// ToHead is the time until the head of the response, zero if there was none. ToEnd is the time
	// until the body was read or given up.
	ToHead, ToEnd time.Duration
	// Complete is set if the whole body was read.
	Complete bool
}

// Transport applies the allowances of requests, and passes what they cost to Observe, if that is set.
type Transport struct {
	Base    http.RoundTripper
	Observe func(Exchange)
}

// CloseIdleConnections closes the idle connections of the base.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	b := &body{transport: t, sent: time.Now(), cancel: cancel, context: ctx, exchange: Exchange{Path: r.URL.Path}}
	if allow, ok := r.Context().Value(allowanceKey{}).(Allowance); ok {
		b.allow = allow
		b.timer = time.AfterFunc(allow(0), func() { cancel(ErrStalled) })
	}
	response, err := t.Base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		b.end(false)
		return nil, b.cause(err)
	}
	b.exchange.ToHead = time.Since(b.sent)
	b.from, response.Body = response.Body, b
	return response, nil
}

// body is the body of a response under way.
type body struct {
	transport *Transport
	from      io.ReadCloser
	allow     Allowance
	timer     *time.Timer
	context   context.Context
	cancel    context.CancelCauseFunc
	sent      time.Time
	exchange  Exchange
	once      sync.Once
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.from.Read(buffer)
	b.exchange.Bytes += n
	if n > 0 && b.timer != nil {
		b.timer.Reset(b.allow(b.exchange.Bytes) - time.Since(b.sent))
	}
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		b.end(true)
		return n, err
	}
	return n, b.cause(err)
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.end(false)
	return errors.WithStack(b.from.Close())
}

// cause returns err, or why the exchange was given up.
func (b *body) cause(err error) error {
	if cause := context.Cause(b.context); err != nil && errors.Is(cause, ErrStalled) {
		return errors.Wrapf(ErrStalled, "after %d bytes", b.exchange.Bytes)
	}
	return err
}

// end ends the exchange; the first call counts.
func (b *body) end(complete bool) {
	b.once.Do(func() {
		if b.timer != nil {
			b.timer.Stop()
		}
		b.exchange.ToEnd, b.exchange.Complete = time.Since(b.sent), complete
		if b.transport.Observe != nil {
			b.transport.Observe(b.exchange)
		}
		if !complete {
			b.cancel(context.Canceled)
		}
	})
}
