// Package mulberrylane serves long model generations on engines that fail.
//
// An Entry takes requests from callers and an Agent stands beside each target.
// Callers get each token exactly once though engines, agents and entries die,
// pause and come back. Both processes are assembled with fx from checked
// settings; the daemons under cmd only read the settings and run them.
package mulberrylane

import (
	"go.uber.org/fx"

	"github.com/mulberrylane/mulberrylane/process/agent"
	"github.com/mulberrylane/mulberrylane/process/entry"
	"github.com/mulberrylane/mulberrylane/process/lifecycle"
	"github.com/mulberrylane/mulberrylane/process/settings"
)

// NewEntry returns the application of an entry. It starts with Run.
func NewEntry(s settings.Entry) *fx.App {
	return lifecycle.NewApp(fx.Supply(s), entry.Module, fx.Invoke(lifecycle.Hook[*entry.Entry]))
}

// NewAgent returns the application of an agent. It starts with Run.
func NewAgent(s settings.Agent) *fx.App {
	return lifecycle.NewApp(fx.Supply(s), agent.Module, fx.Invoke(lifecycle.Hook[*agent.Agent]))
}

// Run starts app, waits for a signal to end, and stops it.
func Run(app *fx.App) error { return lifecycle.Run(app) }
