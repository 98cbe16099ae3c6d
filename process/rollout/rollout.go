// Package rollout moves the traffic of a service from the versions that run to a new one, on an
// operator's order, and back if the new version turns out to be bad.
//
// Each entry has a Tracker. It follows the order, the record of progress and the status in the
// platform's store, assigns each attempt to a version, counts the responses of the versions, and
// exchanges the counts with the other entries. Any entry may write the next record; the conditions
// of the transaction alone make that safe.
//
// The package does no I/O and reads no clock. It is designed for these load patterns: many entries
// that each see too few responses to judge a version, storms that hit both versions alike, and
// versions that fail only at times, under load, or on one route.
package rollout

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/process/storesync"
)

// Limits are the operators' bounds on roll-outs.
type Limits struct {
	// CanaryShare of the requests of a service, plus CanarySlack requests, is the most that a bad
	// version may get. Roll-outs are not served if the share is zero.
	CanaryShare float64
	CanarySlack int
	// RollbackWithin is how soon after its 50th bad response a version must get no more requests.
	RollbackWithin time.Duration
}

// Enabled reports whether roll-outs are served.
func (l Limits) Enabled() bool { return l.CanaryShare > 0 }

// Order is an operator's order to move a service to a version.
type Order struct {
	Service, Version string
	// Duration is the time limit, counted from the writing of the order.
	Duration time.Duration
	// Revision and Era are the position in the store at which the order was written.
	Revision, Era int64
	// Listed is set if the order was there when this entry started, so that its age is unknown.
	Listed bool
}

// Position returns the position at which the order was written.
func (o *Order) Position() storesync.Position {
	return storesync.Position{Era: o.Era, Revision: o.Revision}
}

// Stage is how far a roll-out is.
type Stage uint8

// The stages of a roll-out.
const (
	// Canary means that a small share goes to the new version.
	Canary Stage = iota + 1
	// Ramping means that the share grows with each step.
	Ramping
	// Moved means that all new requests go to the new version, and what runs on the old ones ends.
	Moved
	// Completed means that the old versions get nothing any more.
	Completed
	// RolledBack means that the new version gets nothing any more.
	RolledBack
)

var stageNames = [...]string{Canary: "canary", Ramping: "ramping", Moved: "moved", Completed: "completed", RolledBack: "rolled_back"}

// String returns the name of s for logs and records.
func (s Stage) String() string {
	if s < Canary || s > RolledBack {
		return "none"
	}
	return stageNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Stage) UnmarshalText(text []byte) error {
	at := slices.Index(stageNames[:], string(text))
	if at < int(Canary) {
		return errors.New("unknown stage")
	}
	*s = Stage(at)
	return nil
}

// terminal reports whether the roll-out has ended.
func (s Stage) terminal() bool { return s >= Completed }

// Record is the progress of a roll-out, as the store holds it.
type Record struct {
	// Order is the revision of the order.
	Order   int64  `json:"order" cbor:"1,keyasint"`
	Version string `json:"version" cbor:"2,keyasint"`
	// Baseline lists the versions from which traffic is moved.
	Baseline []string `json:"baseline" cbor:"3,keyasint"`
	// Excluded lists versions that get nothing because of earlier orders: those that were rolled
	// back, superseded before they were known to be good, or replaced.
	Excluded []string `json:"excluded,omitempty" cbor:"4,keyasint,omitempty"`
	Stage    Stage    `json:"stage" cbor:"5,keyasint"`
	Step     int      `json:"step,omitempty" cbor:"6,keyasint,omitempty"`
	// StartedAt is when the order was first seen, in Unix milliseconds of the clock of the entry
	// that wrote the first record.
	StartedAt int64 `json:"startedAt" cbor:"7,keyasint"`
	// Reason is why the roll-out was rolled back.
	Reason string `json:"reason,omitempty" cbor:"8,keyasint,omitempty"`
}

// maxRecordVersions limits the versions that a record names; a service has few at a time.
const maxRecordVersions = 16

// DecodeRecord decodes the value of a record. Other writers may leave anything there.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, errors.New("the value is not a record")
	}
	return record, record.check()
}

func (r Record) check() error {
	switch {
	case r.Order <= 0 || r.Version == "":
		return errors.New("the record names no order or version")
	case r.Stage < Canary || r.Stage > RolledBack || r.Step < 0 || r.Step >= len(rampShares):
		return errors.New("unknown stage or step")
	case len(r.Baseline) > maxRecordVersions || len(r.Excluded) > maxRecordVersions:
		return errors.Errorf("more than %d versions", maxRecordVersions)
	case len(r.Reason) > maxReasonBytes:
		return errors.Errorf("a reason of more than %d bytes", maxReasonBytes)
	case slices.Contains(r.Baseline, r.Version) || slices.Contains(r.Excluded, r.Version):
		return errors.New("the version is to be replaced by itself")
	}
	return nil
}

