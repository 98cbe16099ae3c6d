// Package quarantine finds the prompt parts on which engines crash, so that requests with
// such a part are no longer sent to engines. It does no I/O and reads no clock.
//
// It is designed for requests that share a part on which every engine crashes as it begins
// to respond: passed on from engine to engine, each of them ends several. The engines also
// lose sound requests, which share other parts with those or only waited there, and many
// sound requests at once when a failure domain fails. None of these may be quarantined.
//
// A part is suspected by the crashes of engines that had requests with it, and cleared by
// each request with it that an engine survived: of the crashes, only those after the start
// of that request still count.
package quarantine

import (
	"slices"
	"time"
	"unicode/utf8"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// SurvivalPeriod is how long an engine has to go on responding to a request until it
	// has survived it. Engines that crash on a part do so within some steps.
	SurvivalPeriod = time.Second
	// correlatedInterval is the time within which crashes count as one. A fault of a failure
	// domain ends many engines at the same time, and entries see that at different times.
	correlatedInterval = 250 * time.Millisecond
	// crashTTL is how long a crash is remembered, soundTTL how long a part counts as sound
	// after the last request with it that was survived.
	crashTTL = 10 * time.Minute
	soundTTL = 10 * time.Minute
	// quarantinePeriod is the first period of a quarantine. If an engine crashes on the part
	// soon after it, the next period is twice as long, up to maxQuarantinePeriod.
	quarantinePeriod    = 10 * time.Minute
	maxQuarantinePeriod = 2 * time.Hour
	// maxCrashes, maxSoundParts and maxParts bound what is remembered; the oldest is
	// forgotten first. The parts in quarantine fit into a datagram.
	maxCrashes    = 64
	maxSoundParts = 4096
	maxParts      = 128
	// maxPartBytes limits the service and the ID of a part that another process reports.
	maxPartBytes = 200
	// retractionMargin is how much the times of a quarantine may differ among entries, because
	// reports arrive late.
	retractionMargin = time.Second
	// MaxSuspects is how many requests of one crash are remembered.
	MaxSuspects = 8
	// reportDelay is how long after a crash the requests that only waited begin to count: by
	// then the other entries have reported the ones to which the engine had begun to respond.
	reportDelay = 500 * time.Millisecond
	// survivalDelay is how long after the first crash a part that engines have survived before
	// may be quarantined: by then the entries know of requests that started after it.
	survivalDelay = SurvivalPeriod + reportDelay
)

// Part identifies a part of prompts of one service.
type Part struct {
	Service string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
}

// Valid reports whether the part may be one that an entry found.
func (p Part) Valid() bool {
	valid := func(text string) bool { return text != "" && len(text) <= maxPartBytes && utf8.ValidString(text) }
	return valid(p.Service) && valid(p.ID)
}

// Suspect is a request that was lost when its engine crashed.
type Suspect struct {
	// Parts lists the IDs of the parts of the prompt, in order. The last belongs to the
	// request or its session.
	Parts []string `cbor:"1,keyasint"`
	// Started reports whether the engine had just begun to respond: no event had arrived
	// yet. The others are suspected if no request had, and by more crashes.
	Started bool `cbor:"2,keyasint,omitempty"`
}

// Crash is the crash of an engine as one entry saw it. Requests that the engine had survived
// before are not among the suspects.
type Crash struct {
	Service     string              `cbor:"1,keyasint"`
	Target      request.TargetID    `cbor:"2,keyasint"`
	Incarnation request.Incarnation `cbor:"3,keyasint"`
	Suspects    []Suspect           `cbor:"4,keyasint"`
}

// Limit drops suspects beyond MaxSuspects, first the ones that only waited.
func (c *Crash) Limit() {
	slices.SortStableFunc(c.Suspects, func(a, b Suspect) int {
		switch {
		case a.Started == b.Started:
			return 0
		case a.Started:
			return -1
		default:
			return 1
		}
	})
	c.Suspects = c.Suspects[:min(len(c.Suspects), MaxSuspects)]
}

