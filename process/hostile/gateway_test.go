package hostile

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/network"
)

// generalDescriptors bounds the descriptors of a process whose limit of them is not lowered.
const generalDescriptors = 3072

// Parsed, a header field of four bytes takes some hundred. Requests wait for the end of their
// bodies with it.
func TestGateway_ManyShortFieldsBodyStops(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, crowdSize, text(fullHead("POST", "/status/7", "Content-Length: 100\n"), strings.Repeat("a", 99)))
	g.check(memoryMB, generalDescriptors)
}

// The same without a route, where the body is not read.
func TestGateway_ManyShortFieldsWithoutRoute(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, crowdSize, text(fullHead("POST", "/nowhere", "Content-Length: 100\n"), strings.Repeat("a", 99)))
	g.check(memoryMB, generalDescriptors)
}

// The same with the end of the head missing.
func TestGateway_ManyShortFieldsHeadStops(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, crowdSize, text(strings.TrimSuffix(fullHead("GET", "/status/7", ""), "\n")))
	g.check(memoryMB, generalDescriptors)
}

// The same as complete requests, whose responses are not read.
func TestGateway_ManyShortFieldsComplete(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, crowdSize, text(fullHead("GET", "/status/7", "")))
	g.check(memoryMB, generalDescriptors)
}

// One field with very many prompt parts.
func TestGateway_ManyPromptPartsBodyStops(t *testing.T) {
	g := defaultGateway(t)
	head := requestLines("POST", "/report/7") + "Content-Length: 100\nPrompt-Prefix: "
	head += strings.Repeat("a:1,", (16384-len(head)-8)/4) + "\n\n"
	crowd(t, g.callers, crowdSize, text(head, strings.Repeat("a", 99)))
	g.check(memoryMB, generalDescriptors)
}

// The health address had none of the limits for callers.
func TestGateway_EndlessHeadsAtHealth(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.health, crowdSize, endlessHead("/v1/readyz"))
	g.check(memoryMB, generalDescriptors)
	g.awaitReady()
}

// Nor had the metrics address.
func TestGateway_EndlessHeadsAtMetrics(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.metrics, crowdSize, endlessHead("/metrics"))
	g.check(memoryMB, generalDescriptors)
	g.awaitMetrics()
}

func TestGateway_EndlessHeadsOfCallers(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, crowdSize, endlessHead("/status/7"))
	g.check(memoryMB, generalDescriptors)
}

// Bodies up to 16 KiB were not counted.
func TestGateway_SmallBodiesOneByteShort(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, 4*crowdSize, shortBody("/status/7", 15_000))
	g.check(memoryMB, generalDescriptors)
}

func TestGateway_SmallBodiesOneByteShortWithoutRoute(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, 4*crowdSize, shortBody("/nowhere", 15_000))
	g.check(memoryMB, generalDescriptors)
}

func TestGateway_SmallBodiesInPieces(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, crowdSize, inPieces(requestLines("POST", "/status/7")+"Content-Length: 15000\n\n"+strings.Repeat("a", 14_999)))
	g.check(memoryMB, generalDescriptors)
}

func TestGateway_SmallBodiesOneByteShortAtHealth(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.health, 4*crowdSize, shortBody("/v1/readyz", 15_000))
	g.check(memoryMB, generalDescriptors)
	g.awaitReady()
}

func TestGateway_SmallBodiesOneByteShortAtMetrics(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.metrics, 4*crowdSize, shortBody("/metrics", 15_000))
	g.check(memoryMB, generalDescriptors)
	g.awaitMetrics()
}

func TestGateway_BodiesFarOverTheLimit(t *testing.T) {
	g := startGateway(t, gatewayOptions{memoryMB: memoryMB, descriptors: 4096, maxBodyBytes: 64 << 10})
	crowd(t, g.callers, crowdSize/2, shortBody("/status/7", 4<<20))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("a", 64<<10))
	crowd(t, g.callers, crowdSize/2, text(requestLines("POST", "/status/7"), "Transfer-Encoding: chunked\n\n", strings.Repeat(chunk, 64)))
	g.check(memoryMB, generalDescriptors)
}

func TestGateway_LargeBodiesOneByteShort(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, crowdSize/4, shortBody("/status/7", 4<<20))
	g.check(memoryMB, generalDescriptors)
}

func TestGateway_ChunksOfOneByte(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, crowdSize, smallChunks("/status/7", 20_000))
	g.check(memoryMB, generalDescriptors)
}

func TestGateway_HalfHeads(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, 4*crowdSize, text("GET /status/7 HTTP/1.1\r\nHo"))
	g.check(memoryMB, generalDescriptors)
}

func TestGateway_PipelinedRequestsResponsesNotRead(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, crowdSize/2, text(strings.Repeat(requestLines("GET", "/status/7")+"\n", 2000)))
	g.check(memoryMB, generalDescriptors)
}

// The heads of requests that were sent ahead are parsed from what was read with others.
func TestGateway_PipelinedManyShortFields(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, crowdSize, text(
		requestLines("GET", "/nowhere"), "\n", requestLines("POST", "/status/7"), "Content-Length: 100\n", shortFields(3800), "\n"))
	g.check(memoryMB, generalDescriptors)
}

