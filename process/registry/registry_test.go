package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

var start = time.Unix(1000, 0)

func TestRemovedRegistrationIsDroppedAtOnce(t *testing.T) {
	r := New()
	r.Added("a")
	assert.Assert(t, r.Removed(start, "a"))
	assert.Assert(t, !r.Removed(start, "a"), "dropped twice")
}

func TestLapsedRegistrationsAreBelievedAfterAnOutage(t *testing.T) {
	r := New()
	r.Listed(start, []request.TargetID{"a", "b", "c"})
	r.Away()
	assert.Assert(t, r.Back(start))
	assert.Assert(t, !r.Back(start), "the store came back twice")
	assert.Equal(t, len(r.Listed(start, []request.TargetID{"a"})), 0)
	r.Added("b")
	assert.Equal(t, len(r.Due(start.Add(LapseGrace-1))), 0)
	assert.DeepEqual(t, r.Due(start.Add(LapseGrace)), []request.TargetID{"c"})
	assert.Equal(t, len(r.Due(start.Add(LapseGrace))), 0)
}

func TestListWithoutAnOutageDropsWhatIsMissing(t *testing.T) {
	r := New()
	r.Listed(start, []request.TargetID{"a", "b"})
	assert.DeepEqual(t, r.Listed(start, []request.TargetID{"b"}), []request.TargetID{"a"})
}