// PartBytes returns the size of the IDs of the suspects' parts.
func (c *Crash) PartBytes() int {
	size := 0
	for _, s := range c.Suspects {
		for _, id := range s.Parts {
			size += len(id)
		}
	}
	return size
}

// Record is the quarantine of a part.
type Record struct {
	Part
	// From is the time of the first crash that counted, Until the end of the quarantine.
	From, Until time.Time
	// Stored is set if it is known from the store alone: no entry that was asked has evidence.
	Stored bool
}

// Survival says that an engine survived a request with the part, to which it had begun to
// respond at StartedAt.
type Survival struct {
	Part
	StartedAt time.Time
}

// incarnation identifies one run of an engine.
type incarnation struct {
	target request.TargetID
	number request.Incarnation
}

// crash holds what all entries reported of the crash of one engine.
type crash struct {
	at      time.Time
	service string
	// suspects maps the last parts of the prompts to the requests.
	suspects map[string]Suspect
}

// quarantined is a part in quarantine, or one that was until recently.
type quarantined struct {
	from, until time.Time
	period      time.Duration
	// revisable is set while all crashes that led to it are known here: it ends if another
	// part turns out to explain them.
	revisable bool
	// waited is set if requests that only waited led to it. A late report may then show that
	// a part which was in quarantine before explains their crashes.
	waited bool
	// stored is set if it is known from the store alone.
	stored bool
}

// Tracker holds the crashes of engines and the parts in quarantine.
type Tracker struct {
	crashes map[incarnation]*crash
	// suspected holds the parts of all suspects, or is nil if crashes have changed since.
	suspected map[Part]struct{}
	// survivals maps parts to the start of the last request that an engine survived.
	survivals *simplelru.LRU[Part, time.Time]
	parts     map[Part]quarantined
	// services maps the IDs of these parts to the services that have them.
	services map[string][]string
	// changed is set when there is evidence that has not been evaluated, changedAt is when
	// the last came. settlesAt is when more of the evidence counts without a change, if not zero.
	changed              bool
	changedAt, settlesAt time.Time
}

// New returns a tracker without crashes.
func New() *Tracker {
	survivals, err := simplelru.NewLRU[Part, time.Time](maxSoundParts, nil)
	if err != nil {
		panic(errors.Wrap(err, "quarantine"))
	}
	return &Tracker{crashes: map[incarnation]*crash{}, survivals: survivals, parts: map[Part]quarantined{}, services: map[string][]string{}}
}

// RecordCrash adds what an entry reports of a crash that it saw at the given time. Evaluate
// tells what follows from it.
func (t *Tracker) RecordCrash(now, at time.Time, report Crash) {
	key := incarnation{target: report.Target, number: report.Incarnation}
	c, ok := t.crashes[key]
	if !ok {
		c = &crash{at: at, service: report.Service, suspects: map[string]Suspect{}}
		t.crashes[key] = c
		t.removeOldestCrash()
	}
	for _, s := range report.Suspects {
		if len(s.Parts) == 0 {
			continue
		}
		last := s.Parts[len(s.Parts)-1]
		known, ok := c.suspects[last]
		if ok && (known.Started || !s.Started) || !ok && !c.makeRoom(s) {
			continue
		}
		c.suspects[last] = s
		t.suspected = nil
		t.changed, t.changedAt = true, now
		if t.settlesAt.IsZero() {
			t.settlesAt = now.Add(reportDelay)
		}
	}
}

// makeRoom reports whether there is room for another suspect. One that had started replaces one
// that only waited.
func (c *crash) makeRoom(s Suspect) bool {
	if len(c.suspects) < MaxSuspects {
		return true
	}
	if !s.Started {
		return false
	}
	waiting := ""
	for last, other := range c.suspects {
		if !other.Started && (waiting == "" || last < waiting) {
			waiting = last
		}
	}
	delete(c.suspects, waiting)
	return waiting != ""
}

