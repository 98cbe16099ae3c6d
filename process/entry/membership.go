package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/membership"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// subsetFrom is the size of a service from which an entry keeps links to only
	// a part of its targets.
	subsetFrom = 48
	// subsetLeast and subsetMost bound that part before it is widened. Within them
	// the parts of all services together have subsetLinks links.
	subsetLeast = 3
	subsetMost  = 16
	subsetLinks = 48
	// reachPoll is how often a link that was asked for is looked at.
	reachPoll = 10 * time.Millisecond
)

// roster is what the host list showed last. The goroutine that follows the list
// owns it.
type roster struct {
	subsets map[string]*membership.Subset
}

// followHosts reads the host list and keeps a peer for every target it chooses.
func (e *Entry) followHosts(ctx context.Context) {
	ticker := time.NewTicker(e.settings.Platform.HostListInterval.Std())
	defer ticker.Stop()
	r := &roster{subsets: map[string]*membership.Subset{}}
	for {
		placements, err := e.hosts.Targets(ctx)
		switch {
		case err != nil:
			klog.InfoS("host list not read", "err", err)
		case len(placements) == 0:
			klog.InfoS("host list is empty and not believed")
		default:
			e.applyPlacements(ctx, r, placements)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyPlacements links to the chosen targets and unlinks the others once no
// attempt of this entry runs there. A target that the list no longer shows is
// taken to leave.
func (e *Entry) applyPlacements(ctx context.Context, r *roster, placements []outside.ListedTarget) {
	view := e.control.listView(ctx)
	wanted := e.choose(r, placements, view)
	leaving := map[request.TargetID]bool{}
	e.peers.mu.Lock()
	e.peers.listed = map[request.TargetID]outside.ListedTarget{}
	for _, placement := range placements {
		e.peers.listed[placement.Target] = placement
		leaving[placement.Target] = placement.State == outside.HostLeaving
		if wanted[placement.Target] {
			e.addPeer(ctx, placement)
		}
	}
	for id, known := range e.peers.byTarget {
		if _, listed := leaving[id]; !listed {
			leaving[id] = true
		}
		if !wanted[id] && !view.busy[id] && time.Now().After(known.keepUntil) {
			known.cancel()
			delete(e.peers.byTarget, id)
		}
	}
	e.peers.mu.Unlock()
	e.control.listLeaving(ctx, leaving)
}

// choose returns the targets to keep links to.
func (e *Entry) choose(r *roster, placements []outside.ListedTarget, view listView) map[request.TargetID]bool {
	byService := map[string][]membership.Target{}
	for _, placement := range placements {
		target := membership.Target{ID: placement.Target, FailureDomain: placement.FailureDomain}
		byService[placement.Service] = append(byService[placement.Service], target)
	}
	wanted := map[request.TargetID]bool{}
	for service, targets := range byService {
		if len(targets) < subsetFrom {
			for _, target := range targets {
				wanted[target.ID] = true
			}
			continue
		}
		now := time.Now()
		subset, ok := r.subsets[service]
		if !ok {
			subset = membership.NewSubset(now, e.settings.Name, subsetBase(len(byService)))
			r.subsets[service] = subset
		}
		for _, id := range subset.Choose(now, targets, view.short[service]) {
			wanted[id] = true
		}
	}
	return wanted
}

// subsetBase is how many targets of each of so many services an entry has links to.
func subsetBase(services int) int {
	return min(subsetMost, max(subsetLeast, subsetLinks/services))
}

func (e *Entry) addPeer(ctx context.Context, placement outside.ListedTarget) {
	known, ok := e.peers.byTarget[placement.Target]
	if ok && known.placement.AgentAddress == placement.AgentAddress {
		return
	}
	if ok {
		known.cancel()
	}
	peerCtx, cancel := context.WithCancel(ctx)
	added := &peer{placement: placement, cancel: cancel}
	e.peers.byTarget[placement.Target] = added
	e.tasks.Go(func() { e.keepLink(peerCtx, added) })
}

// reach returns the link to a target, also to one outside the subset: then it is
// dialled and kept for a while. It returns nil when there is none in time.
func (e *Entry) reach(ctx context.Context, target request.TargetID) *link.Link {
	if l := e.peers.link(target); l != nil {
		return l
	}
	e.peers.mu.Lock()
	placement, listed := e.peers.listed[target]
	if _, ok := e.peers.byTarget[target]; !ok && listed {
		e.addPeer(e.base, placement)
		e.peers.byTarget[target].keepUntil = time.Now().Add(reachKeep)
	}
	e.peers.mu.Unlock()
	if !listed {
		return nil
	}
	deadline := time.Now().Add(dialTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if l := e.peers.link(target); l != nil {
			return l
		}
		time.Sleep(reachPoll)
	}
	return nil
}

// reachKeep is how long a link outside the subset is kept.
const reachKeep = 30 * time.Second

// listView is what the control goroutine knows that the choice of links needs.
type listView struct {
	// busy holds the targets on which attempts of this entry run, short the
	// services whose requests wait.
	busy  map[request.TargetID]bool
	short map[string]bool
}

func (c *control) listView(ctx context.Context) listView {
	reply := make(chan listView, 1)
	c.do(ctx, func() {
		view := listView{busy: map[request.TargetID]bool{}, short: map[string]bool{}}
		for _, target := range c.table.Targets() {
			view.busy[target.ID] = target.InFlight > 0
		}
		for _, service := range c.desk.controller.Services() {
			view.short[service] = c.desk.controller.Waiting(service) > 0
		}
		reply <- view
	})
	select {
	case view := <-reply:
		return view
	case <-ctx.Done():
		return listView{}
	case <-c.done:
		return listView{}
	}
}
