package fleet_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

// Another writer leaves odd targets in the host list, and overwrites a sound one for a while.
func TestHostList_OddTargetsAreNotUsed(t *testing.T) {
	f := startWithDrainPolicy(t, version.DrainFinish)
	// Entries prefer one of two idle targets.
	preferred := startPending(t, f, trialRequest()).awaitCorrect(t)
	sound := f.Members[0].Placement
	if string(sound.Target) != preferred {
		sound = f.Members[1].Placement
	}
	for id, change := range map[request.TargetID]func(target *outside.ListedTarget){
		"o-port":     func(target *outside.ListedTarget) { target.AgentAddress = "127.0.0.1:70000" },
		"o-negative": func(target *outside.ListedTarget) { target.AgentAddress = "127.0.0.1:-4" },
		"o-name":     func(target *outside.ListedTarget) { target.AgentAddress = "nowhere.example:http" },
		"o-domain":   func(target *outside.ListedTarget) { target.FailureDomain = strings.Repeat("z", 1<<20) },
		"o-state":    func(target *outside.ListedTarget) { target.State = "asleep" },
		"o-service":  func(target *outside.ListedTarget) { target.Service = "" },
	} {
		odd := sound
		odd.Target = id
		change(&odd)
		f.Hosts.Put(odd)
	}
	expectServed := func(unused request.TargetID) {
		t.Helper()
		for range 4 {
			assert.Assert(t, startPending(t, f, trialRequest()).awaitCorrect(t) != string(unused))
		}
	}
	expectServed("")
	overwritten := sound
	overwritten.State = "asleep"
	f.Hosts.Put(overwritten)
	awaitUse(t, f, sound.Target, false)
	expectServed(sound.Target)
	f.Hosts.Put(sound)
	awaitUse(t, f, sound.Target, true)
}

// awaitUse waits until requests run at a target, or no longer do.
func awaitUse(t *testing.T, f *fleet.Fleet, target request.TargetID, wanted bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for i, unused := 0, 0; ; i++ {
		// A new prompt each time, which no target has cached.
		req := trialRequest()
		req.Prompt = strconv.Itoa(i) + strconv.FormatBool(wanted) + req.Prompt
		used := startPending(t, f, req).awaitCorrect(t) == string(target)
		if unused++; used {
			unused = 0
		}
		if wanted && used || !wanted && unused == 6 {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "used: %t", used)
	}
}