// A trailer is a header as well.
func TestGateway_ManyShortTrailers(t *testing.T) {
	g := defaultGateway(t)
	crowd(t, g.callers, crowdSize, text(
		requestLines("POST", "/status/7"), "Transfer-Encoding: chunked\n\n", smallTrailers()))
	g.check(memoryMB, generalDescriptors)
}

func smallTrailers() string { return "1\r\na\r\n0\r\n" + shortFields(4000) + "\r\n" }

// Callers of streams that read nothing made the gateway keep their events.
func TestGateway_SlowReadersOfStreams(t *testing.T) {
	g := defaultGateway(t)
	event := "\ndata: " + strings.Repeat(strings.Repeat("a", 4000)+"\ndata: ", 60) + "\n\n"
	g.startTarget("e1", "writer", "text/event-stream", func(w io.Writer) {
		for id := 1; ; id++ {
			if _, err := fmt.Fprintf(w, "id: %d%s", id, event); err != nil {
				return
			}
		}
	})
	crowd(t, g.callers, crowdSize, sendOnSmallBuffer(requestLines("GET", "/report/7")+"Token-Counts: 10,100\n\n"))
	g.check(memoryMB, generalDescriptors)
}

// sendOnSmallBuffer sends a request whose response fills the buffers of the connection soon.
func sendOnSmallBuffer(request string) func(net.Conn) error {
	return func(conn net.Conn) error {
		const receiveBufferBytes = 4 << 10
		if err := conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes); err != nil {
			return err
		}
		_, err := conn.Write([]byte(request))
		return err
	}
}

// startTarget registers a target that responds to each request with what write writes.
func (g *gateway) startTarget(id, service, contentType string, write func(w io.Writer)) {
	g.t.Helper()
	listener, err := net.Listen("tcp", network.ProcessAddress())
	assert.NilError(g.t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == platform.ReportPath {
			_, _ = io.WriteString(w, `{"Stage":"unified","Models":[],"Waiting":0,"Running":1,"KvUsed":0,"KvTotal":88000,"born":5000}`)
			return
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "s")
		w.Header().Set("Content-Type", contentType)
		write(w)
	})}
	go func() { _ = server.Serve(listener) }()
	g.t.Cleanup(func() { _ = server.Close() })
	value, err := json.Marshal(map[string]any{
		"Service": service, "Address": listener.Addr().String(), "Zone": "naxos", "Slots": 600, "State": "ready", "Sequence": 1, "born": 5000,
	})
	assert.NilError(g.t, err)
	g.store.Put(platform.TargetPrefix+id, value)
	time.Sleep(2 * time.Second)
}

func TestGateway_IdleConnections(t *testing.T) {
	g := startGateway(t, gatewayOptions{memoryMB: memoryMB, descriptors: descriptorLimit, maxBodyBytes: 4 << 20})
	crowd(t, g.callers, crowdSize, text())
	g.check(memoryMB, descriptorBound)
}

func TestGateway_IdleConnectionsAtHealth(t *testing.T) {
	g := startGateway(t, gatewayOptions{memoryMB: memoryMB, descriptors: descriptorLimit, maxBodyBytes: 4 << 20})
	crowd(t, g.health, crowdSize, text())
	g.check(memoryMB, descriptorBound)
	g.awaitReady()
}

func TestGateway_IdleConnectionsAtMetrics(t *testing.T) {
	g := startGateway(t, gatewayOptions{memoryMB: memoryMB, descriptors: descriptorLimit, maxBodyBytes: 4 << 20})
	crowd(t, g.metrics, crowdSize, text())
	g.check(memoryMB, descriptorBound)
	g.awaitMetrics()
}

// sendDatagrams sends datagrams to the peers' address of a process, and waits a little at times
// so that they are received.
func sendDatagrams(t *testing.T, address string, count int, datagram func(i int) []byte) {
	t.Helper()
	conn, err := net.Dial("udp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for i := range count {
		_, _ = conn.Write(datagram(i))
		if i%20 == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// Everybody may send datagrams to a gateway. It kept the updates of all senders, whoever they
// were.
func TestGateway_PeerUpdatesUnderManyNames(t *testing.T) {
	g := defaultGateway(t)
	work := map[request.TargetID][3]int{}
	for i := range 1000 {
		work[request.TargetID(fmt.Sprint("target-", i))] = [3]int{1, 1, 1}
	}
	sendDatagrams(t, g.peers, 2000, func(i int) []byte {
		data, err := cbor.Marshal(peers.Update{Entry: fmt.Sprint("nobody-", i), Incarnation: 1, Sequence: 1, Full: true, Work: work})
		assert.NilError(t, err)
		return data
	})
	g.check(memoryMB, generalDescriptors)
}

// Lengths in a datagram may name far more than it holds.
func TestGateway_MalformedDatagrams(t *testing.T) {
	g := defaultGateway(t)
	for _, datagram := range [][]byte{
		{}, {0xa1}, {0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		{0xa1, 0x04, 0xba, 0x7f, 0xff, 0xff, 0xff}, {0xa1, 0x05, 0x9a, 0x7f, 0xff, 0xff, 0xff}, {0xa1, 0x01, 0x7a, 0x7f, 0xff, 0xff, 0xff},
		[]byte(strings.Repeat("\x81", 30_000)), []byte(strings.Repeat("\x9f", 30_000)), []byte(strings.Repeat("a", 60_000)),
	} {
		sendDatagrams(t, g.peers, 200, func(int) []byte { return datagram })
	}
	g.check(memoryMB, generalDescriptors)
}
