package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// processMemoryMB is the memory of the process in these tests, in MiB.
const processMemoryMB = 134

// gatewayProcess is a gateway in a process of its own, whose memory can be measured.
type gatewayProcess struct {
	t       *testing.T
	address string
	pid     int
	client  *http.Client
}

// startProcess builds mlgateway, starts it and waits until it serves calls.
func (d *deployment) startProcess() *gatewayProcess {
	d.t.Helper()
	directory := d.t.TempDir()
	program := filepath.Join(directory, "mlgateway")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/mlgateway").CombinedOutput()
	assert.NilError(d.t, err, string(out))
	var addresses [4]string
	for i := range addresses {
		addresses[i], err = network.FreeAddress(network.ProcessHost() + ":0")
		assert.NilError(d.t, err)
	}
	settings, err := json.Marshal(map[string]any{
		"name": "entry-1", "failureDomain": "naxos", "callers": addresses[0], "health": addresses[1], "metrics": addresses[2],
		"peers": addresses[3], "store": d.address, "memoryMB": processMemoryMB,
		"bounds": map[string]any{"revokeWithin": "3s", "grace": "4s", "retryRatio": 0.8, "retrySlack": 150, "retryWindow": "10s"},
	})
	assert.NilError(d.t, err)
	path := filepath.Join(directory, "settings.json")
	assert.NilError(d.t, os.WriteFile(path, settings, 0o600))
	command := exec.Command(program, "--settings", path)
	assert.NilError(d.t, command.Start())
	d.t.Cleanup(func() { _ = command.Process.Kill(); _ = command.Wait() })
	p := &gatewayProcess{t: d.t, address: addresses[0], pid: command.Process.Pid, client: &http.Client{Transport: &http.Transport{}}}
	d.t.Cleanup(p.client.CloseIdleConnections)
	d.waitUntil(func() bool {
		response, err := http.Get("http://" + addresses[1] + "/v1/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return p
}

// peakMemory returns the largest resident size of the process so far, in MiB.
func (p *gatewayProcess) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	assert.NilError(p.t, err, "the process has ended")
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(p.t, err)
			return kib >> 10
		}
	}
	p.t.Fatal("no peak size")
	return 0
}

// serve sends requests at the same time and returns how many got a success.
func (p *gatewayProcess) serve(requests ...*callerRequest) int {
	var group sync.WaitGroup
	var served atomic.Int64
	for _, req := range requests {
		group.Go(func() {
			r, err := req.NewHTTPRequest(context.Background(), p.address)
			if err != nil {
				panic(err)
			}
			response, err := p.client.Do(r)
			if err != nil {
				return
			}
			defer func() { _ = response.Body.Close() }()
			if _, err := io.Copy(io.Discard, response.Body); err == nil && response.StatusCode == http.StatusOK {
				served.Add(1)
			}
		})
	}
	group.Wait()
	return int(served.Load())
}

// startEndless registers a target that sends the head and then bytes without end in response to
// each request, those about itself included. sent counts the bytes.
func (d *deployment) startEndless(id, service, head string, sent *atomic.Int64) {
	d.t.Helper()
	listener, err := net.Listen("tcp", network.ProcessAddress())
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { _ = listener.Close() })
	chunk := []byte(strings.Repeat("a", 1<<16))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				text := "HTTP/1.1 " + strings.ReplaceAll(head, "ID", request.Header.Get("Attempt-Id")) + "\r\n\r\n"
				for data := []byte(text); err == nil; data = chunk {
					var n int
					n, err = conn.Write(data)
					sent.Add(int64(n))
				}
			}()
		}
	}()
	value, err := json.Marshal(map[string]any{
		"Service": service, "Address": listener.Addr().String(), "Zone": "naxos", "Slots": 128, "State": "ready", "Sequence": 1,
	})
	assert.NilError(d.t, err)
	d.store.Put(platform.TargetPrefix+id, value)
}

