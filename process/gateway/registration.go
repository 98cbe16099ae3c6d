package gateway

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/storesync"
)

const (
	// leaseTTL is how long an entry that has crashed stays registered,
	// keepAliveInterval how often its lease is renewed.
	leaseTTL          = 12 * time.Second
	keepAliveInterval = 4 * time.Second
	// registrationRetryInterval is the pause after a failed attempt to register.
	registrationRetryInterval = time.Second
	// maxEntryNameBytes limits the name of an entry and of its failure domain.
	maxEntryNameBytes = 200
)

// entryRecord is the value that an entry registers.
type entryRecord struct {
	Peers         string `json:"peers"`
	FailureDomain string `json:"failureDomain,omitempty"`
	// LinkMbps is the bandwidth of the host's link in megabits a second, zero if it is not known.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// decodeEntry decodes the registration of an entry. Other writers may leave anything there; an
// address that is no IP address would be looked up each time that peers are told something.
func decodeEntry(name string, value []byte) (entryRecord, error) {
	var record entryRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return entryRecord{}, errors.New("the value is not a record")
	}
	address, err := netip.ParseAddrPort(record.Peers)
	switch {
	case err != nil || address.Port() == 0 || address.Addr().IsMulticast():
		return entryRecord{}, errors.New("the address is not an IP address and a port from 1 to 65535")
	case !isEntryName(name):
		return entryRecord{}, errors.Errorf("the name is not 1 to %d visible bytes", maxEntryNameBytes)
	case record.FailureDomain != "" && !isEntryName(record.FailureDomain):
		return entryRecord{}, errors.Errorf("the failure domain is not a name of at most %d visible bytes", maxEntryNameBytes)
	case record.LinkMbps < 0:
		return entryRecord{}, errors.New("the bandwidth is negative")
	}
	return record, nil
}

// isEntryName reports whether text may name an entry or its failure domain.
func isEntryName(text string) bool {
	invisible := func(r rune) bool { return !unicode.IsGraphic(r) || r == utf8.RuneError }
	return text != "" && len(text) <= maxEntryNameBytes && !strings.ContainsFunc(text, invisible)
}

// registrationState is what this entry knows of its own registration. The store may execute a
// write long after the call for it failed, so a response alone does not tell what the key holds:
// it is compared with what the store then shows.
type registrationState struct {
	mu sync.Mutex
	// lease is the lease of the key, NoLease if there is none.
	lease platform.Lease
	// position is that of the last write that the store confirmed, zero if the entry has to
	// write its key. confirmedAt is when the response arrived.
	position    storesync.Position
	confirmedAt time.Time
	// era is the latest era of the store. Leases of earlier ones are not renewed: their IDs may have
	// been granted to others since. notBefore is when the entry may register in it.
	era       int64
	notBefore time.Time
	// seen is the position of the last change of the key that the store showed, seenRemoved is set if
	// that was its removal. The change may be shown before the response to an earlier write arrives.
	seen        storesync.Position
	seenRemoved bool
	// lost receives a value when the entry has to register again.
	lost chan struct{}
}

func newRegistrationState() *registrationState {
	return &registrationState{lost: make(chan struct{}, 1)}
}

// current returns the lease, and whether the key was written under it.
func (r *registrationState) current() (lease platform.Lease, registered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, !r.position.IsZero()
}

// delay returns how long the entry has to wait until it may register.
func (r *registrationState) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Until(r.notBefore)
}

func (r *registrationState) setLease(lease platform.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.position = lease, storesync.Position{}
}

// eraBegan learns of a new era: whatever this entry wrote may be gone, and it registers again after a
// delay.
func (r *registrationState) eraBegan(era int64, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era <= r.era {
		return
	}
	r.era, r.notBefore = era, time.Now().Add(delay)
	if r.lease.Era < era {
		r.lose(true)
	}
}

// confirm learns that the key was written under a lease, at a position. A write that the store did in a
// later era does not count, nor does one of an earlier era: the lease does not last.
func (r *registrationState) confirm(lease platform.Lease, position storesync.Position, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lease != r.lease || position.Era != lease.Era || position.Era < r.era {
		return
	}
	r.position, r.confirmedAt = position, now
	if r.seen.After(position) {
		r.lose(r.seenRemoved)
	}
}

