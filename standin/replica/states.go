package replica

import "net/http"

// Names of the header fields by which a target says that it drains or is full.
const (
	leavingHeader     = "Server-Leaving"
	notExecutedHeader = "Not-Executed"
	retryAfterHeader  = "Retry-After"
)

// handler serves all paths. It records what arrives and adds what a draining target says
// in each of its responses.
func (r *Replica) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		faults := r.currentFaults()
		r.recordArrival(req, faults)
		if faults.Leaving {
			w.Header().Set(leavingHeader, "1")
		}
		if faults.CloseConnections {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

// shed refuses a request as a target does that is full.
func shed(w http.ResponseWriter, faults Faults) {
	if !faults.OmitNotExecuted {
		w.Header().Set(notExecutedHeader, "1")
	}
	if faults.RetryAfter != "" {
		w.Header().Set(retryAfterHeader, faults.RetryAfter)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
