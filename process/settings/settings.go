// Package settings reads and validates the JSON settings of the daemons. Decoding is
// strict: unknown fields are errors, and every error names its field.
package settings

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/keys"
	"github.com/mulberrylane/mulberrylane/version"
)

// Platform holds the URLs of the platform's services.
type Platform struct {
	// StoreURLs lists the base URLs of the key-value service.
	StoreURLs []string `json:"store"`
	// HostListURL is the URL of the host list.
	HostListURL string `json:"hostList"`
	// HostListInterval is the interval at which the host list is read.
	HostListInterval version.Duration `json:"hostListEvery,omitempty"`
}

// Entry is the settings file of mlentry.
type Entry struct {
	// Name is unique among entries.
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// CallerAddress is the IP address and TCP port for callers.
	CallerAddress string `json:"callers"`
	// OperatorAddress is the IP address and TCP port for health, metrics and the time line.
	OperatorAddress string `json:"operators"`
	// OperatorTokenDigests lists the SHA-256 digests of operator tokens.
	OperatorTokenDigests []string   `json:"operatorDigests,omitempty"`
	Keys                 keys.Files `json:"keys"`
	Platform             Platform   `json:"platform"`
	Limits               Limits     `json:"limits"`
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// MaxHeaderBytes bounds the request headers.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	// IdleTimeout is the time after which a connection without requests is closed.
	IdleTimeout version.Duration `json:"idleTimeout,omitempty"`
	// CallerWriteTimeout bounds one write to a caller.
	CallerWriteTimeout version.Duration `json:"slowCaller,omitempty"`
	// MemoryMB is the memory that the process may use in MiB, of which a part may be held for
	// callers; zero means the default for that part.
	MemoryMB int `json:"memoryMB,omitempty"`
}

// Agent is the settings file of mlagent.
type Agent struct {
	// Name is unique among agents.
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Host          string `json:"host"`
	// Target names the target beside this agent, and Service the service of the target.
	Target  string `json:"target"`
	Service string `json:"service"`
	// LinkAddress is the IP address and UDP port for links.
	LinkAddress string `json:"links"`
	// OperatorAddress is the IP address and TCP port for health, metrics and the time line.
	OperatorAddress      string     `json:"operators"`
	OperatorTokenDigests []string   `json:"operatorDigests,omitempty"`
	Keys                 keys.Files `json:"keys"`
	Platform             Platform   `json:"platform"`
	// EngineURL is the base URL of a model engine.
	EngineURL string `json:"engine,omitempty"`
	// ApplicationURL is the base URL of an application target.
	ApplicationURL string `json:"application,omitempty"`
}

// Checker validates a settings file and collects all errors.
type Checker struct{ problems []string }

// Errorf adds an error about the field at path.
func (c *Checker) Errorf(path, format string, args ...any) {
	c.problems = append(c.problems, errors.Errorf(path+": "+format, args...).Error())
}

// Required checks that a text field is set.
func (c *Checker) Required(path, value string) {
	if value == "" {
		c.Errorf(path, "must be set")
	}
}

// Address checks that a field is an IP address and port.
func (c *Checker) Address(path, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.Errorf(path, "%q is not an IP address and port such as 10.0.0.1:7000", value)
	}
}

// Err returns all errors as one, or nil.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(c.problems, "\n"))
}

func (c *Checker) checkKeys(files keys.Files) {
	c.Required("keys.certificate", files.Certificate)
	c.Required("keys.key", files.Key)
	c.Required("keys.authority", files.CA)
}

// checkOperators checks the address of the operators' endpoint. Without token digests the
// endpoint may listen on a loopback address only.
func (c *Checker) checkOperators(address string, digests []string) {
	c.Address("operators", address)
	host, _, err := net.SplitHostPort(address)
	if err == nil && len(digests) == 0 && !net.ParseIP(host).IsLoopback() {
		c.Errorf("operatorDigests", "must name a token, since operators %q is not a loopback address", address)
	}
}

func (c *Checker) checkPlatform(p Platform) {
	if len(p.StoreURLs) == 0 {
		c.Errorf("platform.store", "must name at least one URL")
	}
	c.Required("platform.hostList", p.HostListURL)
}

// Check returns all errors of the settings.
func (e *Entry) Check() error {
	c := &Checker{}
	c.Required("name", e.Name)
	c.Required("failureDomain", e.FailureDomain)
	c.Address("callers", e.CallerAddress)
	c.checkOperators(e.OperatorAddress, e.OperatorTokenDigests)
	c.checkKeys(e.Keys)
	c.checkPlatform(e.Platform)
	if e.Limits.MemoryMB < 0 {
		c.Errorf("limits.memoryMB", "must not be negative")
	}
	return c.Err()
}

// Check returns all errors of the settings.
func (a *Agent) Check() error {
	c := &Checker{}
	c.Required("name", a.Name)
	c.Required("failureDomain", a.FailureDomain)
	c.Required("target", a.Target)
	c.Required("service", a.Service)
	c.Address("links", a.LinkAddress)
	c.checkOperators(a.OperatorAddress, a.OperatorTokenDigests)
	c.checkKeys(a.Keys)
	if (a.EngineURL == "") == (a.ApplicationURL == "") {
		c.Errorf("engine", "set exactly one of engine and application")
	}
	return c.Err()
}

// checkable is a settings type that validates itself.
type checkable interface{ Check() error }

// Sourced is a settings type that stores the path of the file it was read from, so that
// the process can reload it.
type Sourced interface{ SetSource(path string) }

// Read reads the settings file at path into target and checks it.
func Read(path string, target checkable) error {
	if sourced, ok := target.(Sourced); ok {
		sourced.SetSource(path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return errors.Wrapf(Decode(data, target), "settings %s", path)
}

// Decode decodes data strictly into target and checks it.
func Decode(data []byte, target checkable) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.WithStack(err)
	}
	return target.Check()
}
