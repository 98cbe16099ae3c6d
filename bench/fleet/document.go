package fleet

import (
	"time"

	"github.com/mulberrylane/mulberrylane/version"
)

// Names used in the trial document.
const (
	TrialService   = "trial-lm"
	TrialVersion   = "trial-lm-v1"
	TrialWorkspace = "trial"
	TrialToken     = "trial-token"
	TrialProfile   = "quick"
)

// TrialDocument returns a small configuration with one model service.
func TrialDocument() version.Document {
	return version.Document{
		Services: map[string]version.Service{TrialService: {
			Kind:    version.ModelService,
			Profile: TrialProfile,
			Model:   &version.Model{Version: TrialVersion, Vocabulary: "syllables", MaxTokens: 8192},
		}},
		Workspaces: map[string]version.Workspace{TrialWorkspace: {
			Share:        1,
			TokenDigests: []string{version.TokenDigest(TrialToken)},
		}},
		Profiles: map[string]version.Profile{TrialProfile: trialProfile()},
	}
}

func trialProfile() version.Profile {
	return version.Profile{
		Deadline:           version.Duration(time.Minute),
		FirstTokenWithin:   version.Duration(5 * time.Second),
		ResumeWithin:       version.Duration(5 * time.Second),
		SuspectAfter:       version.Bounds{Min: version.Duration(200 * time.Millisecond), Max: version.Duration(time.Second)},
		Hedge:              version.HedgeOnSuspicion,
		RetryBudget:        0.5,
		Queue:              1000,
		Overload:           version.OverloadQueue,
		Spread:             version.SpreadPrefer,
		OrphanGrace:        version.Duration(5 * time.Second),
		Drain:              version.DrainFinish,
		StaleConfiguration: version.StaleServe,
	}
}
