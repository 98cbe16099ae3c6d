package replica

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// kvCopies tracks the KV copies that targets sent each other. A copy's key in held is the
// address of the target that holds it, a space, and the handle of the copy.
type kvCopies struct {
	mu   sync.Mutex
	held map[string]bool
	// rejecting holds the addresses of the targets that accept no copies.
	rejecting map[string]bool
}

// setRejecting sets whether a target accepts no copies.
func (c *kvCopies) setRejecting(holder string, reject bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejecting[holder] = reject
}

// rejects reports whether a target accepts no copies.
func (c *kvCopies) rejects(holder string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejecting[holder]
}

// takeKVCopy removes the KV copy from which a request asks to resume and reports whether
// it existed; true for a request that names none.
func (r *Replica) takeKVCopy(req *http.Request) bool {
	handle := req.Header.Get("Kv-From")
	if handle == "" {
		return true
	}
	c := &r.fleet.kvCopies
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held[r.config.AdvertisedAddress+" "+handle]
	delete(c.held, r.config.AdvertisedAddress+" "+handle)
	return held
}

// requestedCopyPrefix begins the names of copies that were requested while a request ran.
const requestedCopyPrefix = "h-"

// copiedRequest returns the request that a copy was made for, given its handle.
func copiedRequest(handle string) string {
	return strings.TrimPrefix(handle[strings.LastIndex(handle, "/")+1:], requestedCopyPrefix)
}

// recordKVCopy records that the target at an address holds a KV copy of the request, if
// both targets allow it.
func (r *Replica) recordKVCopy(address, id string) {
	if address == "" || r.currentFaults().DisableKVCopies || r.fleet.kvCopies.rejects(address) {
		return
	}
	r.fleet.kvCopies.add(address, address+"/"+id)
}

// add records a copy under the handle by which a request resumes from it.
func (c *kvCopies) add(holder, handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[holder+" "+handle] = true
}

// serveKVCopy copies the KV memory of a request to another target.
func (r *Replica) serveKVCopy(w http.ResponseWriter, req *http.Request) {
	var body struct{ Id, Target string } //nolint:revive // the platform's spelling
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil || r.currentFaults().DisableKVCopies {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.fleet.kvCopies.rejects(body.Target) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	handle := requestedCopyPrefix + body.Id
	r.fleet.kvCopies.add(body.Target, r.config.AdvertisedAddress+"/"+handle)
	_ = json.NewEncoder(w).Encode(map[string]any{"Handle": handle, "CreateRevision": 1})
}
