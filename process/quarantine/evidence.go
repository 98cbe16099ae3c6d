package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// standard says which evidence suffices for the quarantine of a part.
type standard struct {
	// startedOnly leaves out requests that only waited at the engine.
	startedOnly bool
	// survived admits parts that engines have survived before: such a part was sound, and
	// is harmful only since a change of the engines.
	survived bool
	// crashes is the least number of crashes, requests that of different requests, or
	// repeatedRequests of those that are each lost repeatedly.
	crashes, requests int
	// rivalRequests is how many requests another part has to be in so that it explains
	// their crashes instead.
	rivalRequests int
}

// standards lists the kinds of evidence that suffice. Requests to which the engine had begun
// to respond are rarely there by chance, so that few crashes suffice if no other part of
// these requests explains them.
//
// For example, three engines crash as they begin to respond to the prompts [a x 1], [a x 1] and
// [a x 2]. By the first standard, x is quarantined: its three crashes are of the two requests 1
// and 2. They explain the same crashes of a, which comes before x and is shared more widely.
var standards = []standard{
	{startedOnly: true, crashes: 3, requests: 2, rivalRequests: 1},
	{survived: true, crashes: 5, requests: 3, rivalRequests: 2},
}

const (
	// rivalCrashes is how many crashes another part needs to explain them.
	rivalCrashes = 2
	// sessionCrashes is how many crashes lead to the quarantine of a last part, which
	// belongs to one request or session; sessionCrashesWaiting if it only waited.
	sessionCrashes        = 3
	sessionCrashesWaiting = 5
	// maxCrashesOfRequest is how many crashes of one request count for a part that several
	// have, unless several of these are lost repeatedly: more say something about that request.
	maxCrashesOfRequest = 2
	// repeatedCrashes is how many crashes a request has to be lost in to explain those of
	// the requests lost with it.
	repeatedCrashes = 2
	// repeatedRequests is how many requests that are each lost in several crashes have a
	// harmful part in common, rather than one each.
	repeatedRequests = 2
)

// lostRequest is a request that was lost in a crash; the last part of its prompt stands for it.
type lostRequest struct {
	at      time.Time
	request string
}

// evidence is what the crashes say about one part.
type evidence struct {
	lost []lostRequest
	// requests maps the requests to the number of crashes in which they were lost.
	requests map[string]int
	// survived reports whether engines have survived the part.
	survived bool
	// crashes is the number of crashes, and repeated that of the requests that were lost in
	// several; count sets both.
	crashes, repeated int
	// index is the last position of the part in a prompt.
	index int
}

func (e *evidence) add(at time.Time, request string) {
	e.lost = append(e.lost, lostRequest{at: at, request: request})
	if e.requests == nil {
		e.requests = map[string]int{}
	}
	e.requests[request]++
}

// count orders the requests by time and counts the crashes. Those of different requests within
// correlatedInterval count as one; a single request is lost in one crash after the other.
func (e *evidence) count() {
	slices.SortFunc(e.lost, func(a, b lostRequest) int { return a.at.Compare(b.at) })
	e.crashes, e.repeated = 0, 0
	for _, crashes := range e.requests {
		if crashes >= repeatedCrashes {
			e.repeated++
		}
	}
	unlimited := len(e.requests) == 1 || e.repeated >= repeatedRequests
	total := map[string]int{}
	var start time.Time
	var lost map[string]int
	for _, l := range e.lost {
		if lost == nil || l.at.Sub(start) >= correlatedInterval {
			e.crashes += most(lost)
			start, lost = l.at, map[string]int{}
		}
		if total[l.request]++; unlimited || total[l.request] <= maxCrashesOfRequest {
			lost[l.request]++
		}
	}
	e.crashes += most(lost)
}

func most(counts map[string]int) int {
	result := 0
	for _, n := range counts {
		result = max(result, n)
	}
	return result
}

// position is a part of the prompt of a suspect.
type position struct {
	Part
	crash *crash
	// request is the last part of the prompt, shared holds the others.
	request string
	shared  []string
	index   int
}

func (p position) last() bool { return p.index == len(p.shared) }

// hasOther reports whether the prompt has another part that is among the records.
func (p position) hasOther(records []Record) bool {
	return slices.ContainsFunc(records, func(r Record) bool {
		return r.Part != p.Part && r.Service == p.Service && slices.Contains(p.shared, r.ID)
	})
}

