package hosts_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/standin/hosts"
)

func placements() []outside.ListedTarget {
	return []outside.ListedTarget{{Target: "a", AgentAddress: "127.0.0.1:1", State: outside.HostLive}}
}

func TestChangesShowAfterTheLag(t *testing.T) {
	late := hosts.New(time.Hour, placements())
	late.SetState("a", outside.HostLeaving)
	late.Put(outside.ListedTarget{Target: "b"})
	assert.DeepEqual(t, late.Visible(), placements())

	prompt := hosts.New(0, placements())
	prompt.SetState("a", outside.HostLeaving)
	assert.Equal(t, prompt.Visible()[0].State, outside.HostLeaving)
}

func TestPutReplacesTheSameTarget(t *testing.T) {
	list := hosts.New(0, placements())
	list.Put(outside.ListedTarget{Target: "a", AgentAddress: "127.0.0.1:2", State: outside.HostLive})
	list.Put(outside.ListedTarget{Target: "b"})
	visible := list.Visible()
	assert.Equal(t, len(visible), 2)
	assert.Equal(t, visible[0].AgentAddress, "127.0.0.1:2")
}
