// Package mulberrylane serves long model generations on engines that fail.
//
// An entry accepts requests from callers, and an agent runs beside each target.
// Callers get each token exactly once even if engines, agents and entries crash,
// pause or restart. Both processes are assembled with fx from validated settings;
// the daemons under cmd only read the settings and run the processes.
package mulberrylane

import (
	"go.uber.org/fx"

	"github.com/mulberrylane/mulberrylane/process/agent"
	"github.com/mulberrylane/mulberrylane/process/entry"
	"github.com/mulberrylane/mulberrylane/process/lifecycle"
	"github.com/mulberrylane/mulberrylane/process/settings"
)

// NewEntry returns the fx application of an entry. Run starts it.
func NewEntry(s settings.Entry) *fx.App {
	return lifecycle.NewApp(fx.Supply(s), entry.Module, fx.Invoke(lifecycle.Hook[*entry.Entry]))
}

// NewAgent returns the fx application of an agent. Run starts it.
func NewAgent(s settings.Agent) *fx.App {
	return lifecycle.NewApp(fx.Supply(s), agent.Module, fx.Invoke(lifecycle.Hook[*agent.Agent]))
}

// Run starts app, waits for a termination signal and stops app.
func Run(app *fx.App) error { return lifecycle.Run(app) }
