package target

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// idleTimeout is how long an idle connection is kept. Targets close idle connections
	// eventually, and a request that is sent at that moment may be lost.
	idleTimeout = 900 * time.Millisecond
	// keepAliveMargin is subtracted from the timeout in a target's Keep-Alive header: the
	// target closes the connection at that time.
	keepAliveMargin = 500 * time.Millisecond
	// maxIdlePerTarget limits the idle connections to one target.
	maxIdlePerTarget = 4
)

// Pool holds idle connections to targets by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Get returns a connection to the target at address: a pooled one that has been idle
// for less than maxIdleTime, or else a new one.
func (p *Pool) Get(ctx context.Context, address string, maxIdleTime time.Duration) (*Conn, error) {
	for {
		conn := p.popIdle(address)
		if conn == nil {
			return Dial(ctx, address)
		}
		if conn.idleTime() < min(maxIdleTime, conn.maxIdleTime) && conn.idleAndOpen() {
			conn.Reused = true
			return conn, nil
		}
		conn.Close()
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return conn
}

// Put returns a connection to the pool after the body of response was read to its end,
// or closes it if it cannot be reused.
func (p *Pool) Put(conn *Conn, response *http.Response) {
	conn.maxIdleTime = min(idleTimeout, keepAliveTimeout(response.Header)-keepAliveMargin)
	if !conn.reusable(response) || conn.maxIdleTime <= 0 {
		conn.Close()
		return
	}
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[conn.address]
	if len(conns) >= maxIdlePerTarget {
		conns[0].Close()
		conns = conns[1:]
	}
	p.idle[conn.address] = append(conns, conn)
}

// keepAliveTimeout returns how long the target keeps an idle connection open, as its
// Keep-Alive header states, or a default.
func keepAliveTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return idleTimeout + keepAliveMargin
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		conns = slices.DeleteFunc(conns, func(conn *Conn) bool {
			expired := time.Since(conn.idleSince) > conn.maxIdleTime
			if expired {
				conn.Close()
			}
			return expired
		})
		if len(conns) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = conns
		}
	}
}

// CloseIdle closes all idle connections to address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[address] {
		conn.Close()
	}
	delete(p.idle, address)
}
