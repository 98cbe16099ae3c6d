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
	// subsetThreshold is the minimum number of targets of a service for which an entry
	// keeps links to only a subset of them.
	subsetThreshold = 48
	// minSubsetBase and maxSubsetBase bound the size of a subset before it is widened.
	// Within these bounds, the subsets of all services share subsetLinkBudget links.
	minSubsetBase    = 3
	maxSubsetBase    = 16
	subsetLinkBudget = 48
	// linkPollInterval is how often linkTo checks whether a new link has come up.
	linkPollInterval = 10 * time.Millisecond
)

// subsetState holds the subset of each large service. It is owned by the goroutine
// that follows the host list.
type subsetState struct {
	subsets map[string]*membership.Subset
	// rejected holds the listed targets that are not used, and why.
	rejected map[request.TargetID]string
}

// usable returns the listed targets that may be used. Each of the others is logged when it is
// first rejected for a reason.
func (s *subsetState) usable(hostList []outside.ListedTarget) []outside.ListedTarget {
	rejected := map[request.TargetID]string{}
	targets := make([]outside.ListedTarget, 0, len(hostList))
	for _, listed := range hostList {
		err := listed.Validate()
		if err == nil {
			targets = append(targets, listed)
			continue
		}
		rejected[listed.Target] = err.Error()
		if s.rejected[listed.Target] != err.Error() {
			klog.InfoS("a listed target is not used", "target", listed.Target[:min(len(listed.Target), maxLoggedBytes)], "err", err)
		}
	}
	s.rejected = rejected
	return targets
}

// maxLoggedBytes limits the ID of a target that is not used in the log.
const maxLoggedBytes = 200

// followHostList reads the host list periodically and keeps a peer for every selected
// target.
func (e *Entry) followHostList(ctx context.Context) {
	ticker := time.NewTicker(e.settings.Platform.HostListInterval.Std())
	defer ticker.Stop()
	state := &subsetState{subsets: map[string]*membership.Subset{}}
	for {
		hostList, err := e.hosts.Targets(ctx)
		hostList = state.usable(hostList)
		switch {
		case err != nil:
			klog.InfoS("failed to read the host list", "err", err)
		case len(hostList) == 0:
			klog.InfoS("host list is empty; keeping the previous targets")
		default:
			e.applyHostList(ctx, state, hostList)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyHostList links to the selected targets and unlinks the others once no attempt
// of this entry runs there. A target that the list no longer shows counts as draining.
func (e *Entry) applyHostList(ctx context.Context, state *subsetState, hostList []outside.ListedTarget) {
	view := e.control.membershipView(ctx)
	selected := e.selectTargets(state, hostList, view)
	draining := map[request.TargetID]bool{}
	e.peers.mu.Lock()
	e.peers.hostList = map[request.TargetID]outside.ListedTarget{}
	for _, listed := range hostList {
		e.peers.hostList[listed.Target] = listed
		draining[listed.Target] = listed.State == outside.HostLeaving
		if selected[listed.Target] {
			e.addPeer(ctx, listed)
		}
	}
	for id, existing := range e.peers.byTarget {
		if _, found := draining[id]; !found {
			draining[id] = true
		}
		if !selected[id] && !view.busy[id] && time.Now().After(existing.keepUntil) {
			existing.cancel()
			delete(e.peers.byTarget, id)
		}
	}
	e.peers.mu.Unlock()
	e.control.setListedDraining(ctx, draining)
}

// selectTargets returns the targets to which the entry keeps links.
func (e *Entry) selectTargets(state *subsetState, hostList []outside.ListedTarget, view membershipView) map[request.TargetID]bool {
	byService := map[string][]membership.Target{}
	for _, listed := range hostList {
		target := membership.Target{ID: listed.Target, FailureDomain: listed.FailureDomain}
		byService[listed.Service] = append(byService[listed.Service], target)
	}
	selected := map[request.TargetID]bool{}
	for service, targets := range byService {
		if len(targets) < subsetThreshold {
			for _, target := range targets {
				selected[target.ID] = true
			}
			continue
		}
		now := time.Now()
		subset, ok := state.subsets[service]
		if !ok {
			subset = membership.NewSubset(now, e.settings.Name, subsetBase(len(byService)))
			state.subsets[service] = subset
		}
		for _, id := range subset.Choose(now, targets, view.backlogged[service]) {
			selected[id] = true
		}
	}
	return selected
}

// subsetBase returns the size of a subset before it is widened, given the number of
// services on the host list.
func subsetBase(services int) int {
	return min(maxSubsetBase, max(minSubsetBase, subsetLinkBudget/services))
}

func (e *Entry) addPeer(ctx context.Context, listed outside.ListedTarget) {
	existing, ok := e.peers.byTarget[listed.Target]
	if ok && existing.listed.AgentAddress == listed.AgentAddress {
		return
	}
	if ok {
		existing.cancel()
	}
	peerCtx, cancel := context.WithCancel(ctx)
	added := &peer{listed: listed, cancel: cancel}
	e.peers.byTarget[listed.Target] = added
	e.tasks.Go(func() { e.keepLink(peerCtx, added) })
}

// linkTo returns the link to a target. A target outside the subset is dialled and its
// link kept for extraLinkRetention. linkTo returns nil when the target is not listed or
// no link comes up within dialTimeout.
func (e *Entry) linkTo(ctx context.Context, target request.TargetID) *link.Link {
	if l := e.peers.link(target); l != nil {
		return l
	}
	e.peers.mu.Lock()
	listed, found := e.peers.hostList[target]
	if _, ok := e.peers.byTarget[target]; !ok && found {
		e.addPeer(e.baseContext, listed)
		e.peers.byTarget[target].keepUntil = time.Now().Add(extraLinkRetention)
	}
	e.peers.mu.Unlock()
	if !found {
		return nil
	}
	deadline := time.Now().Add(dialTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if l := e.peers.link(target); l != nil {
			return l
		}
		time.Sleep(linkPollInterval)
	}
	return nil
}

// extraLinkRetention is how long a link to a target outside the subset is kept.
const extraLinkRetention = 30 * time.Second

// membershipView is the part of the control goroutine's state that the selection of
// links depends on.
type membershipView struct {
	// busy is true for targets on which attempts of this entry run, backlogged for
	// services with queued requests.
	busy       map[request.TargetID]bool
	backlogged map[string]bool
}

func (c *control) membershipView(ctx context.Context) membershipView {
	reply := make(chan membershipView, 1)
	c.do(ctx, func() {
		view := membershipView{busy: map[request.TargetID]bool{}, backlogged: map[string]bool{}}
		for _, target := range c.table.Targets() {
			view.busy[target.ID] = target.InFlight > 0
		}
		for _, service := range c.admission.controller.Services() {
			view.backlogged[service] = c.admission.controller.Waiting(service) > 0
		}
		reply <- view
	})
	select {
	case view := <-reply:
		return view
	case <-ctx.Done():
		return membershipView{}
	case <-c.done:
		return membershipView{}
	}
}
