package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// half returns the first half of an event.
func (e rawExchange) half(id int) string {
	event := e.events(id, id)
	return event[:len(event)/2]
}

// errorResponses are what a target may send instead of the rest of a stream. Each ends with
// its connection.
var errorResponses = map[string]func(e rawExchange) string{
	"400": func(e rawExchange) string {
		return "HTTP/1.1 400 Bad Request\r\nAttempt-Id: " + e.id + "\r\nContent-Length: 5\r\n\r\nerror"
	},
	"404 unframed": func(e rawExchange) string {
		return "HTTP/1.1 404 Not Found\r\nAttempt-Id: " + e.id + "\r\n\r\nerror\n\n"
	},
	"500": func(e rawExchange) string {
		return "HTTP/1.1 500 Error\r\nAttempt-Id: " + e.id + "\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nerror"
	},
	"503 refused": func(e rawExchange) string {
		return "HTTP/1.1 503 X\r\nAttempt-Id: " + e.id + "\r\nNot-Executed: 1\r\nContent-Length: 5\r\n\r\nerror"
	},
	"503 refused, nameless": func(rawExchange) string { return "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\nerror" },
	"503":                   func(e rawExchange) string { return "HTTP/1.1 503 X\r\nAttempt-Id: " + e.id + "\r\n\r\nerror" },
	"429":                   func(e rawExchange) string { return "HTTP/1.1 429 X\r\nAttempt-Id: " + e.id + "\r\n\r\nerror" },
	"204":                   func(e rawExchange) string { return strings.Replace(e.head("\r\n"), "200 OK", "204 None", 1) },
	"200 json": func(e rawExchange) string {
		return e.head("Content-Type: application/json\r\nContent-Length: 18\r\n\r\n{\"error\":\"error\"}\n")
	},
	"200 text": func(e rawExchange) string {
		return e.head("Content-Type: text/plain\r\n\r\nHTTP/1.1 503 error\r\nNot-Executed: 1\r\n\r\n")
	},
	"200 empty text": func(e rawExchange) string { return e.head("Content-Type: text/html\r\nContent-Length: 0\r\n\r\n") },
	"200 unsigned": func(e rawExchange) string {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: " + e.id + "\r\nContent-Length: 0\r\n\r\n"
	},
	"200 of another request": func(rawExchange) string {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n"
	},
	"error event": func(e rawExchange) string { return e.streamHead() + "event: error\ndata: error\n\n" },
	"head in a chunked body": func(e rawExchange) string {
		return e.head("Transfer-Encoding: chunked\r\n\r\n") + "HTTP/1.1 503 error\r\nNot-Executed: 1\r\n\r\nerror"
	},
	"length ends inside an event": func(e rawExchange) string {
		return e.head("Content-Length: 9\r\n\r\n") + e.events(e.position+1, testEvents)
	},
	"length beyond the end": func(e rawExchange) string { return e.head("Content-Length: 10000\r\n\r\n") },
	"end inside an event":   func(e rawExchange) string { return e.streamHead() + e.half(e.position+1) },
	"no head":               func(rawExchange) string { return "" },
	"truncated head":        func(e rawExchange) string { return e.head("Content-Length: 1") },
	"no response":           func(rawExchange) string { return "error\r\n\r\nerror" },
}

