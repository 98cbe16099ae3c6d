package fleet

import (
	"context"
	"net/http"
	"slices"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// kill ends both processes of a member at once.
func (m *Member) kill() {
	if m.Agent != nil {
		m.Agent.Kill()
	}
	if m.relay != nil {
		m.relay.Close()
	}
	m.Engine.Kill()
}

// SilenceHost cuts the host of member i off: no packet passes between its agent
// and anyone, and its engine stands still. The member must be relayed.
func (f *Fleet) SilenceHost(i int, silent bool) {
	member := f.CurrentMembers()[i]
	member.Engine.SetFaults(engine.Faults{Silent: silent})
	if member.relay != nil {
		member.relay.SetDropPackets(silent)
	}
}

// SetStoreOutage makes the key-value service refuse every call, or serve again.
func (f *Fleet) SetStoreOutage(out bool) { f.storeOut.Store(out) }

func (f *Fleet) refuseInOutage(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.storeOut.Load() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// CurrentMembers returns the members of this instant, while others may be restarted.
func (f *Fleet) CurrentMembers() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Members)
}

// Restart stops member i as planned, waits for its running work until ctx ends,
// and puts a new engine and agent in its place. It returns the member that left.
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
