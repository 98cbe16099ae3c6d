// Package kvcopies decides from which KV copy a caller that comes back may be served. It does
// no I/O and reads no clock.
//
// A copy holds the memory of one run of one request. A caller that comes back sends its request
// again under another ID, so runs are matched by the identity of their request. Requests that
// are the same in all that identifies them cannot be told apart: then no copy is proof, and the
// prompt is read again. That only one run of a request is known is proof only while this entry is
// told of the runs of all others.
package kvcopies

import (
	"maps"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// ReturnTimeout is how long a run that ended early is remembered, since its caller may come
// back: as long as the longest requests last.
const ReturnTimeout = 30 * time.Second

// Copy locates a copy of the KV memory of a run, from which the run can be resumed.
type Copy struct {
	// RequestID is the request that the copy was made for.
	RequestID request.ID `cbor:"1,keyasint"`
	// Target holds the copy; later incarnations of the target do not.
	Target      request.TargetID    `cbor:"2,keyasint"`
	Incarnation request.Incarnation `cbor:"3,keyasint"`
	// Handle and Source are set for a copy that was requested while the stream was running:
	// the name of the copy, and the address of the target that the stream ran on.
	Handle string `cbor:"4,keyasint,omitempty"`
	Source string `cbor:"5,keyasint,omitempty"`
}

// ResumeSource returns the source address and the name of the copy, which the target that
// holds it, at the given address, needs to resume from it.
func (c Copy) ResumeSource(address string) (source, name string) {
	if c.Handle != "" {
		return c.Source, c.Handle
	}
	return address, string(c.RequestID)
}

// Number numbers the runs of one incarnation of an entry, from 1.
type Number uint64

// Run is one stream of an entry: a caller's attempt with all attempts at targets made for it.
type Run struct {
	// ID is the ID of the caller's attempt. Callers may use an ID more than once.
	ID       request.ID       `cbor:"1,keyasint"`
	Identity request.Identity `cbor:"2,keyasint"`
	// Copy is the copy of the run; the zero value if there is none.
	Copy Copy `cbor:"3,keyasint,omitzero"`
	// Resumed is the ID of the run that this one goes on with, if any.
	Resumed request.ID `cbor:"4,keyasint,omitempty"`
	// Ambiguous is set once the caller of another request with the same identity may come back
	// as well, and stays set after that one has ended.
	Ambiguous bool `cbor:"5,keyasint,omitempty"`
}

// RunRef names a run of an incarnation of an entry.
type RunRef struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Number      Number `cbor:"3,keyasint"`
}

// ownRun is a run of this entry.
type ownRun struct {
	Run
	// endedAt is when the run ended early, zero while it is running. copyExpires is when its
	// copy becomes useless from then on.
	endedAt, copyExpires time.Time
}

// incarnation is one life of another entry.
type incarnation struct {
	entry  string
	number int64
}

// otherRuns holds the runs of an incarnation of another entry.
type otherRuns struct {
	runs map[Number]Run
	// lostAt is when the incarnation was found to have ended or to be out of touch, zero while
	// it is heard. copiesExpire is when its copies become useless from then on.
	lostAt, copiesExpire time.Time
}

// Knowledge tells whether this entry knows the runs of all others.
type Knowledge int

const (
	// Complete means that all other entries tell this one of their runs.
	Complete Knowledge = iota
	// PeerSilent means that an entry is out of touch. Its callers may come back while its runs
	// are not known here.
	PeerSilent
	// Unannounced means that the others may not know of this entry. They may run, and lose,
	// requests equal to those that run here without a word to this entry.
	Unannounced
)

func (k Knowledge) String() string { return [...]string{"complete", "peer_silent", "unannounced"}[k] }

// Index knows the runs of this entry and of others.
type Index struct {
	own    map[Number]*ownRun
	others map[incarnation]*otherRuns
	// known counts the runs with each identity.
	known map[request.Identity]int
	// conflicts holds runs of other entries that cannot be told from others, for entries that
	// have started since and do not know the others.
	conflicts map[RunRef]struct{}
	knowledge Knowledge
}

// New returns an empty index.
func New() *Index {
	return &Index{
		own: map[Number]*ownRun{}, others: map[incarnation]*otherRuns{}, known: map[request.Identity]int{},
		conflicts: map[RunRef]struct{}{},
	}
}

// Result says what was found for a caller that comes back.
type Result int

