package entry

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/process/directory"
	"github.com/mulberrylane/mulberrylane/request"
)

// directoryTimeout is how long the soft directory may take to reply. Without a reply
// in time the key counts as unknown.
const directoryTimeout = 300 * time.Millisecond

// directoryLinks returns the links to the agents that rank first for a key, at most
// count of them.
func (e *Entry) directoryLinks(g request.Generation, count int) []*link.Link {
	var links []*link.Link
	for _, target := range directory.Rank(g.Workspace, g.Key, e.peers.linkedTargets(g.Service)) {
		if l := e.peers.link(target); l != nil && len(links) < count {
			links = append(links, l)
		}
	}
	return links
}

// linkedTargets returns the targets of a service to which there is a link.
func (p *peers) linkedTargets(service string) []request.TargetID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []request.TargetID
	for id, candidate := range p.byTarget {
		if candidate.listed.Service == service && candidate.currentLink() != nil {
			targets = append(targets, id)
		}
	}
	return targets
}

// publishLocation stores in the soft directory where the request of a key runs. It
// does not wait for the writes.
func (e *Entry) publishLocation(ctx context.Context, g request.Generation, location wire.Location) {
	if g.Key == "" {
		return
	}
	location.Workspace = g.Workspace
	location.Service = g.Service
	location.Key = g.Key
	location.Request = g.ID
	location.BodyDigest = g.BodyDigest
	for _, l := range e.directoryLinks(g, directory.ReplicationFactor) {
		go sendLocation(ctx, l, location)
	}
}

func sendLocation(ctx context.Context, l *link.Link, location wire.Location) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	stream, err := l.Open(ctx)
	if err != nil {
		return
	}
	defer stream.CloseRead()
	_ = stream.Write(wire.ClientFrame{Directory: &wire.DirectoryRequest{Put: &location}})
	_ = stream.CloseWrite()
}

// findLocation looks up in the soft directory where the request of a key runs. It
// returns nil when no agent knows.
func (e *Entry) findLocation(ctx context.Context, g request.Generation) *wire.Location {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	links := e.directoryLinks(g, directory.LookupFanout)
	locations := make([]*wire.Location, len(links))
	var lookups sync.WaitGroup
	for i, l := range links {
		lookups.Go(func() { locations[i] = requestLocation(ctx, l, g) })
	}
	lookups.Wait()
	return directory.Newest(locations)
}

func requestLocation(ctx context.Context, l *link.Link, g request.Generation) *wire.Location {
	stream, err := l.Open(ctx)
	if err != nil {
		return nil
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	defer stream.CloseRead()
	lookup := wire.Lookup{Workspace: g.Workspace, Service: g.Service, Key: g.Key}
	if stream.Write(wire.ClientFrame{Directory: &wire.DirectoryRequest{Lookup: &lookup}}) != nil {
		return nil
	}
	_ = stream.CloseWrite()
	var frame wire.ServerFrame
	if stream.Read(&frame) != nil || frame.LookupReply == nil {
		return nil
	}
	location := frame.LookupReply.Location
	if location == nil || location.Workspace != g.Workspace || location.Key != g.Key {
		return nil
	}
	return location
}
