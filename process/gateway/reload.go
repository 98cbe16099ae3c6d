package gateway

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/mulberrylane/mulberrylane/process/settings"
)

// settingsPollInterval is how often the settings file is checked: it may change without
// a signal.
const settingsPollInterval = 2 * time.Second

// reloadSettings applies the bounds of a changed settings file. All other settings change at
// the next start only; a changed one is logged.
func (g *Gateway) reloadSettings() {
	if g.settings.source == "" {
		return
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := g.settings.sourceModified
	for {
		select {
		case <-g.background.Done():
			return
		case <-signals:
			g.reload("signal")
		case <-ticker.C:
			if now := modTime(g.settings.source); !now.Equal(lastModified) {
				lastModified = now
				g.reload("file changed")
			}
		}
	}
}

// modTime returns when a file was last modified, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (g *Gateway) reload(reason string) {
	var next Settings
	if err := settings.Read(g.settings.source, &next); err != nil {
		g.log.Event("settings_rejected", "reason", reason, "error", err.Error())
		return
	}
	g.control.do(func() { g.control.setBounds(next.Bounds) })
	g.log.Event("settings_reloaded", "reason", reason)
	next.Bounds, next.source, next.sourceModified = g.settings.Bounds, g.settings.source, g.settings.sourceModified
	if next != g.settings {
		g.log.Event("settings_need_restart", "reason", reason)
	}
}

// setBounds applies changed bounds. What the retry budgets have counted is kept.
func (c *control) setBounds(bounds Bounds) {
	c.bounds = bounds
	c.registry.SetAddressReuse(bounds.AddressReuse.Std())
	c.rollouts.SetLimits(bounds.rolloutLimits())
	for _, budget := range c.budgets {
		budget.SetLimits(budgetFraction*bounds.RetryRatio, budgetFraction*bounds.RetrySlack, bounds.RetryWindow.Std())
	}
	freshness := *c.freshness.Load()
	freshness.SetRevocationBound(bounds.RevokeWithin.Std())
	c.freshness.Store(&freshness)
}

// currentBounds returns the bounds in force.
func (g *Gateway) currentBounds() Bounds {
	bounds := g.settings.Bounds
	g.control.do(func() { bounds = g.control.bounds })
	return bounds
}
