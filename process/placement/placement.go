// Package placement is the deciding core that chooses the target of an attempt and
// of the copy of its memory. Every entry keeps a table of all targets with its own
// work there and what the other entries said of theirs, so that many entries place
// as one.
//
// The package does no I/O and reads no clock. The load patterns that it answers:
// many entries that each see few requests (herd), a failure domain that is lost
// and comes back empty, and targets that are full.
package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// promptRate is how many prompt tokens an engine reads in a millisecond until
	// one has been timed; the order of magnitude of current engines.
	promptRate = 8.0
	// rateWeight is the weight of one timed prompt in the estimate of that rate.
	rateWeight = 0.1
	// decodeTokens is what a running answer costs a new prompt, in prompt tokens. The
	// reading of a prompt of 8,000 tokens holds an answer up for some 0.8 s, that is
	// 6,400 tokens; a delay before the first event weighs twice one after it, since
	// answers that have begun have copies.
	decodeTokens = 3000
	// alikeTokens is the difference in cost below which targets count as alike, and
	// the one that has seen the session before is taken.
	alikeTokens = 600
	// fullTokens is the cost of a target whose memory has no room for the prompt:
	// it would wait for another answer to end, or preempt one.
	fullTokens = 40000
	// memoryMargin is the part of an engine's memory that new prompts leave to the
	// growth of running answers and to resumes.
	memoryMargin = 0.1
	// downFor is how long a target is left alone after a loss, doubled with each loss
	// in a row up to downMost.
	downFor  = 700 * time.Millisecond
	downMost = 3 * time.Second
	// hintLife is how long another entry's word that a target is dead is believed: a
	// process takes a second or two to start anew and register.
	hintLife = 3 * time.Second
	// peerLife is how long another entry's word on its work is believed without a
	// newer one; entries repeat it several times in that time.
	peerLife = 2 * time.Second
	// loadLife is how long a reported load counts.
	loadLife = 200 * time.Millisecond
)

// Registration is what a target says of itself.
type Registration struct {
	request.Endpoint
	Service       string
	FailureDomain string
	Slots         int
	// Draining targets take no new work.
	Draining bool
	// Incarnation is the start of the target; a later one knows nothing of before.
	Incarnation request.Incarnation
}

// Work is what one entry has at one target.
type Work struct {
	// PrefillTokens counts the prompt tokens of attempts that have not begun to answer.
	PrefillTokens int
	// Decoding counts the attempts that have begun to answer.
	Decoding int
	// MemoryTokens counts the tokens in the target's memory, copies included.
	MemoryTokens int
}

func (w *Work) add(other Work) {
	w.PrefillTokens += other.PrefillTokens
	w.Decoding += other.Decoding
	w.MemoryTokens += other.MemoryTokens
}

// Target is one life of one target.
type Target struct {
	Registration
	// InFlight counts this entry's attempts.
	InFlight int
	own      Work
	// downUntil is set after a loss; the target is on trial from then on until it
	// answers.
	downUntil time.Time
	losses    int
	// gone says that another target answers at the address.
	gone bool
	// hinted is until when the target is left alone on the word of another entry.
	hinted   time.Time
	failures failures
	load     request.Load
	loadAt   time.Time
	engine   bool
	memory   int
}

// Down says whether the target is left alone after a loss.
func (t *Target) Down(now time.Time) bool {
	return t.gone || now.Before(t.downUntil) || now.Before(t.hinted)
}

// Trial says that the target was left alone for long enough after a loss to be
// asked whether it lives.
func (t *Target) Trial(now time.Time) bool { return t.AwaitingProbe() && !t.Down(now) }

// AwaitingProbe says that the target was lost and has not answered since.
func (t *Target) AwaitingProbe() bool { return t.losses > 0 }

// PeerState is what another entry says of the targets.
type PeerState struct {
	// Work is what it has there, Failing the share of failures that it saw.
	Work         map[request.TargetID]Work
	FailureRates map[request.TargetID]float64
}

// peerWord is the last word of another entry.
type peerWord struct {
	PeerState
	at time.Time
}

// Table holds the targets of all services.
type Table struct {
	targets map[request.TargetID]*Target
	// services lists the targets of each service, ordered by id.
	services map[string][]*Target
	// addresses lists the targets that registered each address: lives of one target, of
	// which all but the last have yet to lapse.
	addresses map[string][]*Target
	// memories holds the memory, in tokens, of the engines of each service that has them.
	memories map[string]int
	peers    map[string]peerWord
	rate     float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		targets:   map[request.TargetID]*Target{},
		services:  map[string][]*Target{},
		addresses: map[string][]*Target{},
		memories:  map[string]int{},
		peers:     map[string]peerWord{},
		rate:      promptRate,
	}
}

// Register adds a target or takes up what changed of it. A new incarnation starts
// without the losses of the one before.
func (t *Table) Register(r Registration) *Target {
	target, ok := t.targets[r.ID]
	if ok && target.Service != r.Service {
		t.Remove(r.ID)
		ok = false
	}
	if !ok {
		target = &Target{Registration: r}
		t.targets[r.ID] = target
		list := t.services[r.Service]
		at, _ := slices.BinarySearchFunc(list, r.ID, func(a *Target, id request.TargetID) int {
			return compareIDs(a.ID, id)
		})
		t.services[r.Service] = slices.Insert(list, at, target)
		target.memory, target.engine = t.memory(r.Service)
		t.occupy(target)
		return target
	}
	moved := r.Endpoint != target.Endpoint
	if r.Incarnation != target.Incarnation || moved {
		target.downUntil, target.hinted = time.Time{}, time.Time{}
		target.losses, target.gone, target.failures = 0, false, failures{}
	}
	if moved {
		t.leave(target)
	}
	target.Registration = r
	if moved {
		t.occupy(target)
	}
	return target
}

