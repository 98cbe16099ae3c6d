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

// directoryTimeout is how long the soft directory may take to answer; without an
// answer in time the key counts as unknown.
const directoryTimeout = 300 * time.Millisecond

// directoryLinks returns the links to the agents that rank first for a key.
func (e *Entry) directoryLinks(g request.Generation, count int) []*link.Link {
	var links []*link.Link
	for _, target := range directory.Rank(g.Workspace, g.Key, e.peers.linked(g.Service)) {
		if l := e.peers.link(target); l != nil && len(links) < count {
			links = append(links, l)
		}
	}
	return links
}

// linked returns the targets of a service that there is a link to.
func (p *peers) linked(service string) []request.TargetID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []request.TargetID
	for id, known := range p.byTarget {
		if known.placement.Service == service && known.current() != nil {
			targets = append(targets, id)
		}
	}
	return targets
}

// putPlace tells the soft directory where the request of a key runs, without
// waiting for it.
func (e *Entry) putPlace(ctx context.Context, g request.Generation, place wire.Location) {
	if g.Key == "" {
		return
	}
	place.Workspace = g.Workspace
	place.Service = g.Service
	place.Key = g.Key
	place.Request = g.ID
	place.BodyDigest = g.BodyDigest
	for _, l := range e.directoryLinks(g, directory.ReplicationFactor) {
		go putOne(ctx, l, place)
	}
}

func putOne(ctx context.Context, l *link.Link, place wire.Location) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	stream, err := l.Open(ctx)
	if err != nil {
		return
	}
	defer stream.CloseRead()
	_ = stream.Write(wire.ClientFrame{Directory: &wire.DirectoryRequest{Put: &place}})
	_ = stream.CloseWrite()
}

// findPlace asks the soft directory where the request of a key runs. It returns
// nil when nobody knows.
func (e *Entry) findPlace(ctx context.Context, g request.Generation) *wire.Location {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	links := e.directoryLinks(g, directory.LookupFanout)
	places := make([]*wire.Location, len(links))
	var asked sync.WaitGroup
	for i, l := range links {
		asked.Go(func() { places[i] = findOne(ctx, l, g) })
	}
	asked.Wait()
	return directory.Newest(places)
}

func findOne(ctx context.Context, l *link.Link, g request.Generation) *wire.Location {
	stream, err := l.Open(ctx)
	if err != nil {
		return nil
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	defer stream.CloseRead()
	find := wire.Lookup{Workspace: g.Workspace, Service: g.Service, Key: g.Key}
	if stream.Write(wire.ClientFrame{Directory: &wire.DirectoryRequest{Lookup: &find}}) != nil {
		return nil
	}
	_ = stream.CloseWrite()
	var frame wire.ServerFrame
	if stream.Read(&frame) != nil || frame.LookupReply == nil {
		return nil
	}
	place := frame.LookupReply.Location
	if place == nil || place.Workspace != g.Workspace || place.Key != g.Key {
		return nil
	}
	return place
}