// Encode returns the value of a record.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.WithStack(err)
}

// State is the state of a roll-out as its status names it.
type State uint8

// The states of a roll-out.
const (
	Running State = iota + 1
	StateCompleted
	StateRolledBack
)

// Status is what operators are told about a roll-out.
type Status struct {
	State  State
	Target string
}

// rollout is what an entry knows about the roll-out of one service.
type rollout struct {
	service string
	// order is the order that holds; its version is "" if there is none. orderPosition is that of its
	// key, also if that holds no order any more, with revision 0 if it is removed. formerRevisions
	// are those that the order had in earlier eras.
	order           Order
	orderPosition   storesync.Position
	formerRevisions []int64
	// pending is what the store holds instead of the order since it came back from an older copy,
	// until settlesAt.
	pending   *pendingOrder
	settlesAt time.Time
	// seenAt is when the order was first seen by any entry, as far as is known. ageKnown is set
	// once that does not rest on this entry's own start alone; learnedAt is when this entry first
	// saw the order.
	seenAt, learnedAt time.Time
	ageKnown          bool
	// registered lists the versions that were registered when the order was seen.
	registered []string

	// record is the present one, its order is 0 if there is none; recordPosition is that of its key,
	// with revision 0 if there is none. recordSeen is the last position at which the key is known to
	// have changed. unwritten is set while the store does not hold the record, because it came back
	// from an older copy.
	record                     Record
	recordPosition, recordSeen storesync.Position
	unwritten                  bool
	// followedSince is when this entry learned of the present record.
	followedSince  time.Time
	canarySince    time.Time
	status         Status
	statusPosition storesync.Position

	traffic  traffic
	evidence evidence
	peers    map[string]peerReport
	// rejected is why the version gets nothing any more, as this entry or a peer found from the
	// evidence; "" if it has not been found bad.
	rejected string
	// heldBack is the version of a superseded record that was found to be bad.
	heldBack string
	// suspected is set while the recent evidence is against the version, but not conclusive; since
	// suspectedSince.
	suspected      bool
	suspectedSince time.Time
	// manyBadSince is since when it is suspected for more than manyBad responses.
	manyBadSince time.Time
	// runningOld counts what runs here on old versions, longest is the longest time for which a
	// request of the service has run, at any entry.
	runningOld int
	longest    time.Duration
	// closed is the promise to the other entries to start nothing on old versions any more.
	closed bool
	// idleSince is since when all new requests go to the new version and nothing runs on old ones.
	idleSince time.Time
	// oldReplicas and newReplicas count the usable replicas of the versions.
	oldReplicas, newReplicas int

	write write
}

// Tracker is what an entry knows about the roll-outs of all services.
type Tracker struct {
	limits   Limits
	self     string
	services map[string]*rollout
	// entries is the number of entries that share the slack.
	entries int
	// era is that of the store; reading is set while what it holds in a new era is being applied.
	era     int64
	reading bool
}

// New returns a tracker of an entry without roll-outs.
func New(limits Limits, self string) *Tracker {
	return &Tracker{limits: limits, self: self, services: map[string]*rollout{}, entries: 1}
}

// SetLimits changes the bounds. Without a share nothing is restricted any more. What was counted is
// kept.
func (t *Tracker) SetLimits(limits Limits) {
	t.limits = limits
	t.SetEntries(t.entries)
}

// Active reports whether there is anything to do for roll-outs.
func (t *Tracker) Active() bool { return len(t.services) > 0 && t.limits.Enabled() }

// Known reports whether the service has or had a roll-out.
func (t *Tracker) Known(service string) bool { return t.services[service] != nil && t.limits.Enabled() }

// Names returns the services that have or had a roll-out.
func (t *Tracker) Names() []string { return slices.Sorted(maps.Keys(t.services)) }

func (t *Tracker) ensure(service string) *rollout {
	r, ok := t.services[service]
	if !ok {
		r = &rollout{service: service, peers: map[string]peerReport{}}
		t.services[service] = r
	}
	return r
}

// get returns the roll-out of a service, or nil if it has none or roll-outs are not served.
func (t *Tracker) get(service string) *rollout {
	if !t.limits.Enabled() {
		return nil
	}
	return t.services[service]
}

