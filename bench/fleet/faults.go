package fleet

import (
	"context"
	"net/http"
	"slices"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// kill kills the agent and the engine of a member and closes its relay.
func (m *Member) kill() {
	if m.Agent != nil {
		m.Agent.Kill()
	}
	if m.relay != nil {
		m.relay.Close()
	}
	m.Engine.Kill()
}

// SilenceHost sets whether the host of member i is silent: the relay drops all
// packets to and from its agent, and its engine makes no progress. The member must
// be relayed.
func (f *Fleet) SilenceHost(i int, silent bool) {
	member := f.CurrentMembers()[i]
	member.Engine.SetFaults(engine.Faults{Silent: silent})
	if member.relay != nil {
		member.relay.SetDropPackets(silent)
	}
}

// SetStoreOutage sets whether the key-value service refuses every call.
func (f *Fleet) SetStoreOutage(outage bool) { f.storeOutage.Store(outage) }

func (f *Fleet) refuseInOutage(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.storeOutage.Load() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// CurrentMembers returns a copy of the current member list. It is safe to call while
// members are restarted.
func (f *Fleet) CurrentMembers() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Members)
}

// Restart drains member i, waits for its running work until ctx ends, and replaces
// it by a new engine and agent. It returns the old member.
func (f *Fleet) Restart(ctx context.Context, i int) (*Member, error) {
	old := f.CurrentMembers()[i]
	f.Hosts.SetState(old.Placement.Target, outside.HostLeaving)
	if err := old.Agent.Stop(ctx); err != nil {
		return old, err
	}
	if err := old.Engine.Shutdown(ctx); err != nil {
		return old, err
	}
	if old.relay != nil {
		old.relay.Close()
	}
	member, err := f.newMember(ctx, i)
	if err != nil {
		return old, err
	}
	f.mu.Lock()
	f.Members[i] = member
	f.mu.Unlock()
	f.Hosts.Put(member.Placement)
	return old, nil
}
