// Package storesync decides how an entry follows the changes of the store: which entry reads
// the store, whom the others ask for changes, and when they read the store themselves. It does
// no I/O and reads no clock.
//
// It is designed for fleets of hundreds of entries, in which the calls of all entries
// together would be a burden on the store, and for readers and relays that fail, pause, or lose
// their way to the store while others still have one.
package storesync

const (
	// maxLogChanges and maxLogBytes limit the changes that are kept for other entries.
	maxLogChanges = 1000
	maxLogBytes   = 256 << 10
)

// Change is one change of a key in the store.
type Change struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	// Removed means that the key was removed at Revision and has no value.
	Removed bool `cbor:"4,keyasint,omitempty"`
}

func (c *Change) size() int { return len(c.Key) + len(c.Value) }

// Log holds the newest changes of the store, without gaps.
//
// Invariant: changes holds every change after start up to revision, in order.
type Log struct {
	start, revision int64
	changes         []Change
	bytes           int
}

// Reset empties the log; later changes are those after the given revision.
func (l *Log) Reset(revision int64) {
	*l = Log{start: revision, revision: revision}
}

// Append adds all changes after the log's revision up to the given one.
func (l *Log) Append(changes []Change, revision int64) {
	for _, change := range changes {
		if change.Revision <= l.revision {
			continue
		}
		l.changes = append(l.changes, change)
		l.bytes += change.size()
	}
	l.revision = max(l.revision, revision)
	drop := 0
	for len(l.changes)-drop > maxLogChanges || l.bytes > maxLogBytes {
		l.start = l.changes[drop].Revision
		l.bytes -= l.changes[drop].size()
		drop++
	}
	l.changes = l.changes[drop:]
}

// Revision returns the revision up to which changes are known.
func (l *Log) Revision() int64 { return l.revision }

// Since returns all changes after a revision. complete is false if the log does not reach
// back so far.
func (l *Log) Since(revision int64) (changes []Change, complete bool) {
	if l.revision == 0 || revision < l.start {
		return nil, false
	}
	for i, change := range l.changes {
		if change.Revision > revision {
			return l.changes[i:], true
		}
	}
	return nil, true
}