// framings are the ways in which a stream marks its end.
var framings = map[string]func(e rawExchange, body string, whole bool) string{
	"unframed": func(e rawExchange, body string, _ bool) string { return e.streamHead() + body },
	"HTTP/1.0": func(e rawExchange, body string, _ bool) string {
		return strings.Replace(e.streamHead(), "HTTP/1.1", "HTTP/1.0", 1) + body
	},
	"chunked": func(e rawExchange, body string, whole bool) string {
		text := e.head("Transfer-Encoding: chunked\r\n\r\n")
		if body != "" {
			text += chunk(body)
		}
		if whole {
			text += "0\r\n\r\n"
		}
		return text
	},
	"length": func(e rawExchange, body string, whole bool) string {
		length := len(body)
		if !whole {
			length += 100
		}
		return e.head(fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", length)) + body
	},
}

const deliveredBefore = 5

// A stream breaks off inside an event, and all other targets respond with an error.
func TestBrokenStream_ErrorOfTheNextTargetDoesNotReachTheCaller(t *testing.T) {
	for framing, frame := range framings {
		for name, next := range errorResponses {
			t.Run(framing+" then "+name, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				var begun atomic.Bool
				respond := func(e rawExchange) {
					if begun.CompareAndSwap(false, true) {
						e.write(frame(e, e.events(1, deliveredBefore)+e.half(deliveredBefore+1), false))
						time.Sleep(transferTime)
					} else {
						e.write(next(e))
					}
					e.close()
				}
				targets := []*rawTarget{d.startRawTarget("t1", "writer", respond), d.startRawTarget("t2", "writer", respond)}
				g := d.startReadyEntry("entry-1")
				req := streamRequest()
				req.DeadlineRemaining = 1500 * time.Millisecond
				response := d.send(g, req)
				assert.Equal(t, response.status, http.StatusOK)
				assert.Assert(t, !response.complete, "a stream that broke off looks complete")
				assert.Equal(t, response.body, rawExchange{id: req.AttemptID}.events(1, deliveredBefore))
				assert.Assert(t, targets[0].arrived(req.AttemptID)+targets[1].arrived(req.AttemptID) > 1)
			})
		}
	}
}

// A stream breaks off inside an event, and the next targets stop between the head and the first
// event.
func TestBrokenStream_TargetsThatStopAfterTheHeadDoNotEndIt(t *testing.T) {
	for framing, frame := range framings {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var begun atomic.Bool
			respond := func(e rawExchange) {
				if begun.CompareAndSwap(false, true) {
					e.write(frame(e, e.events(1, deliveredBefore)+e.half(deliveredBefore+1), false))
					time.Sleep(transferTime)
				} else {
					e.write(e.streamHead())
				}
				e.close()
			}
			for i := range 4 {
				d.startRawTarget(fmt.Sprint("t", i), "writer", respond)
			}
			g := d.startReadyEntry("entry-1")
			req := streamRequest()
			req.DeadlineRemaining = 1500 * time.Millisecond
			response := d.send(g, req)
			assert.Equal(t, response.status, http.StatusOK)
			assert.Assert(t, !response.complete, "a stream that broke off looks complete")
		})
	}
}

// A stream breaks off between two events, and the next targets crash between the head and the
// first event.
func TestBrokenStream_TargetsThatCrashAfterTheHeadDoNotEndIt(t *testing.T) {
	for framing, frame := range framings {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var begun atomic.Bool
			respond := func(e rawExchange) {
				if begun.CompareAndSwap(false, true) {
					e.write(frame(e, e.events(1, deliveredBefore), false))
					time.Sleep(transferTime)
					e.reset()
					return
				}
				e.write(e.streamHead())
				e.target.stop()
			}
			for i := range 4 {
				d.startRawTarget(fmt.Sprint("t", i), "writer", respond)
			}
			g := d.startReadyEntry("entry-1")
			req := streamRequest()
			req.DeadlineRemaining = 1500 * time.Millisecond
			response := d.send(g, req)
			assert.Equal(t, response.status, http.StatusOK)
			assert.Equal(t, response.body, rawExchange{id: req.AttemptID}.events(1, deliveredBefore))
			assert.Assert(t, !response.complete, "a stream that broke off looks complete")
		})
	}
}

