package gateway

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/origins"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/process/rollout"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// originsInterval is how often an entry writes which versions began its streams, while several may be in
	// service. Callers of streams that began since are refused if all entries are lost: in a burst, a second
	// holds a third of the streams that are under way.
	originsInterval = 300 * time.Millisecond
	// originsTTL is how long the record of an entry that was lost stays: callers come back within the time limit
	// of their streams, which can be a minute, and entries may be lost again before.
	originsTTL = maxStreamTime
	// originsWriteShare is the part of the writes of the store that all entries together use for that.
	originsWriteShare = 0.1
)

// beganID returns the ID of the caller's attempt that brought the first event of the stream.
func (e *exchange) beganID() request.ID {
	if e.inbound.Position > 0 && e.inbound.Resumed != "" {
		return e.inbound.Resumed
	}
	return e.inbound.ID
}

// pinReturned pins a stream that its caller takes up again to the version that began it. It returns an error
// if that cannot be told, or no target of the version is registered.
func (e *exchange) pinReturned() error {
	if e.inbound.Position == 0 || !e.route.Resumable {
		return nil
	}
	var version string
	var verdict origins.Verdict
	registered := false
	e.gateway.control.do(func() {
		c, now := e.gateway.control, time.Now()
		c.observeVersions(now, e.service)
		version, verdict = c.origins.Version(now, e.service, e.inbound.Resumed)
		registered = slices.Contains(c.table.Versions(e.service), version)
		if verdict != origins.Untold && registered {
			c.origins.Began(now, e.beganID(), e.service, version)
		}
	})
	e.gateway.metrics.countOrigin(verdict.String())
	e.gateway.log.Event("stream_taken_up", "request", e.inbound.ID, "resumes", e.inbound.Resumed, "position", e.inbound.Position,
		"origin", verdict.String(), "version", version, "registered", registered)
	switch {
	case verdict == origins.Untold:
		return fault.New(fault.NoTarget, "the version that began the stream is not known")
	case !registered && verdict == origins.Known:
		return fault.New(fault.NoTarget, "no target of the version that began the stream is registered")
	}
	e.pin = rollout.Pin{Version: version, Set: true}
	return nil
}

// recordOrigin records the version of the first event of a stream.
func (s *stream) recordOrigin(version string) {
	s.pin = rollout.Pin{Version: version, Set: true}
	c := s.gateway.control
	c.post(func() {
		if c.origins.Began(time.Now(), s.beganID(), s.service, version) {
			c.updatePending = true
		}
	})
}

// endOrigin records that the response of a stream has ended.
func (s *stream) endOrigin() {
	if !s.pin.Set {
		return
	}
	c, complete := s.gateway.control, s.endKind == fault.None
	c.post(func() { c.origins.Ended(time.Now(), s.beganID(), complete) })
}

// versionGone reports whether the service has targets, but none of the version that the stream stays with.
func (s *stream) versionGone() bool {
	if !s.pin.Set {
		return false
	}
	var versions []string
	s.gateway.control.do(func() { versions = s.gateway.control.table.Versions(s.service) })
	return len(versions) > 0 && !slices.Contains(versions, s.pin.Version)
}

// pinned returns the filter for the version that a request stays with.
func pinned(pin rollout.Pin) placement.VersionFilter {
	if !pin.Set {
		return placement.VersionFilter{}
	}
	return placement.VersionFilter{Versions: []string{pin.Version}}
}

// observeVersions records the versions of a service that are registered.
func (c *control) observeVersions(now time.Time, service string) {
	if table := c.gateway.table.Load(); table != nil {
		c.origins.SetLifetime(min(table.LongestStream(), maxStreamTime))
	}
	c.origins.InService(now, service, c.table.Versions(service))
}

// checkOrigins keeps what is known of versions and streams up to date.
func (c *control) checkOrigins(now time.Time) {
	if table := c.gateway.table.Load(); table != nil {
		for _, service := range table.Services() {
			c.observeVersions(now, service)
		}
	}
	c.origins.RemoveExpired(now)
}

// originsKey is the key under which this run of the entry keeps what it knows of its streams. The one of an
// earlier run holds what that knew until its lease ends.
func (g *Gateway) originsKey() string {
	return platform.StreamsPrefix + g.settings.Name + "/" + strconv.FormatInt(g.control.incarnation, 10)
}

