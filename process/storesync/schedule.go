package storesync

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxReaderAge is the age beyond which a relay does not use the knowledge of the entry that
	// reads the store about once a second; maxRelayAge is that of the knowledge of a relay, which
	// asks twice a second. maxAgeShare limits both to a fraction of a short bound on revocations.
	maxReaderAge = 1250 * time.Millisecond
	maxRelayAge  = 1500 * time.Millisecond
	maxAgeShare  = 0.4
	// usualAge is the age that knowledge has before the reader reads the store again. An entry whose knowledge
	// is older asks again after hastyInterval: its source may be slow or out of touch, and what it does not
	// tell may be a target that left.
	usualAge      = time.Second
	hastyInterval = 150 * time.Millisecond
	// maxReadingTime is how much older the knowledge of an entry may be to which a response of the store is
	// arriving: the time that the largest value takes over a slow link. If all that wait for it read the
	// store instead, they would load their own links and that of the store with the same bytes.
	maxReadingTime = time.Second
	// maxAsksAfterFailure is how many usable answers of other entries follow a failed read of
	// the store before the next one.
	maxAsksAfterFailure = 4
	// maxAnswersBehind is how many answers of an earlier era an entry accepts in a row from the others
	// before it reads the store; a new era takes two questions to arrive through a relay.
	maxAnswersBehind = 2
)

// QuestionInterval is how often an entry asks another one for changes, unless it is told of some. A
// relay that fails delays them by one interval.
const QuestionInterval = 450 * time.Millisecond

// entriesPerRelay is how many entries of a failure domain have one relay. A relay sends each change
// to all of its entries: with one for 100 entries, the return of a failure domain with 1,000
// targets takes it several times what all peer updates do.
const entriesPerRelay = 40

