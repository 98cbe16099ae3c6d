package calls

import (
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/version"
)

// Kind is the kind of an experiment file that describes calls under faults.
const Kind = "calls"

// FaultType is the type of a fault.
type FaultType string

// The types of faults. A fault begins at At and ends after For.
const (
	// KillEntry kills entry Which and starts a new one in its place after For.
	KillEntry FaultType = "kill-entry"
	// StallEntry holds back the traffic between entry Which and the store. Requests that
	// the entry has sent take effect when the fault ends.
	StallEntry FaultType = "stall-entry"
	// KillAgent kills the agent of target Which and starts a new one in its place after For.
	KillAgent FaultType = "kill-agent"
	// SilenceAgent cuts the agent of target Which off from the entries.
	SilenceAgent FaultType = "silence-agent"
	// AbandonAgent starts a second agent for target Which while the first one keeps
	// running, cut off from the entries.
	AbandonAgent FaultType = "abandon-agent"
	// PauseApplication pauses target Which. Calls sent to it meanwhile take effect when the
	// fault ends.
	PauseApplication FaultType = "pause-application"
	// StoreOutage breaks every connection to the store.
	StoreOutage FaultType = "store-outage"
	// SlowStore delays every response of the store.
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
	// Entries and Targets are the numbers of entries and targets, Domains lists the
	// failure domains.
	Entries int      `json:"entries"`
	Targets int      `json:"targets"`
	Domains []string `json:"domains"`
	// Keys is the number of calls and Submissions the total number of submissions, which
	// Callers callers send over Duration.
	Keys        int              `json:"keys"`
	Submissions int              `json:"submissions"`
	Callers     int              `json:"callers"`
	Duration    version.Duration `json:"duration"`
	// CallTime is the processing time of a call, Deadline the deadline of its caller.
	CallTime version.Duration `json:"work"`
	Deadline version.Duration `json:"deadline"`
	// ResponseLossRate is the share of writes to the store that take effect but whose
	// response is lost, WriteLossRate the share that are lost before they take effect.
	ResponseLossRate float64 `json:"loseAnswer"`
	WriteLossRate    float64 `json:"loseWrite"`
	// DropEveryNthResponse makes the application drop every n-th response after the call
	// has taken effect. Zero means none.
	DropEveryNthResponse int     `json:"loseReply,omitempty"`
	Faults               []Fault `json:"faults"`
	// MaxUnknownShare bounds the share of submissions with an unknown outcome.
	MaxUnknownShare float64 `json:"maxUnknownShare"`
}

// Check validates the experiment and returns all its errors.
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
		c.Errorf("deadline", "deadline and duration must be greater than 0s")
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
		return "which: there is no such entry or target"
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

// slowStoreDelay is the delay of a slow store. It is shorter than the time that an
// entry waits for a response of the store.
const slowStoreDelay = 200 * time.Millisecond
