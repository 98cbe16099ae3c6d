package hosts_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/standin/hosts"
)

func listedTargets() []outside.ListedTarget {
	return []outside.ListedTarget{{Target: "a", AgentAddress: "127.0.0.1:1", State: outside.HostLive}}
}

func TestVisible_ShowsChangesAfterLag(t *testing.T) {
	lagging := hosts.New(time.Hour, listedTargets())
	lagging.SetState("a", outside.HostLeaving)
	lagging.Put(outside.ListedTarget{Target: "b"})
	assert.DeepEqual(t, lagging.Visible(), listedTargets())

	immediate := hosts.New(0, listedTargets())
	immediate.SetState("a", outside.HostLeaving)
	assert.Equal(t, immediate.Visible()[0].State, outside.HostLeaving)
}

func TestPut_ReplacesSameTarget(t *testing.T) {
	list := hosts.New(0, listedTargets())
	list.Put(outside.ListedTarget{Target: "a", AgentAddress: "127.0.0.1:2", State: outside.HostLive})
	list.Put(outside.ListedTarget{Target: "b"})
	visible := list.Visible()
	assert.Equal(t, len(visible), 2)
	assert.Equal(t, visible[0].AgentAddress, "127.0.0.1:2")
}