// applyOrigins learns which versions began the streams of another entry, or of an earlier run of this one.
func (w *storeWatcher) applyOrigins(item platform.Item) {
	g := w.gateway
	if item.Removed || item.Key == g.originsKey() {
		return
	}
	var streams origins.Streams
	if err := cbor.Unmarshal(item.Value, &streams); err != nil {
		g.log.Event("origins_unreadable", "key", item.Key, "error", err.Error())
		return
	}
	lost := !w.listed
	if lost {
		g.log.Event("origins_learned", "key", item.Key, "streams", streams.Len())
	}
	g.control.do(func() {
		if lost {
			g.control.origins.LearnLost(time.Now(), streams)
		} else {
			g.control.origins.Learn(time.Now(), streams)
		}
	})
}

// originsRecord is what this entry has written to the store of its streams.
type originsRecord struct {
	written origins.Streams
	// lease is that of the key, NoLease if there is none. It was last renewed at renewedAt.
	lease     platform.Lease
	renewedAt time.Time
}

// writeOrigins keeps in the store which versions began this entry's streams, while several may be in service,
// until the process stops.
func (g *Gateway) writeOrigins() {
	record := &originsRecord{}
	for g.background.Err() == nil {
		interval := originsInterval
		var own origins.Streams
		g.control.do(func() {
			own = g.control.origins.Own(time.Now())
			if rate := g.settings.StoreWritesPerSecond; rate > 0 {
				needed := float64(g.control.entryCount()) / (originsWriteShare * rate)
				interval = max(interval, time.Duration(needed*float64(time.Second)))
			}
		})
		if err := g.keepOrigins(record, own); err != nil {
			g.log.Event("origins_not_written", "error", err.Error())
		}
		pause(g.background, interval)
	}
}

// keepOrigins brings the record in the store up to date.
func (g *Gateway) keepOrigins(record *originsRecord, own origins.Streams) error {
	if own == nil && record.written == nil {
		return nil
	}
	ctx, cancel := g.withStoreTimeout()
	defer cancel()
	var err error
	if own == nil {
		_, err = g.store.Commit(ctx, record.lease.Era, nil, nil, []string{g.originsKey()})
		g.metrics.countStoreCall("swap", err)
	} else if err = g.holdOriginsLease(ctx, record); err == nil && !own.Equal(record.written) {
		err = g.commitOrigins(ctx, own, record.lease)
	}
	switch {
	case errors.Is(err, platform.ErrNotFound):
		record.lease, record.written = platform.NoLease, nil
	case err == nil:
		record.written = own
	}
	return err
}

// holdOriginsLease renews the lease of the record in time, or grants one if there is none.
func (g *Gateway) holdOriginsLease(ctx context.Context, record *originsRecord) error {
	asked := time.Now()
	var err error
	switch {
	case record.lease == platform.NoLease:
		var lease platform.Lease
		lease, err = g.store.GrantLease(ctx, originsTTL)
		g.metrics.countStoreCall("lease", err)
		if err == nil {
			record.lease, record.written = lease, nil
		}
	case asked.Sub(record.renewedAt) > originsTTL/3:
		err = g.store.KeepAlive(ctx, record.lease)
		g.metrics.countStoreCall("keep", err)
	default:
		return nil
	}
	if err == nil {
		record.renewedAt = asked
	}
	return errors.WithStack(err)
}

func (g *Gateway) commitOrigins(ctx context.Context, own origins.Streams, lease platform.Lease) error {
	value, err := cbor.Marshal(own)
	if err != nil {
		return errors.WithStack(err)
	}
	write := platform.Write{Key: g.originsKey(), Value: value, Lease: lease}
	_, err = g.store.Commit(ctx, lease.Era, nil, []platform.Write{write}, nil)
	g.metrics.countStoreCall("swap", err)
	return errors.WithStack(err)
}

// isOrigin reports whether an item is one of those that entries write of their streams. Entries tell each other
// the same, so these are not passed on.
func isOrigin(item platform.Item) bool { return strings.HasPrefix(item.Key, platform.StreamsPrefix) }