// Of a stream nothing has been written to the caller, and its only target breaks it off.
func TestBrokenStream_WithoutAnEventIsNotComplete(t *testing.T) {
	for _, path := range []string{"/once/x", "/report/x"} {
		for framing, frame := range framings {
			for name, body := range map[string]func(e rawExchange) string{
				"after the head": func(rawExchange) string { return "" }, "inside an event": func(e rawExchange) string { return e.half(1) },
			} {
				t.Run(path+" "+framing+" "+name, func(t *testing.T) {
					t.Parallel()
					d := newDeployment(t)
					addPlainStream(d)
					d.startRawTarget("t1", "writer", func(e rawExchange) {
						e.write(frame(e, body(e), false))
						e.close()
					})
					g := d.startReadyEntry("entry-1")
					req := newCallerRequest(http.MethodPost, path, "a prompt")
					req.DeadlineRemaining = time.Second
					response := d.send(g, req)
					assert.Assert(t, !response.complete || response.status/100 == 5 && !guaranteed(response), "%d %q", response.status, response.body)
				})
			}
		}
	}
}

// Streams that are whole, with each framing, or that break off and go on at another target.
func TestStreamFraming_EndIsRecognized(t *testing.T) {
	for framing, frame := range framings {
		for name, end := range map[string]func(e rawExchange, first int){
			"whole": func(e rawExchange, first int) {
				e.write(frame(e, e.events(first, testEvents), true))
				e.close()
			},
			"end inside an event": func(e rawExchange, first int) {
				e.write(frame(e, e.events(first, deliveredBefore)+e.half(deliveredBefore+1), false))
				e.close()
			},
			"reset inside an event": func(e rawExchange, first int) {
				e.write(frame(e, e.events(first, deliveredBefore)+e.half(deliveredBefore+1), false))
				time.Sleep(transferTime)
				e.reset()
			},
			"reset between events": func(e rawExchange, first int) {
				e.write(frame(e, e.events(first, deliveredBefore), false))
				time.Sleep(transferTime)
				e.reset()
			},
			"reset after the last event": func(e rawExchange, first int) {
				e.write(frame(e, e.events(first, testEvents), false))
				time.Sleep(transferTime)
				e.reset()
			},
		} {
			t.Run(framing+" "+name, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				var begun atomic.Bool
				respond := func(e rawExchange) {
					if begun.CompareAndSwap(false, true) {
						end(e, 1)
						return
					}
					e.write(frame(e, e.events(e.position+1, testEvents), true))
					e.close()
				}
				d.startRawTarget("t1", "writer", respond)
				d.startRawTarget("t2", "writer", respond)
				g := d.startReadyEntry("entry-1")
				req := streamRequest()
				response := d.send(g, req)
				assert.Assert(t, response.complete)
				assert.Equal(t, response.body, rawExchange{id: req.AttemptID}.events(1, testEvents))
			})
		}
	}
}