// memory returns the memory of the engines of a service, if it has engines.
func (t *Table) memory(service string) (int, bool) {
	memory, ok := t.memories[service]
	return memory, ok
}

// occupy notes a target at its address. Those that registered the address before are
// gone: the target there started anew, and the registration of its life before has
// yet to lapse.
func (t *Table) occupy(target *Target) {
	for _, other := range t.addresses[target.Address] {
		if other.Incarnation <= target.Incarnation {
			other.gone = true
		}
	}
	t.addresses[target.Address] = append(t.addresses[target.Address], target)
}

// leave takes a target off its address.
func (t *Table) leave(target *Target) {
	others := slices.DeleteFunc(t.addresses[target.Address], func(other *Target) bool { return other == target })
	if len(others) == 0 {
		delete(t.addresses, target.Address)
		return
	}
	t.addresses[target.Address] = others
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

// Remove forgets a target.
func (t *Table) Remove(id request.TargetID) {
	target, ok := t.targets[id]
	if !ok {
		return
	}
	delete(t.targets, id)
	t.leave(target)
	t.services[target.Service] = slices.DeleteFunc(t.services[target.Service], func(other *Target) bool {
		return other == target
	})
}

// Get returns a target, or nil.
func (t *Table) Get(id request.TargetID) *Target { return t.targets[id] }

// Len returns how many targets there are.
func (t *Table) Len() int { return len(t.targets) }

// DownCount returns how many targets are left alone after a loss.
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

// Engines returns the engines that are up as far as is known, in order.
func (t *Table) Engines() []*Target {
	var engines []*Target
	for _, list := range t.services {
		for _, target := range list {
			if target.engine && !target.Draining {
				engines = append(engines, target)
			}
		}
	}
	slices.SortFunc(engines, func(a, b *Target) int { return compareIDs(a.ID, b.ID) })
	return engines
}

// SetEngineMemory tells the memory, in tokens, of the engines of a service; zero means
// that the service has no engines.
func (t *Table) SetEngineMemory(service string, memory int) {
	if memory > 0 {
		t.memories[service] = memory
	} else {
		delete(t.memories, service)
	}
	for _, target := range t.services[service] {
		target.memory, target.engine = t.memory(service)
	}
}

// UpdatePeer notes what another entry says, as of now.
func (t *Table) UpdatePeer(now time.Time, peer string, word PeerState) {
	t.peers[peer] = peerWord{at: now, PeerState: word}
}

// RemovePeer forgets another entry.
func (t *Table) RemovePeer(peer string) { delete(t.peers, peer) }

// LocalWork returns this entry's work at the target.
func (t *Target) LocalWork() Work { return t.own }

// LocalWork returns this entry's work at all targets where it has any.
func (t *Table) LocalWork() map[request.TargetID]Work {
	own := map[request.TargetID]Work{}
	for id, target := range t.targets {
		if target.own != (Work{}) {
			own[id] = target.own
		}
	}
	return own
}

// MarkDown notes that a target failed: it is left alone for a while, the longer the
// more losses there were in a row.
func (t *Table) MarkDown(now time.Time, id request.TargetID) {
	target, ok := t.targets[id]
	if !ok || now.Before(target.downUntil) {
		return
	}
	target.downUntil = now.Add(min(downMost, downFor<<min(target.losses, 8)))
	target.losses++
}

// ProbeDue returns the targets that were left alone for long enough after a loss to
// be asked whether they live, in order.
func (t *Table) ProbeDue(now time.Time) []request.TargetID {
	var ids []request.TargetID
	for id, target := range t.targets {
		if target.Trial(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// MarkDownByPeer notes that another entry found a target dead. It is left alone until it
// registers anew, answers, or hintLife is over.
func (t *Table) MarkDownByPeer(now time.Time, id request.TargetID) {
	if target, ok := t.targets[id]; ok {
		target.hinted = now.Add(hintLife)
	}
}

// MarkReplaced notes that another target answers at the address of this one, and says
// whether that is news.
func (t *Table) MarkReplaced(id request.TargetID) bool {
	target, ok := t.targets[id]
	if !ok || target.gone {
		return false
	}
	target.gone = true
	return true
}

// RecordResponse notes an answer of a target that was its own; failed says that it
// reports a failure of the target.
func (t *Table) RecordResponse(now time.Time, id request.TargetID, failed bool, load *request.Load) {
	target, ok := t.targets[id]
	if !ok {
		return
	}
	target.downUntil, target.hinted, target.losses = time.Time{}, time.Time{}, 0
	target.failures.note(now, failed, failureWeight)
	if load != nil {
		target.load, target.loadAt = *load, now
	}
}

// RecordPrefill notes that a prompt of the given tokens was read in elapsed on a target
// that had nothing else to read.
func (t *Table) RecordPrefill(tokens int, elapsed time.Duration) {
	if tokens <= 0 || elapsed <= 0 {
		return
	}
	t.rate += rateWeight * (float64(tokens)/float64(elapsed.Milliseconds()+1) - t.rate)
}

// ReadTime estimates how long an engine reads so many prompt tokens.
func (t *Table) ReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / t.rate * float64(time.Millisecond))
}

// work sums what all entries have at a target.
func (t *Table) work(now time.Time, target *Target) Work {
	sum := target.own
	for _, peer := range t.peers {
		if now.Sub(peer.at) < peerLife {
			sum.add(peer.Work[target.ID])
		}
	}
	return sum
}

// affinity orders the targets for a session: the same for all entries.
func affinity(session string, id request.TargetID) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(session)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
