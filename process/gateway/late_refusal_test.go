package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateRefusals are refusals that belong to no request in progress. PREVIOUS stands for the ID
// of the previous request on the connection.
var lateRefusals = map[string]string{
	"503 named":              "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: PREVIOUS\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"503 nameless":           "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"503 no statement":       "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	"503 status line":        "HTTP/1.1 503 Service Unavailable\r\n\r\n",
	"503 unframed":           "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n",
	"429 named":              "HTTP/1.1 429 Too Many Requests\r\nAttempt-Id: PREVIOUS\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"429 nameless":           "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"429 no statement":       "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
	"421 named":              "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: PREVIOUS\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n",
	"421 nameless":           "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n",
	"408 no statement":       "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
	"200 named":              "HTTP/1.1 200 OK\r\nAttempt-Id: PREVIOUS\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nstale",
	"500 named, chunked":     "HTTP/1.1 500 X\r\nAttempt-Id: PREVIOUS\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstale\r\n0\r\n\r\n",
	"400 nameless":           "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"400 nameless, executed": "HTTP/1.1 400 Bad Request\r\nContent-Length: 5\r\n\r\nstale",
}

// addPlainStream adds a route of streams that must not be resumed.
func addPlainStream(d *deployment) {
	d.configure(func(config map[string]any) {
		config["Routes"] = append(config["Routes"].([]any), map[string]any{
			"Name": "/once/", "Host": testHost, "Prefix": "/once/", "RouteType": "streaming", "TimeoutMs": 5000,
			"TargetLatencyMs": 500, "Service": "writer", "MaxAttempts": 5, "GapAimMs": 700,
		})
	})
}

// Requests are sent until one was sent on a connection in use again.
const minRequests, maxRequests = 6, 200

// checkLateRefusals sends requests to two targets that write refusal on each connection in
// use again, before they run the request.
func checkLateRefusals(t *testing.T, service, path string, atMostOnce bool, refusal string) {
	d := newDeployment(t)
	addPlainStream(d)
	d.configure(func(config map[string]any) {
		for _, route := range config["Routes"].([]any) {
			// A call that a busy machine slows down is not hedged: that would be another arrival.
			route.(map[string]any)["TargetLatencyMs"] = 5000
		}
	})
	respond := func(e rawExchange) {
		if e.previousID != "" {
			e.write(strings.ReplaceAll(refusal, "PREVIOUS", e.previousID))
			time.Sleep(transferTime)
		}
		if service == "writer" {
			events := e.events(1, 3)
			e.write(e.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") + chunk(events) + "0\r\n\r\n")
			return
		}
		e.write(e.answer())
	}
	targets := []*rawTarget{d.startRawTarget("t1", service, respond), d.startRawTarget("t2", service, respond)}
	g := d.startReadyEntry("entry-1")
	reused := func() int { return targets[0].reusedConnections() + targets[1].reusedConnections() }
	// A connection is not used again if its response was read before the write returned.
	for n := 0; n < minRequests || reused() == 0 && n < maxRequests; n++ {
		req := newCallerRequest(http.MethodPost, path, "a body")
		req.DeadlineRemaining = 2 * time.Second
		response := d.send(g, req)
		arrivals := targets[0].arrived(req.AttemptID) + targets[1].arrived(req.AttemptID)
		assert.Assert(t, arrivals > 0)
		assert.Assert(t, !strings.Contains(response.body, "stale"), "%d %s", response.status, response.body)
		if strings.Contains(refusal, "PREVIOUS") {
			assert.Equal(t, response.status, http.StatusOK, "the caller did not get its response")
			assert.Equal(t, arrivals, 1)
		}
		if !atMostOnce {
			continue
		}
		assert.Assert(t, arrivals == 1, "ran at %d targets", arrivals)
		assert.Assert(t, response.status == http.StatusOK || response.status == http.StatusBadGateway,
			"the caller got %d for a request that a target runs", response.status)
	}
	assert.Assert(t, reused() > 0, "no connection was used again")
}

// chunk returns text as one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func TestLateRefusal_IsNotTakenForThatOfTheNextRequest(t *testing.T) {
	for _, route := range []struct {
		service, path string
		atMostOnce    bool
	}{{"bookings", "/book/visit", true}, {"bookings", "/status/7", false}, {"writer", "/once/x", true}, {"writer", "/report/x", false}} {
		for name, refusal := range lateRefusals {
			t.Run(route.path+" "+name, func(t *testing.T) {
				t.Parallel()
				checkLateRefusals(t, route.service, route.path, route.atMostOnce, refusal)
			})
		}
	}
}

// On its first connection each target refuses without the request's name, which is that
// request's own refusal; the connection carries no other request.
func TestCall_NamelessRefusalOnNewConnectionIsTrusted(t *testing.T) {
	for name, refusal := range lateRefusals {
		if !strings.Contains(name, "nameless") || strings.Contains(name, "executed") {
			continue
		}
		d := newDeployment(t)
		refuse := func(e rawExchange) { e.write(refusal) }
		refusing := []*rawTarget{d.startRawTarget("t1", "bookings", refuse), d.startRawTarget("t2", "bookings", refuse)}
		g := d.startReadyEntry("entry-1")
		for range 3 {
			assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusServiceUnavailable, name)
		}
		assert.Equal(t, refusing[0].reusedConnections()+refusing[1].reusedConnections(), 0, name)
	}
}

// A second copy that arrives before the next request was sent costs that request nothing.
func TestLateRefusal_BeforeTheNextRequestIsDiscarded(t *testing.T) {
	for delay, name := range map[time.Duration]string{0: "with the response", transferTime / 2: "after the response"} {
		for status, refusal := range lateRefusals {
			t.Run(name+" "+status, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				target := d.startRawTarget("t1", "bookings", func(e rawExchange) {
					late := strings.ReplaceAll(refusal, "PREVIOUS", e.id)
					if delay == 0 {
						e.write(e.answer() + late)
						return
					}
					e.write(e.answer())
					time.Sleep(delay)
					e.write(late)
				})
				g := d.startReadyEntry("entry-1")
				for range 3 {
					req := bookingRequest()
					response := d.send(g, req)
					assert.Equal(t, response.status, http.StatusOK)
					assert.Equal(t, response.body, "answer to "+req.AttemptID)
					assert.Equal(t, target.arrived(req.AttemptID), 1)
					time.Sleep(2 * transferTime)
				}
			})
		}
	}
}

// The only target refuses a call once, runs it when it is sent again, and writes the refusal
// once more before its response.
func TestLateRefusal_IsNotTakenForThatOfTheRetryAtTheSameTarget(t *testing.T) {
	for _, path := range []string{"/book/visit", "/status/7", "/once/x", "/report/x"} {
		d := newDeployment(t)
		addPlainStream(d)
		service := "bookings"
		if path == "/once/x" || path == "/report/x" {
			service = "writer"
		}
		target := d.startRawTarget("t1", service, func(e rawExchange) {
			refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\nAttempt-Id: " + e.id + "\r\n\r\n"
			if e.number == 1 {
				e.write(refusal)
				return
			}
			if e.previousID != "" {
				e.write(refusal)
				time.Sleep(transferTime)
			}
			e.write(e.head("Transfer-Encoding: chunked\r\n\r\n") + chunk(e.events(1, 3)) + "0\r\n\r\n")
		})
		g := d.startReadyEntry("entry-1")
		req := newCallerRequest(http.MethodPost, path, "a body")
		response := d.send(g, req)
		assert.Equal(t, response.status, http.StatusOK, path)
		assert.Equal(t, target.arrived(req.AttemptID), 2, path)
	}
}
