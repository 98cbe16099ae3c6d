package hostile

import (
	"context"
	"crypto/tls"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/mulberrylane/mulberrylane/connection/keys"
)

// daemonMB bounds the memory of mlentry and mlagent, which have no setting for it.
const daemonMB = 96

func TestEntry_ManyShortFieldsBodyStops(t *testing.T) {
	e := startEntry(t, 4096)
	crowd(t, e.callers, crowdSize, text(fullHead("POST", "/v1/completions", "Content-Length: 100\n"), strings.Repeat("a", 99)))
	e.check(daemonMB, generalDescriptors)
}

func TestEntry_ManyShortFieldsHeadStops(t *testing.T) {
	e := startEntry(t, 4096)
	crowd(t, e.callers, crowdSize, text(strings.TrimSuffix(fullHead("GET", "/health", ""), "\n")))
	e.check(daemonMB, generalDescriptors)
}

func TestEntry_SmallBodiesOneByteShort(t *testing.T) {
	e := startEntry(t, 4096)
	crowd(t, e.callers, crowdSize, shortBody("/v1/completions", 15_000))
	e.check(daemonMB, generalDescriptors)
}

func TestEntry_SmallBodiesOneByteShortAtHealth(t *testing.T) {
	e := startEntry(t, 4096)
	crowd(t, e.callers, crowdSize, shortBody("/health", 15_000))
	e.check(daemonMB, generalDescriptors)
}

func TestEntry_IdleConnections(t *testing.T) {
	e := startEntry(t, descriptorLimit)
	crowd(t, e.callers, crowdSize, text())
	e.check(daemonMB, descriptorBound)
}

func TestEntry_EndlessHeadsAtOperators(t *testing.T) {
	e := startEntry(t, 4096)
	e.ordinary = func() (int, error) { return get(context.Background(), "http://"+e.operators+"/health") }
	crowd(t, e.operators, crowdSize, endlessHead("/health"))
	e.check(daemonMB, generalDescriptors)
}

func TestEntry_IdleConnectionsAtOperators(t *testing.T) {
	e := startEntry(t, descriptorLimit)
	e.ordinary = func() (int, error) { return get(context.Background(), "http://"+e.operators+"/health") }
	crowd(t, e.operators, crowdSize, text())
	e.check(daemonMB, descriptorBound)
}

func TestAgent_EndlessHeadsAtOperators(t *testing.T) {
	a := startAgent(t, 4096)
	crowd(t, a.operators, crowdSize, endlessHead("/health"))
	a.check(daemonMB, generalDescriptors)
}

func TestAgent_SmallBodiesOneByteShortAtOperators(t *testing.T) {
	a := startAgent(t, 4096)
	crowd(t, a.operators, 4*crowdSize, shortBody("/health", 15_000))
	a.check(daemonMB, generalDescriptors)
}

func TestAgent_IdleConnectionsAtOperators(t *testing.T) {
	a := startAgent(t, descriptorLimit)
	crowd(t, a.operators, crowdSize, text())
	a.check(daemonMB, descriptorBound)
}

// Links need a client certificate; until then a sender of datagrams costs nothing that stays.
func TestAgent_MalformedDatagramsAtLinks(t *testing.T) {
	a := startAgent(t, 4096)
	sendDatagrams(t, a.links, 5000, func(i int) []byte {
		// The head of a QUIC version 1 initial packet of a new connection, without a valid body.
		head := fmt.Sprintf("\xc0\x00\x00\x00\x01\x08%08d\x08%08d\x00\x44\x9e", i, i)
		return []byte(head + strings.Repeat("a", 1200-len(head)))
	})
	a.check(daemonMB, generalDescriptors)
}

// Anybody may begin a handshake, which fails without a certificate. Most of the crowd stop before
// its end.
func TestAgent_HandshakesWithoutCertificateAtLinks(t *testing.T) {
	a := startAgent(t, 4096)
	// A hostile peer checks nothing.
	config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{keys.ALPN}}
	var group sync.WaitGroup
	for i := range 4 * crowdSize {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%20)*time.Millisecond)
			defer cancel()
			if conn, err := quic.DialAddr(ctx, a.links, config, nil); err == nil {
				_, _ = conn.AcceptStream(ctx)
			}
		})
	}
	group.Wait()
	a.check(daemonMB, generalDescriptors)
}