func (t *Tracker) removeOldestCrash() {
	if len(t.crashes) <= maxCrashes {
		return
	}
	var oldest incarnation
	for key, c := range t.crashes {
		if first, ok := t.crashes[oldest]; !ok || c.at.Before(first.at) {
			oldest = key
		}
	}
	t.forget(oldest)
}

// forget removes a crash, after which the quarantines that it led to stay as they are.
func (t *Tracker) forget(key incarnation) {
	c := t.crashes[key]
	delete(t.crashes, key)
	t.suspected = nil
	for part, q := range t.parts {
		if q.revisable && part.Service == c.service && c.concerns(part.ID) {
			q.revisable = false
			t.parts[part] = q
		}
	}
}

// RetractCrash forgets a crash before the given time: a probe that was sent then found the same
// incarnation, so that it was out of reach. It returns the survivals that release parts because
// of it, here and at the other entries.
func (t *Tracker) RetractCrash(now, probedAt time.Time, target request.TargetID, number request.Incarnation) []Survival {
	key := incarnation{target: target, number: number}
	c, ok := t.crashes[key]
	if !ok || !c.at.Before(probedAt) {
		return nil
	}
	delete(t.crashes, key)
	t.suspected = nil
	var released []Survival
	for part, q := range t.parts {
		if part.Service != c.service || !c.concerns(part.ID) || !now.Before(q.until) {
			continue
		}
		if !t.justified(now, part, nil) {
			released = append(released, t.release(part, later(c.at, q.from.Add(retractionMargin))))
		}
	}
	return released
}