// Results of Start.
const (
	// NotReturning is the result for a caller that does not come back.
	NotReturning Result = iota
	// Found means that the caller may be served from the copy.
	Found
	// NoCopy means that the run is known, but has no copy that may still exist.
	NoCopy
	// Unknown means that no run of the request is known.
	Unknown
	// Ambiguous means that the run cannot be told from that of another request.
	Ambiguous
	// Incomplete means that runs of other entries may not be known.
	Incomplete
)

func (r Result) String() string {
	return [...]string{"not_returning", "found", "no_copy", "unknown", "ambiguous", "incomplete"}[r]
}

// candidate is a known run that a caller may come back for.
type candidate struct {
	Run
	// own is set for a run of this entry, ref for one of another entry that is in touch.
	own *ownRun
	ref RunRef
	// copyExpired is set if its copy is too old to exist.
	copyExpired bool
}

// Knowledge returns whether the runs of all other entries are known.
func (i *Index) Knowledge() Knowledge { return i.knowledge }

// SetKnowledge records whether the runs of all other entries are known.
func (i *Index) SetKnowledge(k Knowledge) { i.knowledge = k }

// Start records a new run of this entry. For a caller that comes back it returns the copy of the
// run that it comes back for, if that can be told.
func (i *Index) Start(now time.Time, number Number, id request.ID, identity request.Identity, returning bool) (Copy, Result) {
	run := &ownRun{Run: Run{ID: id, Identity: identity}}
	candidates := i.candidates(now, identity)
	kvCopy, result := i.choose(candidates, returning)
	switch {
	case result == Found || result == NoCopy:
		run.Resumed = candidates[0].ID
	case result == Unknown || result == Incomplete || len(candidates) > 0:
		// Others with the same identity may have been forgotten with the run of this caller.
		run.Ambiguous = true
		i.markAmbiguous(candidates)
	case i.knowledge == Unannounced:
		run.Ambiguous = true
	}
	i.own[number] = run
	i.known[identity]++
	return kvCopy, result
}

// choose returns the copy of the only candidate.
func (i *Index) choose(candidates []candidate, returning bool) (Copy, Result) {
	switch {
	case !returning:
		return Copy{}, NotReturning
	case i.knowledge != Complete:
		return Copy{}, Incomplete
	case len(candidates) == 0:
		return Copy{}, Unknown
	case len(candidates) > 1 || candidates[0].Ambiguous || i.sharesName(candidates[0].Run):
		return Copy{}, Ambiguous
	case candidates[0].Copy.Target == "" || candidates[0].copyExpired:
		return Copy{}, NoCopy
	default:
		return candidates[0].Copy, Found
	}
}

// candidates returns the known runs with an identity, but those that others go on with.
func (i *Index) candidates(now time.Time, identity request.Identity) []candidate {
	if i.known[identity] == 0 {
		return nil
	}
	var all []candidate
	for _, run := range i.own {
		if run.Identity == identity {
			all = append(all, candidate{Run: run.Run, own: run, copyExpired: isAfter(now, run.copyExpires)})
		}
	}
	for key, other := range i.others {
		for number, run := range other.runs {
			if run.Identity != identity {
				continue
			}
			c := candidate{Run: run, copyExpired: isAfter(now, other.copiesExpire)}
			if other.lostAt.IsZero() {
				c.ref = RunRef{Entry: key.entry, Incarnation: key.number, Number: number}
			}
			all = append(all, c)
		}
	}
	var latest []candidate
	for _, c := range all {
		if !isResumed(c.Run, all) {
			latest = append(latest, c)
		}
	}
	return latest
}

// isAfter reports whether now is after a time that may not be set.
func isAfter(now, limit time.Time) bool { return !limit.IsZero() && now.After(limit) }

// isResumed reports whether another run goes on with the run. An ID that is used twice does not
// tell which of the two it is.
func isResumed(run Run, all []candidate) bool {
	for _, c := range all {
		if c.Resumed == run.ID && c.ID != run.ID {
			return true
		}
	}
	return false
}

// sharesName reports whether a run of another request has the ID under which targets keep the
// copy of the run.
func (i *Index) sharesName(run Run) bool {
	for _, own := range i.own {
		if own.ID == run.Copy.RequestID && own.Identity != run.Identity {
			return true
		}
	}
	for _, other := range i.others {
		for _, r := range other.runs {
			if r.ID == run.Copy.RequestID && r.Identity != run.Identity {
				return true
			}
		}
	}
	return false
}

