package gateway

import (
	"time"

	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/version"
)

// Settings is the settings file of mlgateway. deploy/gateway.json.tmpl fills it in from
// what the platform knows about a machine.
type Settings struct {
	// Name is unique among entries.
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Callers, Health and Metrics are the IP addresses and TCP ports to listen on.
	Callers string `json:"callers"`
	Health  string `json:"health"`
	Metrics string `json:"metrics"`
	// Peers is the IP address and UDP port for updates of other entries.
	Peers string `json:"peers"`
	// Store is the IP address and port of the platform's store.
	Store string `json:"store"`
	// StoreWritesPerSecond is the rate of writes that the store takes from all entries together;
	// zero means unknown.
	StoreWritesPerSecond float64 `json:"storeWritesPerSecond,omitempty"`
	// FirstStart is set when the whole system starts for the first time, so that there
	// are no cached prompts from before to discover.
	FirstStart bool `json:"firstStart"`
	// MemoryMB is the memory that the process may use; zero sets no limit.
	MemoryMB int `json:"memoryMB"`
	// LinkMbps is the bandwidth of the host's link in megabits per second; zero means
	// unknown.
	LinkMbps float64 `json:"linkMbps"`
	Bounds   Bounds  `json:"bounds"`

	// source is the file that the settings were read from, or empty; sourceModified is when
	// it had last been modified before it was read.
	source         string
	sourceModified time.Time
}

// SetSource sets the file that the settings are read from.
func (s *Settings) SetSource(path string) { s.source, s.sourceModified = path, modTime(path) }

// Bounds are guarantees and requirements of the platform's operators.
type Bounds struct {
	// RevokeWithin is how soon a revoked key must no longer be accepted; zero means no
	// bound.
	RevokeWithin version.Duration `json:"revokeWithin"`
	// Grace is how long a process may take to stop once it was asked to.
	Grace version.Duration `json:"grace"`
	// AddressReuse is how soon the address of a target that ended may be given to a
	// target of another service; zero means at once.
	AddressReuse version.Duration `json:"addressReuse"`
	// RetryRatio, RetrySlack and RetryWindow limit the retries of a service.
	RetryRatio  float64          `json:"retryRatio"`
	RetrySlack  float64          `json:"retrySlack"`
	RetryWindow version.Duration `json:"retryWindow"`
	// CanaryShare of the requests of a service, plus CanarySlack requests, is the most that a bad
	// version may get during a roll-out; roll-outs are not served if the share is zero or absent.
	CanaryShare float64 `json:"canaryShare,omitempty"`
	CanarySlack int     `json:"canarySlack,omitempty"`
	// RollbackWithin is how soon after its 50th bad response a version must get no more requests.
	RollbackWithin version.Duration `json:"rollbackWithin,omitempty"`
}

// Check returns all errors in the settings.
func (s *Settings) Check() error {
	c := &settings.Checker{}
	c.Required("name", s.Name)
	c.Required("failureDomain", s.FailureDomain)
	c.Address("callers", s.Callers)
	c.Address("health", s.Health)
	c.Address("metrics", s.Metrics)
	c.Address("peers", s.Peers)
	c.Address("store", s.Store)
	if s.MemoryMB < 0 {
		c.Errorf("memoryMB", "must not be negative")
	}
	if s.LinkMbps < 0 {
		c.Errorf("linkMbps", "must not be negative")
	}
	if s.StoreWritesPerSecond < 0 {
		c.Errorf("storeWritesPerSecond", "must not be negative")
	}
	positive := func(path string, value version.Duration) {
		if value <= 0 {
			c.Errorf(path, "must be longer than zero")
		}
	}
	positive("bounds.grace", s.Bounds.Grace)
	positive("bounds.retryWindow", s.Bounds.RetryWindow)
	if s.Bounds.RevokeWithin < 0 {
		c.Errorf("bounds.revokeWithin", "must not be negative")
	}
	if s.Bounds.RevokeWithin > 0 && s.Bounds.RevokeWithin.Std() < time.Second {
		c.Errorf("bounds.revokeWithin", "%s is too short for polling the store", s.Bounds.RevokeWithin.Std())
	}
	if s.Bounds.AddressReuse < 0 {
		c.Errorf("bounds.addressReuse", "must not be negative")
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 {
		c.Errorf("bounds.retryRatio", "must not be negative, and neither must bounds.retrySlack")
	}
	if s.Bounds.CanaryShare < 0 || s.Bounds.CanaryShare >= 1 || s.Bounds.CanarySlack < 0 {
		c.Errorf("bounds.canaryShare", "must be from 0 to below 1, and bounds.canarySlack must not be negative")
	}
	if s.Bounds.RollbackWithin < 0 {
		c.Errorf("bounds.rollbackWithin", "must not be negative")
	}
	return c.Err()
}
