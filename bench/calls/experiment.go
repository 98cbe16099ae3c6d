package calls

import (
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/version"
)

// Kind is the kind of an experiment file for calls.
const Kind = "calls"

// FaultType names one kind of fault.
type FaultType string

// The faults. Each begins at At and ends after For.
const (
	// KillEntry ends entry Which at once; a new one takes its place after For.
	KillEntry FaultType = "kill-entry"
	// StallEntry holds the traffic of entry Which with the store back; what it had
	// sent takes effect afterwards.
	StallEntry FaultType = "stall-entry"
	// KillAgent ends the agent of target Which at once; a new one takes its place after For.
	KillAgent FaultType = "kill-agent"
	// SilenceAgent cuts the agent of target Which off from the entries.
	SilenceAgent FaultType = "silence-agent"
	// AbandonAgent gives target Which a new agent while the old one goes on, cut off.
	AbandonAgent FaultType = "abandon-agent"
	// PauseApplication stops target Which; what it was sent takes effect afterwards.
	PauseApplication FaultType = "pause-application"
	// StoreOutage breaks every connection to the store.
	StoreOutage FaultType = "store-outage"
	// SlowStore adds a delay to every answer of the store.
	SlowStore FaultType = "slow-store"
)

// Fault is one fault of an experiment.
type Fault struct {
	At    version.Duration `json:"at"`
	Type  FaultType        `json:"type"`
	Which int              `json:"which,omitempty"`
	For   version.Duration `json:"for"`
}

// Experiment describes a run of calls under faults.
type Experiment struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	Seed uint64 `json:"seed"`
	// Entries and Targets count the parts; Domains lists the failure domains.
	Entries int      `json:"entries"`
	Targets int      `json:"targets"`
	Domains []string `json:"domains"`
	// Keys is how many calls there are and Submissions how often they are
	// submitted in all, by Callers callers over Duration.
	Keys        int              `json:"keys"`
	Submissions int              `json:"submissions"`
	Callers     int              `json:"callers"`
	Duration    version.Duration `json:"duration"`
	// Work is how long a call takes, Deadline how long its caller waits.
	Work     version.Duration `json:"work"`
	Deadline version.Duration `json:"deadline"`
	// LoseAnswer and LoseWrite are the shares of writes to the store whose answer
	// is lost after, or which are lost before, they take effect.
	LoseAnswer float64 `json:"loseAnswer"`
	LoseWrite  float64 `json:"loseWrite"`
	// LoseReply breaks every so many replies of the application after the effect.
	LoseReply int     `json:"loseReply,omitempty"`
	Faults    []Fault `json:"faults"`
	// MaxUnknownShare is the target for the share of submissions with an unknown outcome.
	MaxUnknownShare float64 `json:"maxUnknownShare"`
}

// Check returns all errors of the experiment.
func (e *Experiment) Check() error {
	c := &settings.Checker{}
	c.Required("name", e.Name)
	if e.Kind != Kind {
		c.Errorf("kind", "%q is not %q", e.Kind, Kind)
	}
	for path, value := range map[string]int{"entries": e.Entries, "targets": e.Targets, "domains": len(e.Domains), "keys": e.Keys, "submissions": e.Submissions - e.Keys + 1, "callers": e.Callers} {
		if value < 1 {
			c.Errorf(path, "must be at least 1, and submissions at least keys")
		}
	}
	if e.Deadline <= 0 || e.Duration <= 0 {
		c.Errorf("deadline", "deadline and duration must be over 0s")
	}
	for i, fault := range e.Faults {
		if problem := e.checkFault(fault); problem != "" {
			c.Errorf("faults", "number %d: %s", i, problem)
		}
	}
	return c.Err()
}

func (e *Experiment) checkFault(fault Fault) string {
	count := e.Targets
	switch fault.Type {
	case KillEntry, StallEntry:
		count = e.Entries
	case KillAgent, SilenceAgent, AbandonAgent, PauseApplication, StoreOutage, SlowStore:
	default:
		return "type: " + string(fault.Type) + " is not known"
	}
	if fault.Which < 0 || fault.Which >= count {
		return "which: there is no such part"
	}
	return ""
}

// ReadExperiment reads the experiment file at path.
func ReadExperiment(path string) (*Experiment, error) {
	e := &Experiment{}
	return e, settings.Read(path, e)
}

// ReadKind returns the kind of the experiment file at path.
func ReadKind(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "experiment")
	}
	var head struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return "", errors.Wrapf(err, "experiment %s", path)
	}
	return head.Kind, nil
}

// slowStoreDelay is the delay of a slow store; it is under the time that an entry
// waits for an answer.
const slowStoreDelay = 200 * time.Millisecond
