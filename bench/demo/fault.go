package demo

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/request"
)

// Fault is one fault of the demonstration.
type Fault struct {
	// After is the time after the start at which it is due.
	After time.Duration `json:"after"`
	// Process is the name of the affected process.
	Process string `json:"process"`
	// Kind is "kill" or "pause".
	Kind string `json:"kind"`
	// Target is the model target that becomes unavailable, or empty if none does.
	Target request.TargetID `json:"target,omitempty"`
	// For is the duration of a pause.
	For time.Duration `json:"for,omitempty"`

	injectedAt time.Time
}

const (
	kindKill  = "kill"
	kindPause = "pause"
)

// faultPlan returns the faults of the demonstration: two engines are killed, one is
// paused and resumed, and two agents (one of an engine, one of an application replica)
// and an entry are killed. Two engines and two application replicas are not affected.
func faultPlan() []Fault {
	return []Fault{
		{After: 3 * time.Second, Process: "engine-1", Kind: kindKill, Target: "engine-1"},
		{After: 6 * time.Second, Process: "engine-2", Kind: kindPause, Target: "engine-2", For: 4 * time.Second},
		{After: 8 * time.Second, Process: "agent-" + fleet.TrialApplication + "-1", Kind: kindKill},
		{After: 9 * time.Second, Process: "agent-3", Kind: kindKill, Target: "engine-3"},
		{After: 12 * time.Second, Process: "entry-1", Kind: kindKill},
		{After: 15 * time.Second, Process: "engine-4", Kind: kindKill, Target: "engine-4"},
	}
}

// signaller sends signals to processes by the process IDs that the script has recorded.
type signaller struct{ directory string }

func (s signaller) pid(name string) (int, error) {
	data, err := os.ReadFile(filepath.Join(s.directory, "pids", name))
	if err != nil {
		return 0, errors.Wrap(err, "pid")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	return pid, errors.Wrap(err, "pid")
}

func (s signaller) send(name string, signal syscall.Signal) error {
	pid, err := s.pid(name)
	if err != nil {
		return err
	}
	return errors.Wrapf(syscall.Kill(pid, signal), "signal %s", name)
}

// inject injects a fault and returns the time of injection.
func (s signaller) inject(fault Fault) (time.Time, error) {
	at := time.Now()
	if fault.Kind == kindKill {
		return at, s.send(fault.Process, syscall.SIGKILL)
	}
	if err := s.send(fault.Process, syscall.SIGSTOP); err != nil {
		return at, err
	}
	time.AfterFunc(fault.For, func() { _ = s.send(fault.Process, syscall.SIGCONT) })
	return at, nil
}