// RecordCopy records the copy of a run of this entry that has not ended, and reports whether that
// changed anything.
func (i *Index) RecordCopy(number Number, kvCopy Copy) bool {
	run, ok := i.own[number]
	if !ok || !run.endedAt.IsZero() || run.Copy == kvCopy {
		return false
	}
	run.Copy = kvCopy
	return true
}

// End records that a run of this entry ended before its stream was complete. Its copy can be used
// until copyExpires.
func (i *Index) End(now time.Time, number Number, kvCopy Copy, copyExpires time.Time) {
	if run, ok := i.own[number]; ok {
		run.Copy, run.endedAt, run.copyExpires = kvCopy, now, copyExpires
	}
}

// Remove removes a run of this entry for which no caller will come back.
func (i *Index) Remove(number Number) {
	if run, ok := i.own[number]; ok {
		delete(i.own, number)
		i.forget(run.Identity)
	}
}

// forget counts a run with the identity less.
func (i *Index) forget(identity request.Identity) {
	if i.known[identity]--; i.known[identity] <= 0 {
		delete(i.known, identity)
	}
}

// Own returns the runs of this entry, as other entries are told of them.
func (i *Index) Own(now time.Time) map[Number]Run {
	runs := make(map[Number]Run, len(i.own))
	for number, own := range i.own {
		run := own.Run
		if isAfter(now, own.copyExpires) {
			run.Copy = Copy{}
		}
		runs[number] = run
	}
	return runs
}

// Update records all runs of an incarnation of another entry, which is in touch.
func (i *Index) Update(now time.Time, entry string, number int64, runs map[Number]Run) {
	key := incarnation{entry, number}
	other := i.others[key]
	if other == nil {
		other = &otherRuns{}
		i.others[key] = other
	}
	other.lostAt, other.copiesExpire = time.Time{}, time.Time{}
	before := other.runs
	other.runs = runs
	for n, run := range before {
		if runs[n].Identity != run.Identity {
			i.forget(run.Identity)
		}
	}
	for n, run := range runs {
		if before[n].Identity != run.Identity {
			i.known[run.Identity]++
		}
	}
	for n, run := range runs {
		if before[n] == run || i.known[run.Identity] < 2 {
			continue
		}
		if candidates := i.candidates(now, run.Identity); len(candidates) > 1 {
			i.markAmbiguous(candidates)
		}
	}
}

// markAmbiguous marks runs that cannot be told from each other or from a new one.
func (i *Index) markAmbiguous(candidates []candidate) {
	for _, c := range candidates {
		switch {
		case c.own != nil:
			c.own.Ambiguous = true
		case c.ref.Entry != "" && !c.Ambiguous:
			i.conflicts[c.ref] = struct{}{}
		}
	}
}

// MarkAmbiguous marks a run of this entry that another entry cannot tell from others.
func (i *Index) MarkAmbiguous(number Number) {
	if run, ok := i.own[number]; ok {
		run.Ambiguous = true
	}
}

// Conflicts returns the runs of entries in touch that cannot be told from others, and that their
// entries have not marked yet.
func (i *Index) Conflicts() []RunRef {
	var refs []RunRef
	for ref := range i.conflicts {
		other := i.others[incarnation{ref.Entry, ref.Incarnation}]
		if other == nil || !other.lostAt.IsZero() {
			delete(i.conflicts, ref)
			continue
		}
		if run, ok := other.runs[ref.Number]; !ok || run.Ambiguous {
			delete(i.conflicts, ref)
			continue
		}
		refs = append(refs, ref)
	}
	return refs
}

// Lost records that the incarnations of an entry have ended or are out of touch, but for the
// current one, zero for none. Their copies can be used until copiesExpire.
func (i *Index) Lost(now time.Time, entry string, current int64, copiesExpire time.Time) {
	for key, other := range i.others {
		if key.entry == entry && key.number != current && other.lostAt.IsZero() {
			other.lostAt, other.copiesExpire = now, copiesExpire
		}
	}
}

// RemoveExpired removes the runs for which no caller will come back any more.
func (i *Index) RemoveExpired(now time.Time) {
	for number, run := range i.own {
		if !run.endedAt.IsZero() && now.Sub(run.endedAt) > ReturnTimeout {
			i.Remove(number)
		}
	}
	maps.DeleteFunc(i.others, func(_ incarnation, other *otherRuns) bool {
		expired := !other.lostAt.IsZero() && now.Sub(other.lostAt) > ReturnTimeout
		if expired {
			for _, run := range other.runs {
				i.forget(run.Identity)
			}
		}
		return expired
	})
}
