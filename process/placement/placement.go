// Package placement chooses the target of an attempt and the target of its KV copy. Every
// entry keeps a table of all targets with its own work there and the work that its peers
// report, so that entries choose as if they shared one view of the load.
//
// The package does no I/O and reads no clock. It is designed for these load patterns:
// many entries that each see few requests (herding), a failure domain that fails and
// comes back with empty caches, and targets that are full.
package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// initialPrefillRate is the assumed prefill rate of an engine, in tokens per
	// millisecond, until a prefill has been timed. It has the order of magnitude of
	// current engines.
	initialPrefillRate = 8.0
	// prefillRateWeight is the weight of one timed prefill in the estimate of that rate.
	prefillRateWeight = 0.1
	// decodingCostTokens is the cost, in prompt tokens, that each decoding attempt at an
	// engine adds for a new prompt. Prefill of 8,000 tokens delays a decoding attempt by
	// some 0.8 s, that is 6,400 tokens. A delay before the first event weighs twice as much
	// as one after it, since attempts that stream have KV copies.
	decodingCostTokens = 3000
	// similarCostTokens is the difference in cost up to which engines count as equal; the
	// one of them with the highest affinity to the session is chosen.
	similarCostTokens = 600
	// noMemoryCostTokens is the cost of an engine whose memory has no room for the prompt:
	// the attempt would wait for another to end, or preempt one.
	noMemoryCostTokens = 40000
	// memoryMargin is the fraction of an engine's memory that is reserved from new prompts
	// for the growth of running attempts and for resumes.
	memoryMargin = 0.1
	// baseDownPeriod is how long a target gets no work after it was marked down. It doubles
	// with each consecutive failure up to maxDownPeriod.
	baseDownPeriod = 700 * time.Millisecond
	maxDownPeriod  = 3 * time.Second
	// peerDownTTL is how long a peer's report that a target is down is used: a process
	// takes a second or two to restart and register.
	peerDownTTL = 3 * time.Second
	// defaultPeerStateTTL is how long the last update of a peer is used; peers send several
	// in that time.
	defaultPeerStateTTL = 2 * time.Second
)

// Work is the load of one entry at one target.
type Work struct {
	// PrefillTokens counts the prompt tokens of attempts that have not finished prefill.
	PrefillTokens int
	// Decoding counts the attempts that have finished prefill.
	Decoding int
	// MemoryTokens counts the tokens in the target's memory, KV copies included.
	MemoryTokens int
	// Deferred counts, for each rank but the last, the PrefillTokens of less urgent ones.
	Deferred [deferredRanks]int
}

func (w *Work) add(other Work) {
	w.PrefillTokens += other.PrefillTokens
	w.Decoding += other.Decoding
	w.MemoryTokens += other.MemoryTokens
	for i, tokens := range other.Deferred {
		w.Deferred[i] += tokens
	}
}

func (w *Work) subtract(other Work) {
	w.PrefillTokens -= other.PrefillTokens
	w.Decoding -= other.Decoding
	w.MemoryTokens -= other.MemoryTokens
	for i, tokens := range other.Deferred {
		w.Deferred[i] -= tokens
	}
}

// Target is the state of one incarnation of a target.
type Target struct {
	Registration
	// InFlight counts this entry's attempts.
	InFlight int
	// localWork is this entry's work, peerWork that of all its peers.
	localWork, peerWork Work
	// downUntil is set when the target is marked down. From then on until it responds the
	// target awaits a probe.
	downUntil           time.Time
	consecutiveFailures int
	// replaced reports whether another target responds at the address.
	replaced bool
	// downByPeerUntil is the end of the period in which the target gets no work because a
	// peer reported it down.
	downByPeerUntil time.Time
	failureRate     decayingRate
	applicationLoad applicationLoad
	// relativeTime is how long the engine takes for its work. recentTokens sums up the prompts
	// that entries placed there, in the unit of Table.recentUnit.
	relativeTime relativeTime
	recentTokens float64
	// prefillChanges counts the changes of the prefill work that all entries have there.
	prefillChanges uint32
	isEngine       bool
	memoryTokens   int
	// announced is what the incarnation said about itself in its responses; nil if nothing.
	announced *announcement
}

// Down reports whether the target is to get no work because it failed or was replaced.
func (t *Target) Down(now time.Time) bool {
	return t.replaced || now.Before(t.downUntil) || now.Before(t.downByPeerUntil)
}