func compareRanks(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

const (
	// ampleLinkMbps is the bandwidth, in megabits a second, beyond which links count as equal: it carries the
	// largest value that a store takes, a megabyte, in a tenth of a second.
	ampleLinkMbps = 100
	// slowerLinkFactor is how many times faster the best link must be for an entry not to be preferred.
	slowerLinkFactor = 2
)

// Links maps entries to the bandwidth of their hosts' links in megabits a second. It may lack some, or all.
type Links map[string]float64

// Preferred returns the entries with links that are not much slower than the best one. What a relay
// passes on, and what the reader reads, is many times what another entry receives.
func (l Links) Preferred(entries []string) []string {
	best := 0.0
	for _, entry := range entries {
		best = max(best, min(l[entry], ampleLinkMbps))
	}
	return slices.DeleteFunc(slices.Clone(entries), func(entry string) bool { return slowerLinkFactor*l[entry] < best })
}

// relaysOf returns the relays of a failure domain: the entries that rendezvous hashing ranks first, among
// those with preferred links while there are enough of these. The loss of another entry does not change the
// choice, unless it had the best link.
func relaysOf(entries []string, links Links) []string {
	count := (len(entries) + entriesPerRelay - 1) / entriesPerRelay
	preferred := links.Preferred(entries)
	if count == 1 {
		return []string{slices.MinFunc(preferred, compareRanks)}
	}
	ranked := slices.SortedFunc(slices.Values(preferred), compareRanks)
	if len(ranked) < count {
		for _, entry := range slices.SortedFunc(slices.Values(entries), compareRanks) {
			if !slices.Contains(preferred, entry) {
				ranked = append(ranked, entry)
			}
		}
	}
	return ranked[:count]
}

// relayFor returns the relay that an entry asks. The loss of another relay does not change it.
func relayFor(entry string, relays []string) string {
	if len(relays) == 1 {
		return relays[0]
	}
	return slices.MinFunc(relays, func(a, b string) int { return compareRanks(entry+"/"+a, entry+"/"+b) })
}

// View is what an entry knows of the entries that pass on changes. Each failure domain has a
// relay for each entriesPerRelay entries. One of the relays reads the store, and the others ask
// it. Both are chosen by their links first.
type View struct {
	self string
	// upstream is the entry to ask, or self for the entry that reads the store.
	upstream string
	// isRelay reports whether self is a relay. otherRelays lists those that are neither self
	// nor the one that self asks because it is of its failure domain.
	isRelay     bool
	otherRelays []string
	// downstream lists the entries that ask self.
	downstream []string
}

// NewView returns the view of the entry self. domains maps failure domains to their entries;
// the one of self includes self.
func NewView(self, domain string, domains map[string][]string, links Links) View {
	own := relaysOf(domains[domain], links)
	v := View{self: self, isRelay: slices.Contains(own, self)}
	if !v.isRelay {
		v.upstream = relayFor(self, own)
	}
	for _, other := range slices.Sorted(maps.Keys(domains)) {
		if other != domain && len(domains[other]) > 0 {
			v.otherRelays = append(v.otherRelays, relaysOf(domains[other], links)...)
		}
	}
	for _, relay := range own {
		if relay != self && relay != v.upstream {
			v.otherRelays = append(v.otherRelays, relay)
		}
	}
	if !v.isRelay {
		return v
	}
	for _, entry := range domains[domain] {
		if !slices.Contains(own, entry) && relayFor(entry, own) == self {
			v.downstream = append(v.downstream, entry)
		}
	}
	v.upstream = slices.MinFunc(links.Preferred(append([]string{self}, v.otherRelays...)), compareRanks)
	if v.ReadsStore() {
		v.downstream = append(v.downstream, v.otherRelays...)
	}
	return v
}

// ReadsStore reports whether the entry reads the store while nothing fails.
func (v *View) ReadsStore() bool { return v.upstream == v.self }

// MaxAge returns the age beyond which an answer is not used. revocationBound is how soon a
// revoked key must no longer be accepted, zero for no bound.
func (v *View) MaxAge(revocationBound time.Duration) time.Duration {
	limit := maxRelayAge
	if v.isRelay {
		limit = maxReaderAge
	}
	if revocationBound > 0 {
		limit = min(limit, time.Duration(maxAgeShare*float64(revocationBound)))
	}
	return limit
}

// Downstream returns the entries that are told of new changes.
func (v *View) Downstream() []string { return v.downstream }

// Schedule decides where an entry gets its next changes from. An entry asks its relay in the
// failure domain, then another one, and reads the store itself when neither has usable
// knowledge; a relay that gets no answer reads the store at once, since the other relays may
// wait for the same entry. After a failed read of its own, any entry asks others before it reads
// again: the store may turn away single hosts.
type Schedule struct {
	// unanswered counts the questions without a usable answer in a row.
	unanswered int
	// readFailed is set while the last own read of the store failed. asks counts the
	// questions since then.
	readFailed bool
	asks       int
	// rotation counts the questions to entries that are asked in turn.
	rotation int
	// behind counts the answers in a row that were of an earlier era than one that is known.
	behind int
}

// Next returns the entry to ask for changes, or "" to read the store.
func (s *Schedule) Next(view View) string {
	switch {
	case s.readFailed && s.asks >= maxAsksAfterFailure:
		s.asks = 0
		return ""
	case s.readFailed:
		s.asks++
		if view.ReadsStore() {
			return s.nextOf(view.downstream)
		}
		if slices.Contains(view.otherRelays, view.upstream) {
			return s.nextOf(view.otherRelays)
		}
		return s.nextOf(append([]string{view.upstream}, view.otherRelays...))
	case view.ReadsStore():
		return ""
	case s.unanswered == 0:
		return view.upstream
	case s.unanswered == 1 && !view.isRelay:
		return s.nextOf(view.otherRelays)
	default:
		return ""
	}
}

// nextOf returns the entries in turn, or "" if there are none.
func (s *Schedule) nextOf(entries []string) string {
	if len(entries) == 0 {
		return ""
	}
	s.rotation++
	return entries[s.rotation%len(entries)]
}

// RecordAnswer records that the entry that was asked had usable knowledge.
func (s *Schedule) RecordAnswer() { s.unanswered, s.behind = 0, 0 }

// RecordBehind records that the entry that was asked does not know of a new era yet. The question told
// it, so it is given the time to learn of it: otherwise all entries that notice a new era before the
// one that reads the store would list the store too.
func (s *Schedule) RecordBehind() {
	if s.behind++; s.behind > maxAnswersBehind {
		s.RecordNoAnswer()
	}
}

// RecordNoAnswer records that it had none, or did not answer.
func (s *Schedule) RecordNoAnswer() {
	s.unanswered++
	s.asks = maxAsksAfterFailure
}

// RecordRead records the result of a read of the store.
func (s *Schedule) RecordRead(ok bool) {
	s.readFailed, s.asks = !ok, 0
	if ok {
		s.unanswered, s.behind = 0, 0
	}
}

// Answer is what an entry knows of the store when it is asked.
type Answer struct {
	// Revision and Era are the position up to which it knows all changes.
	Revision int64 `cbor:"1,keyasint"`
	// Age is the time since the sending of the store call that confirmed this.
	Age time.Duration `cbor:"2,keyasint"`
	// Changes holds the changes after the revision that was asked for.
	Changes []Change `cbor:"3,keyasint,omitempty"`
	// Incomplete means that the changes since then are not known any more, or do not fit.
	Incomplete bool `cbor:"4,keyasint,omitempty"`
	// Unavailable means that it does not reach the store. The entry that reads the store for
	// all others says so even if another one has answered it: they could keep each other from
	// reading.
	Unavailable bool  `cbor:"5,keyasint,omitempty"`
	Era         int64 `cbor:"6,keyasint,omitempty"`
	// Bridged means that Changes holds, for each key that may differ from what the asking entry knows,
	// its state at the position, because no sequence of changes leads there.
	Bridged bool `cbor:"7,keyasint,omitempty"`
	// Lost means that the store, which has no eras, has gone back since the asking entry read it.
	Lost bool `cbor:"8,keyasint,omitempty"`
	// Reading means that a response of the store is arriving or being applied.
	Reading bool `cbor:"9,keyasint,omitempty"`
}

// Position returns the position up to which the answering entry knows all changes.
func (a *Answer) Position() Position { return Position{Era: a.Era, Revision: a.Revision} }

// History returns the changes, each with its era.
func (a *Answer) History() []Change {
	changes := slices.Clone(a.Changes)
	for i := range changes {
		changes[i].Era = a.Era
	}
	return changes
}

// NextQuestion returns when to ask again after a usable answer.
func (a *Answer) NextQuestion() time.Duration {
	if a.Age > usualAge {
		return hastyInterval
	}
	return QuestionInterval
}

// Usable reports whether an answer brings the asking entry up to date.
func (a *Answer) Usable(maxAge time.Duration) bool { return a.Reason(maxAge) == "" }

// Reason returns why an answer does not bring the asking entry up to date, or "" if it does.
func (a *Answer) Reason(maxAge time.Duration) string {
	switch {
	case a.Unavailable:
		return "unavailable"
	case a.Age < 0 || a.Age >= maxAge && !a.Reading || a.Age >= maxAge+maxReadingTime:
		return "too_old"
	case a.Incomplete:
		return "incomplete"
	default:
		return ""
	}
}

// ConfirmedAt returns when the store confirmed the knowledge in an answer to a question that
// was sent at the given time. Times are those of a clock of the asking entry that runs while
// its host is suspended. The answer was composed after the question was sent, so however long
// either was under way, the confirmation is not older than that.
func (a *Answer) ConfirmedAt(asked time.Duration) time.Duration { return asked - a.Age }
