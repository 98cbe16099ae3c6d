package rollout

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/caller"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// sent is one request of a caller and its result.
type sent struct {
	id, path           string
	entry              *entry
	sentAt, finishedAt time.Time
	// status is zero if there was no whole response.
	status  int
	version string
	problem string
}

// load sends requests at a steady rate, whatever becomes of those before.
type load struct {
	d       *deployment
	client  *http.Client
	random  random
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	requests []*sent
}

// startLoad sends requests to the paths in turn, at a rate for all of them together.
func (d *deployment) startLoad(perSecond int, paths ...string) *load {
	ctx, cancel := context.WithCancel(untilDone(d.t))
	l := &load{
		d: d, cancel: cancel, random: random{source: rand.New(rand.NewPCG(1, 1))},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	l.running.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			l.running.Go(func() { l.send(i, paths[i%len(paths)]) })
		}
	})
	return l
}

// stop ends the load and waits for all responses.
func (l *load) stop() []*sent {
	l.cancel()
	l.running.Wait()
	l.client.CloseIdleConnections()
	return l.requests
}

// requestTimeout is the deadline that callers set.
const requestTimeout = 4 * time.Second

func (l *load) send(i int, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+time.Second)
	defer cancel()
	s := &sent{id: fmt.Sprintf("%s-%d", path[1:], i), path: path, entry: l.d.entries[l.random.intN(len(l.d.entries))], sentAt: time.Now()}
	method := http.MethodPost
	if path == "/status/" {
		method = http.MethodGet
	}
	r, err := caller.Request{
		Method: method, Path: path + "x", Host: routeHost, AttemptID: s.id, APIKey: apiKey, DeadlineRemaining: requestTimeout,
	}.NewHTTPRequest(ctx, s.entry.callers)
	if err != nil {
		panic(err)
	}
	if response, err := l.client.Do(r); err == nil {
		s.read(response)
	} else {
		s.problem = err.Error()
	}
	s.finishedAt = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, s)
}

// read reads the whole response and checks that it is the one to the request.
func (s *sent) read(response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	s.version = replica.ResponseVersion(response.Header)
	if s.path != "/report/" || response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(response.Body)
		switch {
		case err != nil:
			s.problem = err.Error()
		case response.StatusCode == http.StatusOK && string(body) != "answer to "+s.id:
			s.problem = fmt.Sprintf("a success with the body %q", body)
		default:
			s.status = response.StatusCode
		}
		return
	}
	reader := caller.NewEventReader(response.Body)
	for want := 1; ; want++ {
		event, err := reader.Next()
		switch {
		case errors.Is(err, io.EOF) && want == streamEvents+1:
			s.status = response.StatusCode
			return
		case err != nil:
			s.problem = fmt.Sprintf("event %d: %v", want, err)
			return
		case event.ID != want || event.Data != replica.EventData(s.id, want):
			s.problem = fmt.Sprintf("event %d came instead of event %d", event.ID, want)
			return
		}
	}
}

// checkAllServed checks that every request got its whole response, except those at entries that the
// test had disturbed.
func (d *deployment) checkAllServed(requests []*sent) {
	d.t.Helper()
	var unserved []string
	for _, s := range requests {
		if s.status != http.StatusOK && !s.entry.disturbed(s.sentAt, s.finishedAt) {
			unserved = append(unserved, fmt.Sprintf("%s at %s, sent %s after the order: status %d %s", s.id, s.entry.name,
				s.sentAt.Sub(d.orderedAt[serviceOf(s.path)]).Round(time.Millisecond), s.status, s.problem))
		}
	}
	if len(unserved) > 0 {
		d.t.Errorf("%d of %d requests were not served:\n%s", len(unserved), len(requests), strings.Join(unserved[:min(maxListed, len(unserved))], "\n"))
	}
}

// maxListed is how many violations of a rule are listed.
const maxListed = 8

func serviceOf(path string) string {
	if path == "/report/" {
		return streams
	}
	return calls
}

// arrivals returns the requests that reached targets of a service.
func (d *deployment) arrivals(service string) []replica.Arrival {
	return slices.DeleteFunc(d.fleet.ExecutionLog.AllArrivals(), func(a replica.Arrival) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return a.Request == "" || d.replicas[a.Target].Config().Service != service
	})
}

// checkShare checks the bound on the requests that reach a bad version between the order and its
// time limit.
func (d *deployment) checkShare(service string) {
	d.t.Helper()
	total, bad := 0, 0
	from, to := d.orderedAt[service], d.orderedAt[service].Add(d.limits[service])
	for _, a := range d.arrivals(service) {
		if a.At.Before(from) || a.At.After(to) {
			continue
		}
		total++
		if a.Version == newVersion {
			bad++
		}
	}
	d.t.Logf("%d of %d requests reached the bad version, %d bad responses", bad, total, len(d.fleet.BadResponses(newVersion)))
	assert.Assert(d.t, float64(bad) <= canaryShare*float64(total)+canarySlack, "%d of %d requests reached the bad version", bad, total)
}

// checkRolledBackInTime checks that a bad version gets no request that its caller sent later than
// rollbackWithin after the bad response that counts.
func (d *deployment) checkRolledBackInTime(service string, requests []*sent) {
	d.t.Helper()
	bad := d.fleet.BadResponses(newVersion)
	if len(bad) < badResponses {
		return
	}
	end := bad[badResponses-1].At.Add(rollbackWithin)
	sentAt := map[string]time.Time{}
	for _, s := range requests {
		sentAt[s.id] = s.sentAt
	}
	for _, a := range d.arrivals(service) {
		if late := sentAt[a.Request].Sub(end); a.Version == newVersion && late > 0 {
			d.t.Errorf("%s reached the bad version, sent %s too late", a.Request, late)
		}
	}
}

// checkNoneAtOldAfter checks that old targets get nothing after a time.
func (d *deployment) checkNoneAtOldAfter(service string, end time.Time) {
	d.t.Helper()
	for _, a := range d.arrivals(service) {
		if a.Version == oldVersion && a.At.After(end) {
			d.t.Errorf("%s reached the old version %s after the end", a.Request, a.At.Sub(end))
		}
	}
}

// checkPinned checks that no stream went on at a version at which it had not begun.
func (d *deployment) checkPinned() {
	d.t.Helper()
	began := map[string]bool{}
	for _, execution := range d.fleet.ExecutionLog.Executions("") {
		if execution.Position > 0 && !began[execution.Request+" "+execution.Version] {
			d.t.Errorf("%s went on at %s, where it had not begun", execution.Request, execution.Version)
		}
		began[execution.Request+" "+execution.Version] = true
	}
}
