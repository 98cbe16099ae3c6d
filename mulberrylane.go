// Package mulberrylane serves long model generations on engines that fail.
//
// An Entry takes requests from callers and an Agent stands beside each target.
// Callers get each token exactly once though engines, agents and entries die,
// pause and come back. Both processes are assembled with fx from checked
// settings; the daemons under cmd only read the settings and call Run.
package mulberrylane

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/mulberrylane/mulberrylane/process/agent"
	"github.com/mulberrylane/mulberrylane/process/entry"
	"github.com/mulberrylane/mulberrylane/process/settings"
)

const (
	startTimeout = 15 * time.Second
	// stopTimeout is how long a planned stop waits for running requests.
	stopTimeout = 30 * time.Minute
)

// NewEntry returns the application of an entry. It starts with Run.
func NewEntry(s settings.Entry) *fx.App {
	return newApp(fx.Supply(s), entry.Module, fx.Invoke(hook[*entry.Entry]))
}

// NewAgent returns the application of an agent. It starts with Run.
func NewAgent(s settings.Agent) *fx.App {
	return newApp(fx.Supply(s), agent.Module, fx.Invoke(hook[*agent.Agent]))
}

func newApp(parts ...fx.Option) *fx.App {
	common := fx.Options(fx.NopLogger, fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout))
	return fx.New(append(parts, common)...)
}

// process is what starts and stops with an application.
type process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

func hook[P process](lifecycle fx.Lifecycle, p P) {
	lifecycle.Append(fx.Hook{OnStart: p.Start, OnStop: p.Stop})
}

// Run starts app, waits for a signal to end, and stops it.
func Run(app *fx.App) error {
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "assemble")
	}
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return errors.Wrap(err, "start")
	}
	<-app.Wait()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	return errors.Wrap(app.Stop(stopCtx), "stop")
}
