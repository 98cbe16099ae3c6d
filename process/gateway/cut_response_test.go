package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// cutFramings are framings whose responses are cut at each byte.
var cutFramings = map[string]func(e rawExchange, parts []string) string{
	"length": func(e rawExchange, parts []string) string {
		body := strings.Join(parts, "")
		return e.head(fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	},
	"chunked": func(e rawExchange, parts []string) string {
		text := e.head("Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n")
		for _, part := range parts {
			text += fmt.Sprintf("%X;part=\"a\"\r\n%s\r\n", len(part), part)
		}
		return text + "0;last\r\nX-Sum: 0\r\n\r\n"
	},
	"unframed": func(e rawExchange, parts []string) string { return e.streamHead() + strings.Join(parts, "") },
}

// cutEndings are how a connection ends after the cut.
var cutEndings = map[string]func(e rawExchange){"closed": rawExchange.close, "reset": rawExchange.reset}

// looksWhole reports whether a response that is cut after so many bytes cannot be told from a
// whole one: it ends with its connection, after a complete part of its body.
func looksWhole(framing, ending string, head int, parts []string, cut int) bool {
	if framing != "unframed" || ending != "closed" {
		return false
	}
	for _, part := range parts {
		head += len(part)
		if cut == head {
			return true
		}
	}
	return false
}

// The response to a call is cut after each of its bytes.
func TestCutResponse_CallGetsAWholeResponseOrABadGateway(t *testing.T) {
	parts := []string{"answer of ", "two chunks"}
	for framing, frame := range cutFramings {
		for ending, end := range cutEndings {
			t.Run(framing+" "+ending, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				cut := 0
				d.startRawTarget("t1", "bookings", func(e rawExchange) {
					text := frame(e, parts)
					e.write(text[:min(cut, len(text))])
					end(e)
				})
				g := d.startReadyEntry("entry-1")
				for {
					req := bookingRequest()
					e := rawExchange{id: req.AttemptID}
					head, whole := len(frame(e, nil)), len(frame(e, parts))
					if framing == "unframed" && ending == "closed" && cut >= head || cut >= whole {
						return
					}
					response := d.send(g, req)
					assert.Assert(t, response.complete, "cut after %d bytes", cut)
					assert.Equal(t, response.status, http.StatusBadGateway, "cut after %d bytes", cut)
					assert.Equal(t, response.body, "", "cut after %d bytes", cut)
					cut++
				}
			})
		}
	}
}

// The response to a stream's request is cut after each of its bytes, and the next target has
// the rest.
func TestCutResponse_StreamHasEachEventOnce(t *testing.T) {
	const last = 3
	for framing, frame := range cutFramings {
		for ending, end := range cutEndings {
			t.Run(framing+" "+ending, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				cut := 0
				var begun sync.Map
				respond := func(e rawExchange) {
					var parts []string
					for id := e.position + 1; id <= last; id++ {
						parts = append(parts, e.events(id, id))
					}
					text := frame(e, parts)
					if _, resumed := begun.LoadOrStore(e.id, true); resumed {
						e.write(text)
						e.close()
						return
					}
					e.write(text[:min(cut, len(text))])
					end(e)
				}
				d.startRawTarget("t1", "writer", respond)
				d.startRawTarget("t2", "writer", respond)
				g := d.startReadyEntry("entry-1")
				for ; ; cut++ {
					req := streamRequest()
					e := rawExchange{id: req.AttemptID}
					parts := []string{e.events(1, 1), e.events(2, 2), e.events(3, 3)}
					if cut >= len(frame(e, parts)) {
						return
					}
					if looksWhole(framing, ending, len(frame(e, nil)), parts, cut) {
						continue
					}
					response := d.send(g, req)
					assert.Equal(t, response.status, http.StatusOK, "cut after %d bytes", cut)
					assert.Assert(t, response.complete, "cut after %d bytes", cut)
					assert.Equal(t, response.body, strings.Join(parts, ""), "cut after %d bytes", cut)
				}
			})
		}
	}
}
