// Package lifecycle assembles, starts and stops a process with fx.
package lifecycle

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"
)

const (
	startTimeout = 15 * time.Second
	// stopTimeout bounds how long a planned stop waits for running requests.
	stopTimeout = 30 * time.Minute
)

// NewApp returns an application assembled from parts, with the timeouts of a process.
func NewApp(parts ...fx.Option) *fx.App {
	common := fx.Options(fx.NopLogger, fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout))
	return fx.New(append(parts, common)...)
}

// Process is started and stopped with an application.
type Process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Hook makes p start and stop with its application.
func Hook[P Process](lifecycle fx.Lifecycle, p P) {
	lifecycle.Append(fx.Hook{OnStart: p.Start, OnStop: p.Stop})
}

// Run starts app, waits for a signal or a shutdown request, and stops app.
func Run(app *fx.App) error {
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "assemble")
	}
	// A signal that arrives while the application starts stops it afterwards.
	stopRequested := app.Wait()
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return errors.Wrap(err, "start")
	}
	<-stopRequested
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	return errors.Wrap(app.Stop(stopCtx), "stop")
}