// ProbeDue reports whether the target awaits a probe and its down period is over.
func (t *Target) ProbeDue(now time.Time) bool { return t.AwaitingProbe() && !t.Down(now) }

// AwaitingProbe reports whether the target was marked down and has not responded since.
func (t *Target) AwaitingProbe() bool { return t.consecutiveFailures > 0 }

// PeerState is the state of the targets as a peer reports it.
type PeerState struct {
	// Work is the peer's own work, FailureRates the failure rates that it saw.
	Work         map[request.TargetID]Work
	FailureRates map[request.TargetID]float64
	// Speeds holds the relative times of engines that the peer observed and that are news.
	Speeds map[request.TargetID]float64
}

// receivedPeerState is the last update of a peer.
type receivedPeerState struct {
	PeerState
	receivedAt time.Time
}

// Table holds the targets of all services.
type Table struct {
	targets map[request.TargetID]*Target
	// services lists the targets of each service, ordered by id.
	services map[string][]*Target
	// addresses lists the targets that registered each address: incarnations of one target,
	// of which all but the last have registrations that will expire.
	addresses map[string][]*Target
	// engineMemory maps services that have engines to the memory of each engine, in tokens.
	engineMemory map[string]int
	// declared holds the declared services; nil if they are not known yet. undeclared holds the
	// registrations that name another service.
	declared     map[string]struct{}
	undeclared   map[request.TargetID]Registration
	peers        map[string]receivedPeerState
	peerStateTTL time.Duration
	// peerWork is the sum of the work in peers.
	peerWork map[request.TargetID]Work
	// reportingPeers holds the peers that report failure rates.
	reportingPeers map[string]bool
	subsets        subsets
	// prefillRate is the usual prefill rate of an engine in tokens per millisecond, speeds holds
	// what else is usual for the engines of each service.
	prefillRate float64
	speeds      map[string]*serviceSpeed
	// recentSince and lastNow convert Target.recentTokens, see recentUnit.
	recentSince, lastNow time.Time
	// candidates is reused by each choice.
	candidates []candidate
	// random is the source by which the table draws among similar targets.
	random *rand.Rand
	// announcements maps targets to what their last incarnation announced in its responses.
	announcements map[request.TargetID]*announcement
	// backoffs holds those of targets whose backoff has not been seen to end.
	backoffs map[request.TargetID]*announcement
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		targets:        map[request.TargetID]*Target{},
		services:       map[string][]*Target{},
		addresses:      map[string][]*Target{},
		engineMemory:   map[string]int{},
		undeclared:     map[request.TargetID]Registration{},
		peers:          map[string]receivedPeerState{},
		peerStateTTL:   defaultPeerStateTTL,
		peerWork:       map[request.TargetID]Work{},
		reportingPeers: map[string]bool{},
		prefillRate:    initialPrefillRate,
		speeds:         map[string]*serviceSpeed{},
		random:         rand.New(rand.NewPCG(1, 1)),
		announcements:  map[request.TargetID]*announcement{},
		backoffs:       map[request.TargetID]*announcement{},
	}
}

// Register adds or updates a target. A new incarnation or endpoint resets the failures
// recorded before. It returns nil if the service is not declared; the target is then added once
// it is, and until then replaces none at its address.
func (t *Table) Register(r Registration) *Target {
	delete(t.undeclared, r.ID)
	if !t.declares(r.Service) {
		t.undeclared[r.ID] = r
		t.Suspend(r.ID)
		return nil
	}
	target, ok := t.targets[r.ID]
	if ok && target.Service != r.Service {
		t.Remove(r.ID)
		ok = false
	}
	if !ok {
		target = &Target{Registration: r, peerWork: t.peerWork[r.ID]}
		t.targets[r.ID] = target
		list := t.services[r.Service]
		at, _ := slices.BinarySearchFunc(list, r.ID, func(a *Target, id request.TargetID) int {
			return compareIDs(a.ID, id)
		})
		t.services[r.Service] = slices.Insert(list, at, target)
		target.memoryTokens, target.isEngine = t.serviceMemory(r.Service)
		t.addAddress(target)
		t.attachAnnouncement(target)
		return target
	}
	endpointChanged := r.Endpoint != target.Endpoint
	if r.Incarnation != target.Incarnation || endpointChanged {
		target.downUntil, target.downByPeerUntil = time.Time{}, time.Time{}
		target.consecutiveFailures, target.replaced, target.failureRate = 0, false, decayingRate{}
		target.applicationLoad, target.relativeTime, target.recentTokens = applicationLoad{}, relativeTime{}, 0
	}
	if endpointChanged {
		t.removeAddress(target)
		t.detachAnnouncement(target)
	}
	target.Registration = r
	t.attachAnnouncement(target)
	if endpointChanged {
		t.addAddress(target)
	}
	return target
}

