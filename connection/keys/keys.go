// Package keys loads the certificates with which the system's processes authenticate
// to each other, and issues short-lived ones for trials.
//
// All processes have certificates of the same certificate authority. The
// organizational unit of a certificate is the role of the process, and its common name
// is the name of the process.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Role is the role of a process, as stated in its certificate. It determines what the
// process may do.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// ALPN is the application protocol that links negotiate.
const ALPN = "mulberrylane/1"

// Files holds the paths of the PEM files of a process.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"authority"`
}

// reloadInterval is the minimum time between checks of the certificate file for a
// change.
const reloadInterval = 5 * time.Second

// Credentials holds the certificate of a process and reloads it when its file changes,
// so that keys can be replaced without a restart.
type Credentials struct {
	files  Files
	caPool *x509.CertPool

	mu          sync.Mutex
	current     *tls.Certificate
	modTime     time.Time
	lastChecked time.Time
}

// Load returns the credentials in files.
func Load(files Files) (*Credentials, error) {
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read CA certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("CA file %s contains no certificate", files.CA)
	}
	c := &Credentials{files: files, caPool: pool}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Credentials) reload() error {
	info, err := os.Stat(c.files.Certificate)
	if err != nil {
		return errors.Wrap(err, "check certificate file")
	}
	c.lastChecked = time.Now()
	if c.current != nil && info.ModTime().Equal(c.modTime) {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrap(err, "load certificate and key")
	}
	c.current = &certificate
	c.modTime = info.ModTime()
	return nil
}

// Certificate returns the current certificate. If changed files cannot be loaded, the
// previous certificate stays in use.
func (c *Credentials) Certificate() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastChecked) >= reloadInterval {
		_ = c.reload()
	}
	return c.current
}

// ServerConfig returns the TLS configuration of a listener that admits peers with the
// given roles.
func (c *Credentials) ServerConfig(roles ...Role) *tls.Config {
	config := c.baseConfig(roles)
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = c.caPool
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return c.Certificate(), nil
	}
	return config
}

// ClientConfig returns the TLS configuration of a dialer that accepts peers with the
// given roles. Processes are addressed by IP address and identified by role, so the
// host name is not verified; certificate chain, validity and role are.
func (c *Credentials) ClientConfig(roles ...Role) *tls.Config {
	config := c.baseConfig(roles)
	config.InsecureSkipVerify = true
	verifyRole := config.VerifyConnection
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if err := c.verifyChain(state); err != nil {
			return err
		}
		return verifyRole(state)
	}
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return c.Certificate(), nil
	}
	return config
}

func (c *Credentials) baseConfig(roles []Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{ALPN},
		VerifyConnection: func(state tls.ConnectionState) error {
			return checkRole(state, roles)
		},
	}
}

func (c *Credentials) verifyChain(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:     c.caPool,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify peer certificate")
}

func checkRole(state tls.ConnectionState, roles []Role) error {
	role := PeerRole(state)
	for _, allowed := range roles {
		if role == allowed {
			return nil
		}
	}
	return errors.Errorf("peer role %q is not admitted", role)
}

// PeerRole returns the role in the peer's certificate, or "" if it has none.
func PeerRole(state tls.ConnectionState) Role {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	units := state.PeerCertificates[0].Subject.OrganizationalUnit
	if len(units) != 1 {
		return ""
	}
	return Role(units[0])
}
