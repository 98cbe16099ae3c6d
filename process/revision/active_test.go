package revision

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/version"
)

func TestOffer_IgnoresOlderRevisions(t *testing.T) {
	active := NewActive()
	assert.Assert(t, active.Offer(version.Compile(5, version.Document{})))
	assert.Assert(t, !active.Offer(version.Compile(5, version.Document{})))
	assert.Assert(t, !active.Offer(version.Compile(4, version.Document{})))
	assert.Equal(t, active.Current().Revision, version.Revision(5))
}

func TestCheckStaleness_FollowsProfile(t *testing.T) {
	active := NewActive()
	active.Offer(version.Compile(5, version.Document{}))
	now := time.Now()
	active.recordConfirmed(now)
	serve := version.Profile{StaleConfiguration: version.StaleServe}
	refuse := version.Profile{StaleConfiguration: version.StaleRefuse, StaleAfter: version.Duration(time.Minute)}
	assert.NilError(t, active.CheckStaleness(refuse, now.Add(time.Minute)))
	late := now.Add(2 * time.Minute)
	assert.Equal(t, fault.KindOf(active.CheckStaleness(refuse, late)), fault.StaleConfiguration)
	assert.NilError(t, active.CheckStaleness(serve, late))
	active.recordConfirmed(late)
	assert.NilError(t, active.CheckStaleness(refuse, late))
}