// see records a change of the key that the store shows.
func (r *registrationState) see(position storesync.Position, removed bool) {
	if position.After(r.seen) {
		r.seen, r.seenRemoved = position, removed
	}
}

// observeChange compares a change of the entry's key with the last write. A later one is by another
// writer, or an earlier write of this entry that was executed late.
func (r *registrationState) observeChange(item platform.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.see(item.Position(), item.Removed)
	if !r.position.IsZero() && item.Position().After(r.position) {
		r.lose(item.Removed)
	}
}

// observeList compares the keys in the store, listed at a position, with the last write, if that was
// confirmed before they were asked for at the given time.
func (r *registrationState) observeList(asked time.Time, key string, items []platform.Item, position storesync.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.IndexFunc(items, func(item platform.Item) bool { return item.Key == key })
	if at >= 0 {
		r.see(items[at].Position(), false)
	} else {
		r.see(position, true)
	}
	switch {
	case r.position.IsZero() || !asked.After(r.confirmedAt):
	case at < 0:
		r.lose(true)
	case items[at].Position() != r.position:
		r.lose(false)
	}
}

// lose records that the key has to be written again. A lease whose key was removed may have ended.
func (r *registrationState) lose(removed bool) {
	r.position = storesync.Position{}
	if removed {
		r.lease = platform.NoLease
	}
	select {
	case r.lost <- struct{}{}:
	default:
	}
}

// maintainRegistration keeps this entry registered, so that other entries find it.
func (g *Gateway) maintainRegistration() {
	for g.background.Err() == nil {
		if delay := g.registration.delay(); delay > 0 {
			pause(g.background, delay)
			continue
		}
		wait := keepAliveInterval
		if err := g.register(); err != nil {
			g.log.Event("entry_not_registered", "error", err.Error())
			if _, registered := g.registration.current(); !registered {
				wait = registrationRetryInterval
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-g.registration.lost:
			g.log.Event("registration_lost")
		case <-g.background.Done():
		}
		timer.Stop()
	}
}

// register brings the registration up to date: it renews the lease of the key, or writes the key,
// under a new lease if there is none.
//
// A failed write is repeated under the same lease. Under another one, the first write could still
// be executed and leave the key under a lease that nobody renews.
func (g *Gateway) register() error {
	lease, registered := g.registration.current()
	if registered {
		err := g.renewLease(lease)
		if !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		g.registration.setLease(platform.NoLease)
		if lease = platform.NoLease; g.registration.delay() > 0 {
			return nil
		}
	}
	if lease == platform.NoLease {
		granted, err := g.grantLease()
		if err != nil {
			return err
		}
		g.registration.setLease(granted)
		lease = granted
	}
	err := g.writeRegistration(lease)
	if errors.Is(err, platform.ErrNotFound) {
		g.registration.setLease(platform.NoLease)
	}
	return err
}

func (g *Gateway) grantLease() (platform.Lease, error) {
	ctx, cancel := g.withStoreTimeout()
	defer cancel()
	lease, err := g.store.GrantLease(ctx, leaseTTL)
	g.metrics.countStoreCall("lease", err)
	return lease, errors.Wrap(err, "register")
}

func (g *Gateway) writeRegistration(lease platform.Lease) error {
	value, err := json.Marshal(entryRecord{
		Peers: g.peers.Address(), FailureDomain: g.settings.FailureDomain, LinkMbps: g.settings.LinkMbps,
	})
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := g.withStoreTimeout()
	defer cancel()
	write := platform.Write{Key: g.registrationKey(), Value: value, Lease: lease}
	position, err := g.store.Commit(ctx, lease.Era, nil, []platform.Write{write}, nil)
	g.metrics.countStoreCall("swap", err)
	if err != nil {
		return errors.Wrap(err, "register")
	}
	g.registration.confirm(lease, position, time.Now())
	return nil
}

func (g *Gateway) renewLease(lease platform.Lease) error {
	ctx, cancel := g.withStoreTimeout()
	defer cancel()
	err := g.store.KeepAlive(ctx, lease)
	g.metrics.countStoreCall("keep", err)
	return errors.Wrap(err, "register")
}

// registrationKey is the key of this entry in the store.
func (g *Gateway) registrationKey() string { return platform.EntryPrefix + g.settings.Name }