// release ends a quarantine, as if a request with the part had been survived at the given time:
// what others still report of it is not adopted again.
func (t *Tracker) release(part Part, at time.Time) Survival {
	t.remove(part)
	t.survivals.Add(part, at)
	return Survival{Part: part, StartedAt: at}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// concerns reports whether a suspect of the crash has the part.
func (c *crash) concerns(part string) bool {
	for _, s := range c.suspects {
		if slices.Contains(s.Parts, part) {
			return true
		}
	}
	return false
}

// RecordSurvival records that an engine survived a request with the given parts. It returns
// the parts that are released because of it.
func (t *Tracker) RecordSurvival(startedAt time.Time, service string, parts []string) []Part {
	suspected := t.Suspected(service, parts)
	var released []Part
	for i, id := range parts {
		part := Part{Service: service, ID: id}
		// The last part belongs to one request, and most are never seen again.
		if i < len(parts)-1 || slices.Contains(suspected, part) {
			released = append(released, t.RecordPeerSurvival(Survival{Part: part, StartedAt: startedAt})...)
		}
	}
	return released
}

// RecordPeerSurvival is RecordSurvival for one part of which another entry told.
func (t *Tracker) RecordPeerSurvival(s Survival) []Part {
	if last, ok := t.survivals.Get(s.Part); ok && !s.StartedAt.After(last) {
		return nil
	}
	t.survivals.Add(s.Part, s.StartedAt)
	if q, ok := t.parts[s.Part]; ok && s.StartedAt.After(q.from) {
		t.remove(s.Part)
		return []Part{s.Part}
	}
	return nil
}

// Suspected returns those of the parts that are in quarantine or that a suspect of a crash has.
func (t *Tracker) Suspected(service string, parts []string) []Part {
	if t.suspected == nil {
		t.indexSuspects()
	}
	var suspected []Part
	for _, id := range parts {
		part := Part{Service: service, ID: id}
		_, quarantined := t.parts[part]
		if _, found := t.suspected[part]; found || quarantined {
			suspected = append(suspected, part)
		}
	}
	return suspected
}

func (t *Tracker) indexSuspects() {
	t.suspected = map[Part]struct{}{}
	for _, c := range t.crashes {
		for _, s := range c.suspects {
			for _, id := range s.Parts {
				t.suspected[Part{Service: c.service, ID: id}] = struct{}{}
			}
		}
	}
}

// Survivals returns the survived requests with the given parts that are known.
func (t *Tracker) Survivals(now time.Time, service string, parts []string) []Survival {
	var survivals []Survival
	for _, id := range parts {
		part := Part{Service: service, ID: id}
		if at, ok := t.survived(now, part); ok {
			survivals = append(survivals, Survival{Part: part, StartedAt: at})
		}
	}
	return survivals
}

// Quarantined returns the parts in quarantine, in no order.
func (t *Tracker) Quarantined(now time.Time) []Record {
	var records []Record
	for part, q := range t.parts {
		if now.Before(q.until) {
			records = append(records, Record{Part: part, From: q.from, Until: q.until, Stored: q.stored})
		}
	}
	return records
}

// survived returns when the last request with the part that an engine survived started.
func (t *Tracker) survived(now time.Time, part Part) (time.Time, bool) {
	at, ok := t.survivals.Peek(part)
	return at, ok && now.Sub(at) < soundTTL
}

// Find returns the quarantine of the first of the parts that is in one. A part that engines of
// another service crash on counts unless those of this service have survived it: requests move
// between services that run the same model.
func (t *Tracker) Find(now time.Time, service string, parts []string) (Record, bool) {
	if len(t.parts) == 0 {
		return Record{}, false
	}
	for _, id := range parts {
		part := Part{Service: service, ID: id}
		if r, ok := t.record(now, part); ok {
			return r, true
		}
		if _, survived := t.survived(now, part); survived {
			continue
		}
		for _, other := range t.services[id] {
			if r, ok := t.record(now, Part{Service: other, ID: id}); ok {
				return r, true
			}
		}
	}
	return Record{}, false
}

// record returns the quarantine of a part.
func (t *Tracker) record(now time.Time, part Part) (Record, bool) {
	q, ok := t.parts[part]
	if !ok || !now.Before(q.until) {
		return Record{}, false
	}
	return Record{Part: part, From: q.from, Until: q.until, Stored: q.stored}, true
}

// Adopt adds a part that another entry has quarantined, and reports whether it was not in
// quarantine. A report arrives late and would move the times of a known part by the delay with
// each entry that passes it on: the end stays, the first crash is the earliest that was reported.
func (t *Tracker) Adopt(now time.Time, r Record) bool {
	if last, ok := t.survived(now, r.Part); ok && last.After(r.From) || !now.Before(r.Until) || !r.Valid() {
		return false
	}
	known, ok := t.parts[r.Part]
	if ok && (now.Before(known.until) || r.From.Before(known.until)) {
		if r.From.Before(known.from) {
			known.from = r.From
		}
		known.stored = known.stored && r.Stored
		t.parts[r.Part] = known
		return false
	}
	until := r.Until
	if limit := now.Add(maxQuarantinePeriod); until.After(limit) {
		until = limit
	}
	t.add(r.Part, quarantined{from: r.From, until: until, period: max(quarantinePeriod, known.period), stored: r.Stored})
	return true
}

// Released reports whether an engine has survived the part of a record since it was quarantined.
func (t *Tracker) Released(now time.Time, r Record) bool {
	last, ok := t.survived(now, r.Part)
	return ok && last.After(r.From)
}

func (t *Tracker) add(part Part, q quarantined) {
	if _, known := t.parts[part]; !known {
		if len(t.parts) >= maxParts {
			t.removeFirstToEnd()
		}
		t.services[part.ID] = append(t.services[part.ID], part.Service)
	}
	t.parts[part] = q
}

func (t *Tracker) remove(part Part) {
	delete(t.parts, part)
	services := slices.DeleteFunc(t.services[part.ID], func(service string) bool { return service == part.Service })
	if t.services[part.ID] = services; len(services) == 0 {
		delete(t.services, part.ID)
	}
}

func (t *Tracker) removeFirstToEnd() {
	var first Part
	for part, q := range t.parts {
		if f, ok := t.parts[first]; !ok || q.until.Before(f.until) {
			first = part
		}
	}
	t.remove(first)
}