// ApplyOrder learns of an order. registered lists the versions of the registered targets of the
// service.
func (t *Tracker) ApplyOrder(now time.Time, order Order, registered []string) {
	r, position := t.ensure(order.Service), order.Position()
	t.era = max(t.era, position.Era)
	if !position.After(r.orderPosition) {
		return
	}
	if r.sameOrder(now, order) {
		r.rebind(order)
		return
	}
	if r.hold(now, position, pendingOrder{order: order, registered: slices.Clone(registered)}) {
		return
	}
	r.order, r.orderPosition, r.formerRevisions = order, position, nil
	r.seenAt, r.learnedAt, r.ageKnown = now, now, !order.Listed
	r.registered = slices.Clone(registered)
	if r.heldBack = ""; r.rejected != "" {
		r.heldBack = r.record.Version
	}
	r.reset()
	hash := xxhash.Sum64String(t.self + "/" + order.Service)
	r.traffic.start(hash^uint64(order.Revision)*0x9e3779b97f4a7c15, t.slackPart())
}

// reset forgets what was counted for an earlier order.
func (r *rollout) reset() {
	r.traffic, r.evidence, r.peers = traffic{}, evidence{}, map[string]peerReport{}
	r.rejected, r.suspected, r.closed, r.longest, r.write = "", false, false, 0, write{}
	r.canarySince, r.manyBadSince = time.Time{}, time.Time{}
}

// RemoveOrder learns that the key of a service's order was removed, or holds no order any more, at the
// given position, whose revision is 0 if it was removed. A roll-out that runs is rolled back.
func (t *Tracker) RemoveOrder(now time.Time, service string, position storesync.Position) {
	r, ok := t.services[service]
	t.era = max(t.era, position.Era)
	if !ok || position.Era < r.orderPosition.Era || position.Revision > 0 && !position.After(r.orderPosition) {
		return
	}
	none := Order{Service: service, Revision: position.Revision, Era: position.Era}
	if r.hold(now, position, pendingOrder{order: none}) {
		return
	}
	r.order, r.orderPosition, r.formerRevisions = none, position, nil
	r.learnedAt, r.write = now, write{}
}

// ApplyRecord learns of a record at the given position.
func (t *Tracker) ApplyRecord(now time.Time, service string, record Record, position storesync.Position) {
	if record.check() != nil {
		return
	}
	r := t.ensure(service)
	t.era = max(t.era, position.Era)
	if !position.After(r.recordSeen) {
		return
	}
	mayBeOlder := r.unwritten || position.Era > r.recordSeen.Era && !r.recordSeen.IsZero()
	before := r.record
	record, renamed := r.inEra(record)
	r.recordPosition, r.recordSeen = position, position
	r.write.settle()
	if r.unwritten = renamed; mayBeOlder && r.keepsRecord(record) {
		r.unwritten = true
		return
	}
	r.record = record
	if !sameProgress(before, record) {
		r.followedSince = now
	}
	if record.Order != before.Order {
		r.canarySince = now
		r.evidence.reset()
		r.rejected, r.suspected, r.heldBack = "", false, ""
	}
	if record.Stage != Moved {
		r.closed = false
	}
}

// RemoveRecord learns that the key of the record was removed, or since a change at the given
// position holds no record (unreadable). The roll-out starts again if its order holds, unless the
// store came back from an older copy: then the record is written again.
func (t *Tracker) RemoveRecord(service string, position storesync.Position, unreadable bool) {
	r, ok := t.services[service]
	t.era = max(t.era, position.Era)
	if !ok || r.recordSeen.After(position) {
		return
	}
	older := r.unwritten || position.Era > r.recordSeen.Era
	r.recordPosition, r.recordSeen = storesync.Position{Era: position.Era}, position
	if unreadable {
		r.recordPosition = position
	}
	r.write.settle()
	if older && r.record.Order > 0 {
		r.unwritten = true
		return
	}
	r.record = Record{}
}

// ApplyStatus learns of the status at the given position.
func (t *Tracker) ApplyStatus(service string, status Status, position storesync.Position) {
	r := t.ensure(service)
	t.era = max(t.era, position.Era)
	if position.After(r.statusPosition) {
		r.status, r.statusPosition = status, position
		r.write.settle()
	}
}

// RemoveStatus learns that the status was removed.
func (t *Tracker) RemoveStatus(service string) {
	if r, ok := t.services[service]; ok {
		r.status, r.statusPosition = Status{}, storesync.Position{Era: t.era}
	}
}

// recorded reports whether the record is that of the order that holds.
func (r *rollout) recorded() bool {
	return r.record.Order > 0 && r.order.Version != "" && r.record.Order == r.order.Revision
}

// running reports whether a roll-out has been recorded and has not ended.
func (r *rollout) running() bool { return r.record.Order > 0 && !r.record.Stage.terminal() }

// age returns how long ago the order was first seen.
func (r *rollout) age(now time.Time) time.Duration { return max(0, now.Sub(r.seenAt)) }