// The caller's connection is used again after a whole stream of a target that closed its own.
func TestStreamFraming_CallerConnectionIsKept(t *testing.T) {
	d := newDeployment(t)
	d.startRawTarget("t1", "writer", func(e rawExchange) {
		e.write(e.streamHead() + e.events(e.position+1, testEvents))
		e.close()
	})
	g := d.startReadyEntry("entry-1")
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for range 3 {
		response, err := transport.RoundTrip(streamRequest().httpRequest(context.Background(), g))
		assert.NilError(t, err)
		assert.Assert(t, !response.Close)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
}

// A caller that has all events asks for the rest, and targets end their responses with the
// connection.
func TestStreamFraming_UnframedEndWithoutEventsIsConfirmed(t *testing.T) {
	d := newDeployment(t)
	respond := func(e rawExchange) {
		e.write(e.streamHead())
		e.close()
	}
	targets := []*rawTarget{d.startRawTarget("t1", "writer", respond), d.startRawTarget("t2", "writer", respond)}
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	req.Position = testEvents
	response := d.send(g, req)
	assert.Equal(t, response.status, http.StatusOK)
	assert.Equal(t, response.header.Get("Response-Signature"), replica.Signature(req.AttemptID))
	assert.Assert(t, response.complete && response.body == "")
	assert.Equal(t, targets[0].arrived(req.AttemptID), 1)
	assert.Equal(t, targets[1].arrived(req.AttemptID), 1)
}

// The first target to respond is not the one whose events are forwarded.
func TestStream_HeadIsThatOfTheFirstEvents(t *testing.T) {
	d := newDeployment(t)
	var begun atomic.Bool
	respond := func(e rawExchange) {
		if begun.CompareAndSwap(false, true) {
			e.write(strings.Replace(e.streamHead(), replica.Signature(e.id), "of-the-first", 1) + e.events(1, 1) + e.events(3, 3))
		} else {
			e.write(e.streamHead() + e.events(1, testEvents))
		}
		e.close()
	}
	d.startRawTarget("t1", "writer", respond)
	d.startRawTarget("t2", "writer", respond)
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	response := d.send(g, req)
	assert.Assert(t, response.complete)
	assert.Equal(t, response.body, rawExchange{id: req.AttemptID}.events(1, testEvents))
	assert.Equal(t, response.header.Get("Response-Signature"), replica.Signature(req.AttemptID))
}

// A response that is not a stream breaks off; the target may have run the request.
func TestBrokenStream_TruncatedErrorIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusCreated, http.StatusPartialContent, http.StatusBadRequest, http.StatusNotFound, http.StatusInternalServerError} {
		for _, path := range []string{"/once/x", "/report/x"} {
			d := newDeployment(t)
			addPlainStream(d)
			target := d.startRawTarget("t1", "writer", func(e rawExchange) {
				e.write(strings.Replace(e.head("Content-Length: 100\r\n\r\nerror"), "200 OK", fmt.Sprint(status, " X"), 1))
				e.close()
			})
			g := d.startReadyEntry("entry-1")
			req := newCallerRequest(http.MethodPost, path, "a prompt")
			req.DeadlineRemaining = time.Second
			response := d.send(g, req)
			assert.Assert(t, target.arrived(req.AttemptID) > 0)
			assert.Assert(t, response.status/100 == 5 && !guaranteed(response), "%s: %d for a truncated %d", path, response.status, status)
			assert.Assert(t, !strings.Contains(response.body, "error"))
		}
	}
}

// A stream breaks off, the next target responds as if the request were invalid, and a third
// one serves the rest.
func TestBrokenStream_GoesOnAfterAnErrorOfOneTarget(t *testing.T) {
	for name, next := range errorResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var attempts atomic.Int64
			respond := func(e rawExchange) {
				switch attempts.Add(1) {
				case 1:
					e.write(e.streamHead() + e.events(1, deliveredBefore) + e.half(deliveredBefore+1))
				case 2:
					e.write(next(e))
				default:
					e.write(e.streamHead() + e.events(e.position+1, testEvents))
				}
				e.close()
			}
			for _, id := range []string{"t1", "t2", "t3"} {
				d.startRawTarget(id, "writer", respond)
			}
			g := d.startReadyEntry("entry-1")
			req := streamRequest()
			response := d.send(g, req)
			assert.Assert(t, response.complete)
			assert.Equal(t, response.body, rawExchange{id: req.AttemptID}.events(1, testEvents))
		})
	}
}

// A target stalls inside an event that it began to send together with whole ones.
func TestStream_EventsBeforeAPartialOneAreForwarded(t *testing.T) {
	d := newDeployment(t)
	forwarded := make(chan struct{})
	d.startRawTarget("t1", "writer", func(e rawExchange) {
		e.write(e.streamHead() + e.events(1, deliveredBefore) + e.half(deliveredBefore+1))
		<-forwarded
		e.write(strings.TrimPrefix(e.events(deliveredBefore+1, testEvents), e.half(deliveredBefore+1)))
		e.close()
	})
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	// The deadline of the request ends the wait if the events are held back.
	req.DeadlineRemaining = 2 * time.Second
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, deliveredBefore)
	close(forwarded)
	r.expectRest(t, req.AttemptID, deliveredBefore)
}

// cancelTimeout is how long a target may go on with a request that continues at another one.
const cancelTimeout = 400 * time.Millisecond

