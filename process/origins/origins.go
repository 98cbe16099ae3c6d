// Package origins decides at which software version of a service a stream may go on. It does no I/O
// and reads no clock.
//
// Several versions may serve side by side, and what two of them write does not fit together, so a stream stays
// with the version that wrote its first event: within a response, and when its caller takes it up again at any
// entry. It is designed for callers that come back after the entry was lost, after all entries were lost at
// once, and after the last target of the version has left. A stream whose version cannot be told goes on only
// if no second version can have begun it.
package origins

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/request"
)

// maxStreams limits the streams of other entries that are known: those of a minute at the peak of the largest
// deployment. Anybody may send datagrams.
const maxStreams = 100_000

// Hash identifies a stream by the ID of the caller's attempt that brought its first event.
type Hash uint64

// HashOf returns the hash of an attempt's ID.
func HashOf(id request.ID) Hash { return Hash(xxhash.Sum64String(string(id))) }

// Streams holds the hashes of streams by service and version, as entries tell each other and write to the
// store. A version without streams may have begun some all the same.
type Streams map[string]map[string][]Hash

// stream is a stream that has had its first event.
type stream struct {
	service, version string
	// conflicting is set if the stream is known with several versions, as when callers use an ID twice.
	conflicting bool
	// own is set for streams that this entry carried.
	own bool
	// knownAt is when this entry learned of the stream, endedAt when its response ended here.
	knownAt, endedAt time.Time
}

// Index knows which version began each stream of the last time, and which versions may have begun one.
type Index struct {
	// lifetime is how long the callers of a stream may take it up again.
	lifetime time.Duration
	streams  map[Hash]*stream
	// lastSeen maps the versions of services to when they were last in service.
	lastSeen map[string]map[string]time.Time
}

// New returns an empty index.
func New() *Index {
	return &Index{streams: map[Hash]*stream{}, lastSeen: map[string]map[string]time.Time{}}
}

// SetLifetime sets how long a stream may last with all its returns.
func (i *Index) SetLifetime(d time.Duration) { i.lifetime = d }

// InService records the versions of a service that are registered now.
func (i *Index) InService(now time.Time, service string, versions []string) {
	seen := i.lastSeen[service]
	if seen == nil {
		seen = map[string]time.Time{}
		i.lastSeen[service] = seen
	}
	for _, version := range versions {
		seen[version] = now
	}
}

// Began records the first event of a stream of this entry, which began with an attempt of the caller. It
// reports whether other entries should learn of it at once.
func (i *Index) Began(now time.Time, id request.ID, service, version string) bool {
	i.learn(now, HashOf(id), service, version, true)
	return i.mixed(now, service)
}

// Ended records that the response of a stream has ended here. A stream that is complete is forgotten.
func (i *Index) Ended(now time.Time, id request.ID, complete bool) {
	hash := HashOf(id)
	if s := i.streams[hash]; s != nil && s.own {
		s.endedAt = now
		if complete {
			delete(i.streams, hash)
		}
	}
}

// LearnLost records what entries knew that may have been lost before this one started: their versions may have
// left since.
func (i *Index) LearnLost(now time.Time, streams Streams) {
	for service, versions := range streams {
		i.InService(now, service, slices.Collect(maps.Keys(versions)))
	}
	i.Learn(now, streams)
}

// Learn records the streams of another entry. Which versions are in service, each entry sees for itself: if
// entries learned that from each other, a version would never be forgotten.
func (i *Index) Learn(now time.Time, streams Streams) {
	for service, versions := range streams {
		for version, hashes := range versions {
			for _, hash := range hashes {
				i.learn(now, hash, service, version, false)
			}
		}
	}
}

func (i *Index) learn(now time.Time, hash Hash, service, version string, own bool) {
	s := i.streams[hash]
	if s == nil && !own && len(i.streams) >= maxStreams {
		return
	}
	if s == nil {
		i.streams[hash] = &stream{service: service, version: version, own: own, knownAt: now}
		return
	}
	s.knownAt = now
	s.conflicting = s.conflicting || s.service != service || s.version != version
	if own {
		s.own, s.service, s.version, s.endedAt = true, service, version, time.Time{}
	}
}

// Verdict is what is known of the version of a stream.
type Verdict int

// The verdicts. Known and Only give the version at which the stream goes on.
const (
	// Known means that the version that began the stream is known.
	Known Verdict = iota
	// Only means that no other version can have begun it.
	Only
	// Untold means that several versions may have.
	Untold
)

func (v Verdict) String() string { return [...]string{"known", "only", "untold"}[v] }

// Version returns the version that began a stream, given the ID of the attempt that brought its first event,
// empty if the caller does not name it.
func (i *Index) Version(now time.Time, service string, id request.ID) (string, Verdict) {
	s := i.streams[HashOf(id)]
	switch {
	case id != "" && s != nil && s.service == service && !s.conflicting:
		return s.version, Known
	case s != nil && s.conflicting:
		return "", Untold
	}
	if versions := i.versions(now, service); len(versions) == 1 {
		return versions[0], Only
	}
	return "", Untold
}

// versions returns the versions of a service that may have begun a stream that still goes on.
func (i *Index) versions(now time.Time, service string) []string {
	var versions []string
	for version, seen := range i.lastSeen[service] {
		if now.Sub(seen) <= i.lifetime {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// mixed reports whether streams of several versions may be under way.
func (i *Index) mixed(now time.Time, service string) bool { return len(i.versions(now, service)) > 1 }

// Own returns this entry's streams of services with several versions: nil while there are none. Other
// entries are told of them, and they are kept in the store, for callers that come back elsewhere.
func (i *Index) Own(now time.Time) Streams {
	var own Streams
	for service := range i.lastSeen {
		versions := i.versions(now, service)
		if len(versions) < 2 {
			continue
		}
		if own == nil {
			own = Streams{}
		}
		own[service] = map[string][]Hash{}
		for _, version := range versions {
			own[service][version] = nil
		}
	}
	for hash, s := range i.streams {
		if s.own && own[s.service] != nil {
			own[s.service][s.version] = append(own[s.service][s.version], hash)
		}
	}
	for _, versions := range own {
		for _, hashes := range versions {
			slices.Sort(hashes)
		}
	}
	return own
}

// RemoveExpired removes what no caller can come back for.
func (i *Index) RemoveExpired(now time.Time) {
	maps.DeleteFunc(i.streams, func(_ Hash, s *stream) bool {
		if s.own && s.endedAt.IsZero() {
			return false
		}
		return now.Sub(s.knownAt) > i.lifetime && now.Sub(s.endedAt) > i.lifetime
	})
	for service, versions := range i.lastSeen {
		maps.DeleteFunc(versions, func(_ string, seen time.Time) bool { return now.Sub(seen) > i.lifetime })
		if len(versions) == 0 {
			delete(i.lastSeen, service)
		}
	}
}

// Len returns the number of streams.
func (s Streams) Len() int {
	n := 0
	for _, versions := range s {
		for _, hashes := range versions {
			n += len(hashes)
		}
	}
	return n
}

// Equal reports whether two states are the same.
func (s Streams) Equal(other Streams) bool {
	return maps.EqualFunc(s, other, func(a, b map[string][]Hash) bool { return maps.EqualFunc(a, b, slices.Equal[[]Hash]) })
}
