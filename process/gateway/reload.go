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

// reloadSettings applies AddressReuse and the bounds on retries of a changed settings
// file. All other settings change at the next start only.
func (g *Gateway) reloadSettings() {
	if g.settings.source == "" {
		return
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(g.settings.source)
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
	g.control.do(func() {
		g.control.bounds = next.Bounds
		g.control.registry.SetAddressReuse(next.Bounds.AddressReuse.Std())
		clear(g.control.budgets)
	})
	g.log.Event("settings_reloaded", "reason", reason)
}
