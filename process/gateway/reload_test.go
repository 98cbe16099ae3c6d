package gateway

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/version"
)

// A reload under load changes the bounds and forgets no retry: callers' retries would exceed
// the operators' bound otherwise.
func TestReload_KeepsRetriesAndAppliesBounds(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	granted := 0
	spend := func() {
		for {
			if _, ok := g.takeRetry("request", "bookings", true); !ok {
				return
			}
			granted++
		}
	}
	spend()
	assert.Assert(t, granted > 0)
	before := granted
	bounds := g.settings.Bounds
	bounds.RevokeWithin = version.Duration(time.Second)
	bounds.Grace = version.Duration(2 * time.Second)
	g.control.do(func() { g.control.setBounds(bounds) })
	spend()
	assert.Equal(t, granted, before, "a reload made room for more retries")
	assert.Equal(t, g.currentBounds().Grace.Std(), 2*time.Second)
	confirmed := g.control.currentFreshness()
	age := 1500 * time.Millisecond
	assert.Assert(t, !confirmed.AcceptsKeys(bootClock()+age-confirmed.Age(bootClock())), "a key is accepted beyond the new bound")
}

// The settings file changes after the entry has read it and before the entry watches it.
func TestReload_ChangeDuringStartIsApplied(t *testing.T) {
	d := newDeployment(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	s := d.entrySettings("entry-1")
	write := func(grace time.Duration, modified time.Time) {
		s.Bounds.Grace = version.Duration(grace)
		data, err := json.Marshal(s)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(path, data, 0o600))
		assert.NilError(t, os.Chtimes(path, modified, modified))
	}
	now := time.Now()
	write(4*time.Second, now.Add(-time.Second))
	var read Settings
	assert.NilError(t, settings.Read(path, &read))
	write(2*time.Second, now)
	g := d.startEntryWith(read)
	assert.Equal(t, g.settings.Bounds.Grace.Std(), 4*time.Second)
	d.waitUntil(func() bool { return g.currentBounds().Grace.Std() == 2*time.Second })
}