// Suspend gives a target no new work until it registers again, because its registration names no
// target any more. It reports whether the target took work before.
func (t *Table) Suspend(id request.TargetID) bool {
	target, ok := t.targets[id]
	if !ok || target.Draining {
		return false
	}
	target.Draining = true
	return true
}

// SetServices sets the declared services, and adds the targets that registered for them before.
func (t *Table) SetServices(names []string) {
	t.declared = make(map[string]struct{}, len(names))
	for _, name := range names {
		t.declared[name] = struct{}{}
	}
	for _, id := range slices.Sorted(maps.Keys(t.undeclared)) {
		if r := t.undeclared[id]; t.declares(r.Service) {
			t.Register(r)
		}
	}
}

func (t *Table) declares(service string) bool {
	_, ok := t.declared[service]
	return ok || t.declared == nil
}

// serviceMemory returns the memory of the engines of a service, and whether it has engines.
func (t *Table) serviceMemory(service string) (int, bool) {
	memory, ok := t.engineMemory[service]
	return memory, ok
}

// addAddress adds a target to the list of its address. Targets that registered the address
// before are replaced: the process there has restarted, and the registration of its
// previous incarnation has not expired yet.
func (t *Table) addAddress(target *Target) {
	for _, other := range t.addresses[target.Address] {
		if other.Incarnation <= target.Incarnation {
			other.replaced = true
		}
	}
	t.addresses[target.Address] = append(t.addresses[target.Address], target)
}

// removeAddress removes a target from the list of its address.
func (t *Table) removeAddress(target *Target) {
	remaining := slices.DeleteFunc(t.addresses[target.Address], func(other *Target) bool { return other == target })
	if len(remaining) == 0 {
		delete(t.addresses, target.Address)
		return
	}
	t.addresses[target.Address] = remaining
}

