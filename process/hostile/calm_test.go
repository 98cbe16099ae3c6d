package hostile

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// smallestHostMB is the memory of the smallest host of a deployment.
const smallestHostMB = 88

// exchange sends a request on a new connection and returns the status of the response.
func exchange(t *testing.T, address, request string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(request))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// A request inside the limits must be served in calm, whatever it looks like.
func TestGateway_LargestRequestsAreServedInCalm(t *testing.T) {
	g := startGateway(t, gatewayOptions{memoryMB: smallestHostMB, descriptors: descriptorLimit, maxBodyBytes: 4 << 20})
	body := strings.Repeat("a", 4<<20)
	length := "Content-Length: 4194304\n"
	chunks := strings.Repeat("1\r\na\r\n", 1<<18) + "0\r\n\r\n"
	for name, request := range map[string]string{
		"head of short fields":           fullHead("GET", "/status/7", ""),
		"head of prompt parts":           requestLines("GET", "/status/7") + "Prompt-Prefix: " + strings.Repeat("a:1,", 4000) + "\n\n",
		"one long field":                 requestLines("GET", "/status/7") + "Long: " + strings.Repeat("a", 16_000) + "\n\n",
		"large body":                     requestLines("POST", "/status/7") + length + "\n" + body,
		"large body after a head of all": fullHead("POST", "/status/7", length) + body,
		"chunks of one byte":             requestLines("POST", "/status/7") + "Transfer-Encoding: chunked\n\n" + chunks,
	} {
		for range 3 {
			request := strings.Replace(request, "Attempt-Id: hostile", "Attempt-Id: "+strings.ReplaceAll(name, " ", "-"), 1)
			assert.Check(t, exchange(t, g.callers, request) == http.StatusOK, name)
		}
	}
	assert.Check(t, exchange(t, g.health, fullHead("GET", "/v1/readyz", "")) == http.StatusOK)
	assert.Check(t, exchange(t, g.metrics, fullHead("GET", "/metrics", "")) == http.StatusOK)
	g.check(smallestHostMB, descriptorBound)
}

func TestEntry_LargestHeadIsServedInCalm(t *testing.T) {
	e := startEntry(t, descriptorLimit)
	assert.Check(t, exchange(t, e.callers, fullHead("GET", "/health", "")) == http.StatusOK)
	assert.Check(t, exchange(t, e.operators, fullHead("GET", "/health", "")) == http.StatusOK)
	e.check(daemonMB, descriptorBound)
}