// Evaluate quarantines the parts that the crashes known by now show to be harmful and returns
// them, and the survivals that release parts which others turn out to explain. It also ends
// quarantines and forgets old crashes.
func (t *Tracker) Evaluate(now time.Time) ([]Record, []Survival) {
	t.expire(now)
	if !t.evaluationDue(now) {
		return nil, nil
	}
	var added, shown []Record
	for _, s := range standards {
		// A part that is quarantined explains what else was lost in its crashes.
		for part, e := t.mostLikely(now, s); e != nil; part, e = t.mostLikely(now, s) {
			added = append(added, t.quarantine(now, part, e.lost[0].at, !s.startedOnly))
		}
		if s.startedOnly {
			// Requests that only waited do not clear the parts that others had.
			shown = slices.Clone(added)
		}
	}
	slices.SortFunc(added, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	var released []Survival
	quarantined := t.Quarantined(now)
	for part, q := range t.parts {
		rivals := added
		if q.waited {
			rivals = quarantined
		}
		if q.revisable && now.Before(q.until) && t.sharesCrash(part, rivals) && !t.justified(now, part, shown) {
			released = append(released, t.release(part, q.from.Add(retractionMargin)))
		}
	}
	return added, released
}

// sharesCrash reports whether one of the records is of another part that was in a crash of the
// part.
func (t *Tracker) sharesCrash(part Part, records []Record) bool {
	for _, c := range t.crashes {
		if c.service != part.Service || !c.concerns(part.ID) {
			continue
		}
		if slices.ContainsFunc(records, func(r Record) bool { return r.Part != part && c.concerns(r.ID) }) {
			return true
		}
	}
	return false
}

// justified reports whether the crashes known by now would lead to the quarantine of a part that
// is in quarantine, leaving out those of requests with other parts that were found since.
func (t *Tracker) justified(now time.Time, part Part, found []Record) bool {
	q := t.parts[part]
	t.remove(part)
	defer t.add(part, q)
	for _, s := range standards {
		if t.unexplained(now, s, found)[part] != nil {
			return true
		}
	}
	return false
}

// mostLikely returns the part that is most likely to be at fault among those that are not
// quarantined and for which the evidence suffices: the one in most crashes, and of several the
// one that comes later in the prompts. The evidence is nil if there is none.
func (t *Tracker) mostLikely(now time.Time, s standard) (Part, *evidence) {
	var best Part
	var most *evidence
	for part, e := range t.unexplained(now, s, nil) {
		if _, known := t.Find(now, part.Service, []string{part.ID}); known {
			continue
		}
		if most == nil || moreLikely(part, e, best, most) {
			best, most = part, e
		}
	}
	return best, most
}

func moreLikely(a Part, ofA *evidence, b Part, ofB *evidence) bool {
	order := cmp.Or(cmp.Compare(ofA.crashes, ofB.crashes), cmp.Compare(ofA.index, ofB.index),
		strings.Compare(b.Service, a.Service), strings.Compare(b.ID, a.ID))
	return order > 0
}

// evaluationDue reports whether there is evidence that has not been evaluated: a new crash, or
// one from which the requests that waited count by now.
func (t *Tracker) evaluationDue(now time.Time) bool {
	settled := !t.settlesAt.IsZero() && !now.Before(t.settlesAt)
	if !t.changed && !settled {
		return false
	}
	t.changed = false
	if settled {
		t.settlesAt = time.Time{}
		if next := t.changedAt.Add(reportDelay); next.After(now) {
			t.settlesAt = next
		}
	}
	return true
}

// quarantine adds a part whose first crash was at the given time. waited is set if requests that
// only waited led to it.
func (t *Tracker) quarantine(now time.Time, part Part, from time.Time, waited bool) Record {
	period := quarantinePeriod
	if past, ok := t.parts[part]; ok {
		period = min(maxQuarantinePeriod, 2*past.period)
	}
	r := Record{Part: part, From: from, Until: now.Add(period)}
	t.add(part, quarantined{from: from, until: r.Until, period: period, revisable: period == quarantinePeriod, waited: waited})
	return r
}

// expire forgets crashes after crashTTL, and quarantines one period after their end.
func (t *Tracker) expire(now time.Time) {
	for key, c := range t.crashes {
		if now.Sub(c.at) >= crashTTL {
			t.forget(key)
		}
	}
	for part, q := range t.parts {
		if now.Sub(q.until) >= q.period {
			t.remove(part)
		}
	}
}

// unexplained returns the parts for which the evidence suffices, leaving out what other parts
// of the same requests explain, as those that were found do.
func (t *Tracker) unexplained(now time.Time, s standard, found []Record) map[Part]*evidence {
	index := map[Part]*evidence{}
	t.forEachPosition(now, s, func(p position) { t.addEvidence(now, index, p) })
	for _, e := range index {
		e.count()
	}
	result := map[Part]*evidence{}
	t.forEachPosition(now, s, func(p position) {
		if !p.hasOther(found) && !explained(index, p, s) && (s.survived || !index[p.Part].survived) {
			t.addEvidence(now, result, p)
		}
	})
	for part, e := range result {
		e.count()
		if !t.sufficient(now, part, e, s) {
			delete(result, part)
		}
	}
	return result
}

func (t *Tracker) addEvidence(now time.Time, index map[Part]*evidence, p position) {
	e, ok := index[p.Part]
	if !ok {
		_, survived := t.survived(now, p.Part)
		e = &evidence{survived: survived}
		index[p.Part] = e
	}
	e.add(p.crash.at, p.request)
	e.index = max(e.index, p.index)
}

// sufficient reports whether the evidence leads to the quarantine of a part. Soon after its
// last quarantine one crash does.
func (t *Tracker) sufficient(now time.Time, part Part, e *evidence, s standard) bool {
	if past, ok := t.parts[part]; ok && s.startedOnly && e.lost[len(e.lost)-1].at.After(past.until) {
		return true
	}
	if _, last := e.requests[part.ID]; last {
		return e.crashes >= sessionCrashesWaiting || e.crashes >= sessionCrashes && s.startedOnly
	}
	if e.crashes < s.crashes || len(e.requests) < s.requests && e.repeated < repeatedRequests {
		return false
	}
	due := e.lost[0].at.Add(survivalDelay)
	if e.survived && now.Before(due) {
		if t.settlesAt.IsZero() || due.Before(t.settlesAt) {
			t.settlesAt = due
		}
		return false
	}
	return true
}

// explained reports whether another part of the prompt explains the crash better. A part
// that no engine has survived is more likely to be at fault than one that some have, and a
// later one, which fewer requests share, more likely than those before it. The last part is
// at fault only if no other is, or if its request was lost again and again. A part of one
// request does not explain what several requests have in common that are each lost repeatedly.
func explained(index map[Part]*evidence, p position, s standard) bool {
	e := index[p.Part]
	shared := e.repeated >= repeatedRequests
	for i, id := range p.shared {
		rival, ok := index[Part{Service: p.Service, ID: id}]
		if !ok || i == p.index || rival.crashes < rivalCrashes {
			continue
		}
		if p.last() {
			if len(rival.requests) > 1 && !rival.survived && e.crashes < sessionCrashesWaiting {
				return true
			}
			continue
		}
		if len(rival.requests) < s.rivalRequests || shared && len(rival.requests) == 1 {
			continue
		}
		if e.survived && !rival.survived || e.survived == rival.survived && i > p.index {
			return true
		}
	}
	return false
}

// forEachPosition calls visit for the parts of each request that counts. A request that was
// lost in several crashes explains them: those that were lost with it once are its neighbours.
func (t *Tracker) forEachPosition(now time.Time, s standard, visit func(p position)) {
	lost := map[Part]int{}
	t.forEachSuspect(now, s, func(c *crash, last string, _ Suspect) { lost[Part{Service: c.service, ID: last}]++ })
	repeated := map[*crash]bool{}
	t.forEachSuspect(now, s, func(c *crash, last string, _ Suspect) {
		repeated[c] = repeated[c] || lost[Part{Service: c.service, ID: last}] >= repeatedCrashes
	})
	t.forEachSuspect(now, s, func(c *crash, last string, suspect Suspect) {
		if !repeated[c] || lost[Part{Service: c.service, ID: last}] >= repeatedCrashes {
			t.visitParts(c, last, suspect, visit)
		}
	})
}

// forEachSuspect calls visit for each request to which the standard applies.
func (t *Tracker) forEachSuspect(now time.Time, s standard, visit func(c *crash, last string, suspect Suspect)) {
	for _, c := range t.crashes {
		started, quarantined := false, false
		for _, suspect := range c.suspects {
			started = started || suspect.Started
			_, found := t.Find(now, c.service, suspect.Parts)
			quarantined = quarantined || found
		}
		if !started && (s.startedOnly || now.Sub(c.at) < reportDelay) {
			continue
		}
		for last, suspect := range c.suspects {
			_, found := t.Find(now, c.service, suspect.Parts)
			if started && !suspect.Started || quarantined && !found {
				continue
			}
			visit(c, last, suspect)
		}
	}
}

// visitParts calls visit for the parts of a prompt that no engine has survived since.
func (t *Tracker) visitParts(c *crash, last string, suspect Suspect, visit func(p position)) {
	for i, id := range suspect.Parts {
		part := Part{Service: c.service, ID: id}
		if survived, ok := t.survivals.Peek(part); ok && !c.at.After(survived) {
			continue
		}
		visit(position{Part: part, crash: c, request: last, shared: suspect.Parts[:len(suspect.Parts)-1], index: i})
	}
}