// Most targets fail all requests with bodies that never end, also those for their reports. The
// process kept so much of them that it needed more than its memory.
func TestMemory_EndlessBodiesOfFailures(t *testing.T) {
	for name, head := range map[string]string{
		"503 without a length": "503 Service Unavailable\r\nAttempt-Id: ID",
		"503 of 9 TB":          "503 Service Unavailable\r\nAttempt-Id: ID\r\nContent-Length: 9000000000000",
		"refusal of 9 TB":      "503 Service Unavailable\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 9000000000000",
		"500":                  "500 Internal Server Error\r\nAttempt-Id: ID",
		"200":                  "200 OK\r\nAttempt-Id: ID\r\nResponse-Signature: s",
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			var sent atomic.Int64
			for i := range 5 {
				d.startEndless(fmt.Sprint("e", i), "writer", head, &sent)
				d.startEndless(fmt.Sprint("a", i), "bookings", head, &sent)
			}
			d.startReplica(replica.Config{
				ID: "sound-e", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: testEvents,
				PrefillTime: 60 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
			})
			d.startReplica(replica.Config{ID: "sound-a", Service: "bookings", FailureDomain: "naxos", CallTime: 10 * time.Millisecond, Slots: 100})
			p := d.startProcess()
			var requests []*callerRequest
			for range 200 {
				requests = append(requests, streamRequest())
				for range 3 {
					requests = append(requests, newCallerRequest(http.MethodGet, "/status/7", ""))
				}
			}
			served := p.serve(requests...)
			peak := p.peakMemory()
			t.Logf("served %d of %d, peak %d MB, %d MB sent by faulty targets", served, len(requests), peak, sent.Load()>>20)
			assert.Assert(t, peak < processMemoryMB, "%d MB", peak)
			assert.Assert(t, served > 0)
		})
	}
}

// startLarge registers a target that responds to each request with a large body.
func (d *deployment) startLarge(id, service, contentType string, write func(w io.Writer)) {
	d.t.Helper()
	listener, err := net.Listen("tcp", network.ProcessAddress())
	assert.NilError(d.t, err)
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
	d.t.Cleanup(func() { _ = server.Close() })
	value, err := json.Marshal(map[string]any{
		"Service": service, "Address": listener.Addr().String(), "Zone": "naxos", "Slots": 128, "State": "ready", "Sequence": 1, "born": 5000,
	})
	assert.NilError(d.t, err)
	d.store.Put(platform.TargetPrefix+id, value)
}

// sendSlowly sends requests whose callers read next to nothing of the responses.
func (p *gatewayProcess) sendSlowly(requests ...*callerRequest) {
	const receiveBufferBytes = 4 << 10
	for _, req := range requests {
		conn, err := net.Dial("tcp", p.address)
		assert.NilError(p.t, err)
		assert.NilError(p.t, conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes))
		p.t.Cleanup(func() { _ = conn.Close() })
		r, err := req.NewHTTPRequest(context.Background(), p.address)
		assert.NilError(p.t, err)
		assert.NilError(p.t, r.Write(conn))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
}

// Callers read large responses slowly. They were all kept in memory.
func TestMemory_LargeResponsesToSlowCallers(t *testing.T) {
	d := newDeployment(t)
	body := strings.Repeat("a", 8<<20)
	d.startLarge("a1", "bookings", "text/plain", func(w io.Writer) { _, _ = io.WriteString(w, body) })
	p := d.startProcess()
	var requests []*callerRequest
	for range 40 {
		requests = append(requests, newCallerRequest(http.MethodGet, "/status/7", ""))
	}
	p.sendSlowly(requests...)
	assert.Assert(t, p.peakMemory() < processMemoryMB, "%d MB", p.peakMemory())
}

// An engine sends large events without a pause, and callers read them slowly.
func TestMemory_LargeEventsToSlowCallers(t *testing.T) {
	d := newDeployment(t)
	event := "\ndata: " + strings.Repeat(strings.Repeat("a", 4000)+"\ndata: ", 60) + "\n\n"
	d.startLarge("e1", "writer", "text/event-stream", func(w io.Writer) {
		for id := 1; ; id++ {
			if _, err := fmt.Fprintf(w, "id: %d%s", id, event); err != nil {
				return
			}
		}
	})
	p := d.startProcess()
	var requests []*callerRequest
	for range 60 {
		requests = append(requests, streamRequest())
	}
	p.sendSlowly(requests...)
	assert.Assert(t, p.peakMemory() < processMemoryMB, "%d MB", p.peakMemory())
}
