package revision

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/version"
)

func TestOffer_IgnoresOlderRevisions(t *testing.T) {
	h := NewActive()
	assert.Assert(t, h.Offer(version.Compile(5, version.Document{})))
	assert.Assert(t, !h.Offer(version.Compile(5, version.Document{})))
	assert.Assert(t, !h.Offer(version.Compile(4, version.Document{})))
	assert.Equal(t, h.Current().Revision, version.Revision(5))
}

func TestCheckStaleness_FollowsProfile(t *testing.T) {
	h := NewActive()
	h.Offer(version.Compile(5, version.Document{}))
	now := time.Now()
	h.recordConfirmed(now)
	serve := version.Profile{StaleConfiguration: version.StaleServe}
	refuse := version.Profile{StaleConfiguration: version.StaleRefuse, StaleAfter: version.Duration(time.Minute)}
	assert.NilError(t, h.CheckStaleness(refuse, now.Add(time.Minute)))
	late := now.Add(2 * time.Minute)
	assert.Equal(t, fault.KindOf(h.CheckStaleness(refuse, late)), fault.StaleConfiguration)
	assert.NilError(t, h.CheckStaleness(serve, late))
	h.recordConfirmed(late)
	assert.NilError(t, h.CheckStaleness(refuse, late))
}
