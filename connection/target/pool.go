package target

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxIdle is how long an unused connection is kept: targets close theirs sooner
	// or later, and a request that meets the close may be lost.
	maxIdle = 900 * time.Millisecond
	// keepAliveMargin is kept from the time that a target names in Keep-Alive.
	keepAliveMargin = 500 * time.Millisecond
	// maxIdlePerTarget bounds the unused connections to one target.
	maxIdlePerTarget = 4
)

// Pool keeps idle connections to targets by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Get returns a connection to a target that was idle for less than idleFor, or a
// new one.
func (p *Pool) Get(ctx context.Context, address string, idleFor time.Duration) (*Conn, error) {
	for {
		conn := p.take(address)
		if conn == nil {
			return Dial(ctx, address)
		}
		if time.Since(conn.since) < idleFor && conn.quiet() {
			conn.Reused = true
			return conn, nil
		}
		conn.Close()
	}
}

// take removes the connection that was used last.
func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return conn
}

// Put takes a connection back after the body of response was read to its end, or
// closes it where it may not be used again.
func (p *Pool) Put(conn *Conn, response *http.Response) {
	if !conn.reusable(response) || keepAlive(response.Header) <= keepAliveMargin {
		conn.Close()
		return
	}
	conn.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[conn.address]
	if len(list) >= maxIdlePerTarget {
		list[0].Close()
		list = list[1:]
	}
	p.idle[conn.address] = append(list, conn)
}

// keepAlive returns how long the target keeps an idle connection.
func keepAlive(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return maxIdle + keepAliveMargin
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for len(list) > 0 && time.Since(list[0].since) > maxIdle {
			list[0].Close()
			list = list[1:]
		}
		if len(list) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = list
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[address] {
		conn.Close()
	}
	delete(p.idle, address)
}