// A target leaves out an event, and the stream goes on at another one.
func TestStream_TargetThatLeavesOutAnEventIsCancelled(t *testing.T) {
	d := newDeployment(t)
	var begun, cancelled atomic.Bool
	closed := make(chan struct{})
	respond := func(e rawExchange) {
		if begun.CompareAndSwap(false, true) {
			e.write(e.streamHead() + e.events(1, 2) + e.events(4, 4))
			_, _ = e.conn.Read(make([]byte, 1))
			close(closed)
			return
		}
		select {
		case <-closed:
			cancelled.Store(true)
		case <-time.After(cancelTimeout):
		}
		e.write(e.streamHead() + e.events(e.position+1, testEvents))
		e.close()
	}
	d.startRawTarget("t1", "writer", respond)
	d.startRawTarget("t2", "writer", respond)
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	response := d.send(g, req)
	assert.Assert(t, response.complete)
	assert.Equal(t, response.body, rawExchange{id: req.AttemptID}.events(1, testEvents))
	assert.Assert(t, cancelled.Load(), "two targets work on the request")
}

// A stream breaks off, and the next target begins again before the place where it broke off
// and ends its response there too.
func TestBrokenStream_TargetThatRepeatsEventsDoesNotEndIt(t *testing.T) {
	for framing, frame := range framings {
		for _, last := range []int{1, deliveredBefore - 1, deliveredBefore} {
			t.Run(fmt.Sprint(framing, " ", last), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				var attempts atomic.Int64
				respond := func(e rawExchange) {
					switch attempts.Add(1) {
					case 1:
						e.write(frame(e, e.events(1, deliveredBefore)+e.half(deliveredBefore+1), false))
					case 2:
						e.write(frame(e, e.events(1, last), true))
					default:
						e.write(frame(e, e.events(e.position+1, testEvents), true))
					}
					time.Sleep(transferTime)
					e.close()
				}
				for _, id := range []string{"t1", "t2", "t3"} {
					d.startRawTarget(id, "writer", respond)
				}
				g := d.startReadyEntry("entry-1")
				req := streamRequest()
				response := d.send(g, req)
				assert.Assert(t, response.complete)
				assert.Equal(t, response.body, rawExchange{id: req.AttemptID}.events(1, testEvents))
			})
		}
	}
}

// A caller asks for the rest of a stream, and a target begins with events that the caller has.
func TestStream_EventsThatTheCallerHasAreLeftOut(t *testing.T) {
	for first := 1; first <= deliveredBefore; first++ {
		for _, batches := range []bool{true, false} {
			t.Run(fmt.Sprint(first, " ", batches), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				target := d.startRawTarget("t1", "writer", func(e rawExchange) {
					e.write(e.streamHead())
					for id := first; id <= testEvents; id++ {
						e.write(e.events(id, id))
						if !batches {
							time.Sleep(transferTime / 10)
						}
					}
					e.close()
				})
				g := d.startReadyEntry("entry-1")
				req := streamRequest()
				req.Position = deliveredBefore
				response := d.send(g, req)
				assert.Equal(t, response.status, http.StatusOK)
				assert.Assert(t, response.complete)
				assert.Equal(t, response.body, rawExchange{id: req.AttemptID}.events(deliveredBefore+1, testEvents))
				assert.Equal(t, target.arrived(req.AttemptID), 1)
			})
		}
	}
}

// Events of a faulty target have IDs before the first of a stream.
func TestStream_EventsBeforeTheFirstAreNone(t *testing.T) {
	for _, id := range []int{0, -1, -100} {
		d := newDeployment(t)
		d.startRawTarget("t1", "writer", func(e rawExchange) {
			e.write(e.streamHead() + e.events(id, id))
			e.close()
		})
		g := d.startReadyEntry("entry-1")
		req := streamRequest()
		req.DeadlineRemaining = time.Second
		response := d.send(g, req)
		assert.Assert(t, response.complete && response.status/100 == 5 && !guaranteed(response), "id %d: %d", id, response.status)
	}
}
