package hosts_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/standin/hosts"
)

func placements() []platform.Placement {
	return []platform.Placement{{Target: "a", Agent: "127.0.0.1:1", State: platform.HostLive}}
}

func TestChangesShowAfterTheLag(t *testing.T) {
	late := hosts.New(time.Hour, placements())
	late.SetState("a", platform.HostLeaving)
	late.Put(platform.Placement{Target: "b"})
	assert.DeepEqual(t, late.Visible(), placements())

	prompt := hosts.New(0, placements())
	prompt.SetState("a", platform.HostLeaving)
	assert.Equal(t, prompt.Visible()[0].State, platform.HostLeaving)
}

func TestPutReplacesTheSameTarget(t *testing.T) {
	list := hosts.New(0, placements())
	list.Put(platform.Placement{Target: "a", Agent: "127.0.0.1:2", State: platform.HostLive})
	list.Put(platform.Placement{Target: "b"})
	visible := list.Visible()
	assert.Equal(t, len(visible), 2)
	assert.Equal(t, visible[0].Agent, "127.0.0.1:2")
}
