package replica

import (
	"net/http"
	"strings"
	"time"
)

// crashDelay is how long after the head of a response an engine crashes on its prompt.
const crashDelay = 5 * time.Millisecond

// crashOnPart crashes the engine if the prompt has the part on which it crashes.
func (r *Replica) crashOnPart(req *http.Request, controller *http.ResponseController) {
	part := r.currentFaults().CrashOnPart
	if part == "" || !strings.Contains(","+req.Header.Get("Prompt-Prefix"), ","+part+":") {
		return
	}
	_ = controller.Flush()
	r.wait(req.Context(), crashDelay)
	r.Crash()
	panic(http.ErrAbortHandler)
}
