package origins

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

const lifetime = 25 * time.Second

// fleet is a number of entries that tell each other of their streams, and a store that holds what each wrote
// last.
type fleet struct {
	entries []*Index
	stored  []Streams
	now     time.Time
	serving []string
}

func newFleet(entries int, versions ...string) *fleet {
	f := &fleet{now: time.Unix(1000, 0), stored: make([]Streams, entries), serving: versions}
	for range entries {
		index := New()
		index.SetLifetime(lifetime)
		f.entries = append(f.entries, index)
	}
	f.tell()
	return f
}

// tell lets entries see the registrations, tell each other, and write to the store.
func (f *fleet) tell() {
	for i, entry := range f.entries {
		entry.InService(f.now, "writer", f.serving)
		entry.RemoveExpired(f.now)
		f.stored[i] = entry.Own(f.now)
		for j, other := range f.entries {
			if i != j {
				other.Learn(f.now, f.stored[i])
			}
		}
	}
}

// killAll replaces all entries by ones that have read the store after a while.
func (f *fleet) killAll(after time.Duration) {
	f.now = f.now.Add(after)
	for i := range f.entries {
		f.entries[i] = New()
		f.entries[i].SetLifetime(lifetime)
		f.entries[i].InService(f.now, "writer", f.serving)
		for _, stored := range f.stored {
			f.entries[i].LearnLost(f.now, stored)
		}
	}
}

func (f *fleet) pass(d time.Duration) {
	for range d / time.Second {
		f.now = f.now.Add(time.Second)
		f.tell()
	}
}

func id(n int) request.ID { return request.ID(fmt.Sprint("attempt-", n)) }

// Streams of two versions are taken up at other entries, then all entries are lost and others are taken up.
func TestVersion_StreamsStayWithTheirVersion(t *testing.T) {
	f := newFleet(4, "v1", "v2")
	begin := func(from, to int) {
		for n := from; n < to; n++ {
			f.entries[n%4].Began(f.now, id(n), "writer", f.serving[n%2])
		}
	}
	check := func(from, to int, want Verdict) {
		t.Helper()
		for n := from; n < to; n++ {
			version, verdict := f.entries[(n+1)%4].Version(f.now, "writer", id(n))
			assert.Equal(t, verdict, want, "stream %d", n)
			assert.Equal(t, version, map[Verdict]string{Known: f.serving[n%2], Untold: ""}[want], "stream %d", n)
		}
	}
	begin(0, 100)
	check(0, 100, Untold)
	f.pass(time.Second)
	check(0, 100, Known)
	begin(100, 120)
	f.killAll(2 * time.Second)
	check(0, 100, Known)
	check(100, 120, Untold)
}

// The servers of the old version have just left when all entries are lost: the new one is the only one that the
// store lists.
func TestVersion_OldVersionHasJustLeft(t *testing.T) {
	f := newFleet(3, "v1", "v2")
	f.entries[0].Began(f.now, id(1), "writer", "v1")
	f.pass(time.Second)
	f.serving = []string{"v2"}
	f.pass(5 * time.Second)
	f.killAll(2 * time.Second)
	version, verdict := f.entries[1].Version(f.now, "writer", id(1))
	assert.Assert(t, version == "v1" && verdict == Known)
	_, verdict = f.entries[1].Version(f.now, "writer", id(2))
	assert.Equal(t, verdict, Untold)
	f.pass(lifetime + 2*time.Second)
	version, verdict = f.entries[1].Version(f.now, "writer", id(2))
	assert.Assert(t, version == "v2" && verdict == Only, "no stream of v1 goes on")
	assert.Assert(t, f.entries[1].Own(f.now) == nil, "nothing is written for one version")
}

// With one version all callers are served as they come, and nothing is told or written.
func TestVersion_OnlyVersion(t *testing.T) {
	f := newFleet(2, "v1")
	assert.Assert(t, !f.entries[0].Began(f.now, id(1), "writer", "v1"))
	f.pass(3 * time.Second)
	for _, attempt := range []request.ID{id(1), id(2), ""} {
		version, verdict := f.entries[1].Version(f.now, "writer", attempt)
		assert.Assert(t, version == "v1" && verdict == Only)
	}
	assert.Assert(t, f.entries[0].Own(f.now) == nil)
	// A second version appears: what has begun before is told.
	f.serving = []string{"v1", "v2"}
	f.pass(time.Second)
	version, verdict := f.entries[1].Version(f.now, "writer", id(1))
	assert.Assert(t, version == "v1" && verdict == Known)
}

// Callers may use an ID twice.
func TestVersion_ConflictingOriginsTellNothing(t *testing.T) {
	f := newFleet(2, "v1", "v2")
	f.entries[0].Began(f.now, id(1), "writer", "v1")
	f.entries[1].Began(f.now, id(1), "writer", "v2")
	f.pass(time.Second)
	for _, entry := range f.entries {
		_, verdict := entry.Version(f.now, "writer", id(1))
		assert.Equal(t, verdict, Untold)
	}
}

func TestRemoveExpired_KeepsWhatGoesOn(t *testing.T) {
	f := newFleet(1, "v1", "v2")
	e := f.entries[0]
	e.Began(f.now, id(1), "writer", "v1")
	e.Began(f.now, id(2), "writer", "v1")
	e.Began(f.now, id(3), "writer", "v2")
	e.Ended(f.now, id(2), true)
	e.Ended(f.now, id(3), false)
	assert.Equal(t, len(e.streams), 2)
	f.pass(lifetime + 2*time.Second)
	assert.Equal(t, len(e.streams), 1, "one goes on")
}