func compareIDs(a, b request.TargetID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Remove removes a target from the table.
func (t *Table) Remove(id request.TargetID) {
	delete(t.undeclared, id)
	target, ok := t.targets[id]
	if !ok {
		return
	}
	delete(t.targets, id)
	t.removeAddress(target)
	t.detachAnnouncement(target)
	t.services[target.Service] = slices.DeleteFunc(t.services[target.Service], func(other *Target) bool {
		return other == target
	})
}

// Get returns a target, or nil.
func (t *Table) Get(id request.TargetID) *Target { return t.targets[id] }

// Len returns how many targets there are.
func (t *Table) Len() int { return len(t.targets) }

// DownCount returns how many targets are down.
func (t *Table) DownCount(now time.Time) int {
	down := 0
	for _, target := range t.targets {
		if target.Down(now) {
			down++
		}
	}
	return down
}

// Service returns the targets of a service. The caller must not change the list.
func (t *Table) Service(name string) []*Target { return t.services[name] }

// Engines returns all engines that are not draining, ordered by ID. Those that are down
// are included.
func (t *Table) Engines() []*Target {
	var engines []*Target
	for _, list := range t.services {
		for _, target := range list {
			if target.isEngine && !target.IsDraining() {
				engines = append(engines, target)
			}
		}
	}
	slices.SortFunc(engines, func(a, b *Target) int { return compareIDs(a.ID, b.ID) })
	return engines
}

// SetEngineMemory sets the memory of each engine of a service, in tokens; zero means that
// the service has no engines.
func (t *Table) SetEngineMemory(service string, memory int) {
	if memory > 0 {
		t.engineMemory[service] = memory
	} else {
		delete(t.engineMemory, service)
	}
	for _, target := range t.services[service] {
		target.memoryTokens, target.isEngine = t.serviceMemory(service)
	}
}

// SetPeerStateTTL sets how long the last update of a peer is used, if that is longer than by
// default.
func (t *Table) SetPeerStateTTL(ttl time.Duration) { t.peerStateTTL = max(defaultPeerStateTTL, ttl) }

// UpdatePeer stores the state that a peer reports, as of now.
func (t *Table) UpdatePeer(now time.Time, peer string, state PeerState) {
	t.observeTime(now)
	old := t.peers[peer]
	for id, work := range old.Work {
		if _, ok := state.Work[id]; !ok {
			t.addPeerWork(id, work, Work{})
		}
	}
	for id, work := range state.Work {
		if before := old.Work[id]; before != work {
			t.addPeerWork(id, before, work)
		}
	}
	t.peers[peer] = receivedPeerState{receivedAt: now, PeerState: state}
	delete(t.reportingPeers, peer)
	if len(state.FailureRates) > 0 {
		t.reportingPeers[peer] = true
	}
}

// RemovePeer removes the state of a peer.
func (t *Table) RemovePeer(peer string) {
	if old, ok := t.peers[peer]; ok {
		for id, work := range old.Work {
			t.addPeerWork(id, work, Work{})
			if target, ok := t.targets[id]; ok {
				// It is not known whether these prompts were ever read.
				target.recentTokens = max(0, target.recentTokens-float64(work.PrefillTokens)*t.recentUnit())
			}
		}
		delete(t.peers, peer)
		delete(t.reportingPeers, peer)
	}
}

// addPeerWork replaces the work of a peer at a target.
func (t *Table) addPeerWork(id request.TargetID, before, after Work) {
	total := t.peerWork[id]
	total.add(after)
	total.subtract(before)
	if total == (Work{}) {
		delete(t.peerWork, id)
	} else {
		t.peerWork[id] = total
	}
	target, ok := t.targets[id]
	if !ok {
		return
	}
	target.peerWork = total
	if after.PrefillTokens != before.PrefillTokens {
		target.prefillChanges++
		t.addRecent(target, after.PrefillTokens-before.PrefillTokens)
	}
}

// expirePeers removes the state of peers that sent no update for too long.
func (t *Table) expirePeers(now time.Time) {
	for peer, state := range t.peers {
		if now.Sub(state.receivedAt) >= t.peerStateTTL {
			t.RemovePeer(peer)
		}
	}
}

// LocalWork returns this entry's work at the target.
func (t *Target) LocalWork() Work { return t.localWork }

// LocalWork returns this entry's work at each target where it has any.
func (t *Table) LocalWork() map[request.TargetID]Work {
	work := map[request.TargetID]Work{}
	for id, target := range t.targets {
		if target.localWork != (Work{}) {
			work[id] = target.localWork
		}
	}
	return work
}

// MarkDown records that a target failed. It gets no work for a period that grows with the
// number of consecutive failures.
func (t *Table) MarkDown(now time.Time, id request.TargetID) {
	target, ok := t.targets[id]
	if !ok || now.Before(target.downUntil) {
		return
	}
	target.downUntil = now.Add(min(maxDownPeriod, baseDownPeriod<<min(target.consecutiveFailures, 8)))
	target.consecutiveFailures++
}

// ProbeDue returns the targets whose probe is due, ordered by ID. Those that drain or asked
// for no requests get no work after a probe either, so they are left alone.
func (t *Table) ProbeDue(now time.Time) []request.TargetID {
	var ids []request.TargetID
	for id, target := range t.targets {
		if target.ProbeDue(now) && !target.IsDraining() && !target.BackingOff(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// MarkDownByPeer records that a peer reported a target down. The target gets no work until
// it registers a new incarnation, responds, or peerDownTTL is over.
func (t *Table) MarkDownByPeer(now time.Time, id request.TargetID) {
	if target, ok := t.targets[id]; ok {
		target.downByPeerUntil = now.Add(peerDownTTL)
	}
}

// MarkReplaced records that another target responds at the address of this one, and
// reports whether that was not known before.
func (t *Table) MarkReplaced(id request.TargetID) bool {
	target, ok := t.targets[id]
	if !ok || target.replaced {
		return false
	}
	target.replaced = true
	return true
}

// RecordResponse records a response that the target itself produced; failed means that the
// response reports a failure of the target.
func (t *Table) RecordResponse(now time.Time, id request.TargetID, failed bool, load *request.Load) {
	target, ok := t.targets[id]
	if !ok {
		return
	}
	target.downUntil, target.downByPeerUntil, target.consecutiveFailures = time.Time{}, time.Time{}, 0
	target.failureRate.record(now, failed, failureRateWeight)
	if load != nil {
		target.applicationLoad.record(now, *load, max(1, target.Slots), target.InFlight)
	}
}

// totalWork returns the work of all entries at a target.
func (t *Table) totalWork(target *Target) Work {
	total := target.localWork
	total.add(target.peerWork)
	return total
}

// affinity ranks the targets for a session; all entries compute the same ranks.
func affinity(session string, id request.TargetID) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(session)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
