package replica

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// versionHeader is the header field in which targets that have a version name it.
const versionHeader = "Instance-Version"

// ResponseVersion returns the version of the target that responded, or "" if the response does
// not name it.
func ResponseVersion(header http.Header) string { return header.Get(versionHeader) }

// VersionFaults selects the faults of a version. The zero value has none.
type VersionFaults struct {
	// FailureShare is the share of responses that are server errors, SlowShare that of responses
	// that take SlowFactor times as long. Which ones they are depends on the seed, the target and
	// the request alone.
	FailureShare, SlowShare, SlowFactor float64
	// After is how long after the faults were set they begin.
	After time.Duration
	// AboveRunning is the number of running requests of a target above which it has the faults.
	AboveRunning int
	// PathPrefix limits the faults to paths with the prefix.
	PathPrefix string
	Seed       uint64
}

// BadResponse is a response that the faults of a version made fail or slow.
type BadResponse struct {
	Request, Target, Version string
	At                       time.Time
}

// versionState is what a fleet knows about its versions.
type versionState struct {
	mu     sync.Mutex
	faults map[string]VersionFaults
	setAt  map[string]time.Time
	bad    []BadResponse
}

// SetVersionFaults sets the faults of all targets of a version.
func (f *Fleet) SetVersionFaults(version string, faults VersionFaults) {
	f.versions.mu.Lock()
	defer f.versions.mu.Unlock()
	f.versions.faults[version], f.versions.setAt[version] = faults, time.Now()
}

// BadResponses returns the bad responses of a version, oldest first.
func (f *Fleet) BadResponses(version string) []BadResponse {
	f.versions.mu.Lock()
	defer f.versions.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.versions.bad), func(b BadResponse) bool { return b.Version != version })
}

func (f *Fleet) versionFaults(version string) (VersionFaults, time.Duration) {
	f.versions.mu.Lock()
	defer f.versions.mu.Unlock()
	return f.versions.faults[version], time.Since(f.versions.setAt[version])
}

// versionFault is what the faults of a version do to one response.
type versionFault struct {
	fails bool
	// slowdown is how many times as long the response takes.
	slowdown float64
}

// slowed returns d, as long as it takes with the fault.
func (f versionFault) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * f.slowdown)
}

// apply returns the fault of one response: age is the time since the faults were set, running
// the number of requests that run at the target, and key names the request and the target.
func (f *VersionFaults) apply(age time.Duration, running int, path, key string) versionFault {
	fault := versionFault{slowdown: 1}
	if age < f.After || running <= f.AboveRunning || !strings.HasPrefix(path, f.PathPrefix) {
		return fault
	}
	fault.fails = f.draw("failure", key) < f.FailureShare
	if f.draw("slowdown", key) < f.SlowShare {
		fault.slowdown = max(1, f.SlowFactor)
	}
	return fault
}

// draw returns a number from 0 to 1 that depends on the seed, the kind of the fault and key alone.
func (f *VersionFaults) draw(kind, key string) float64 {
	const bits = 53
	hash := xxhash.Sum64String(strconv.FormatUint(f.Seed, 10) + "/" + kind + "/" + key)
	return float64(hash>>(64-bits)) / (1 << bits)
}

// drawVersionFault returns the fault of the response to a running request.
func (r *Replica) drawVersionFault(req *http.Request, id string) versionFault {
	faults, age := r.fleet.versionFaults(r.config.Version)
	r.mu.Lock()
	running := r.running
	r.mu.Unlock()
	return faults.apply(age, running, req.URL.Path, id+"/"+r.config.ID)
}

// logVersionFault records that a response begins, if it is a bad one.
func (r *Replica) logVersionFault(fault versionFault, id string) {
	if !fault.fails && fault.slowdown <= 1 {
		return
	}
	v := &r.fleet.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	v.bad = append(v.bad, BadResponse{Request: id, Target: r.config.ID, Version: r.config.Version, At: time.Now()})
}
