// Package keys loads the certificates by which the system's processes know each
// other, and makes throw-away ones for trials.
//
// Every process has a certificate of one authority. Its organizational unit is
// the role of the process, and its common name is the name of the process.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Role is what a process may do, as its certificate says.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// ALPN is the application protocol that links negotiate.
const ALPN = "mulberrylane/1"

// Files names the PEM files of a process.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"authority"`
}

// reloadAfter is how often the files are looked at for a change.
const reloadAfter = 5 * time.Second

// Credentials holds the certificate of a process and rereads it when its file changes,
// so that keys are replaced without a restart.
type Credentials struct {
	files     Files
	authority *x509.CertPool

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

// Load reads the files.
func Load(files Files) (*Credentials, error) {
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("authority: %s holds no certificate", files.CA)
	}
	p := &Credentials{files: files, authority: pool}
	if err := p.reload(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Credentials) reload() error {
	info, err := os.Stat(p.files.Certificate)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	p.checked = time.Now()
	if p.current != nil && info.ModTime().Equal(p.modified) {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return errors.Wrap(err, "certificate and key")
	}
	p.current = &certificate
	p.modified = info.ModTime()
	return nil
}

// Certificate returns the certificate in force. While new files cannot be read
// the old certificate stays in force.
func (p *Credentials) Certificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.checked) >= reloadAfter {
		_ = p.reload()
	}
	return p.current
}

// ServerConfig returns the TLS settings of a listener that admits peers of the given roles.
func (p *Credentials) ServerConfig(roles ...Role) *tls.Config {
	config := p.base(roles)
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = p.authority
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return p.Certificate(), nil
	}
	return config
}

// ClientConfig returns the TLS settings of a dialer that accepts peers of the given
// roles. Processes are addressed by IP number and known by role, so the host
// name is not compared; chain, role and validity are.
func (p *Credentials) ClientConfig(roles ...Role) *tls.Config {
	config := p.base(roles)
	config.InsecureSkipVerify = true
	check := config.VerifyConnection
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if err := p.verifyChain(state); err != nil {
			return err
		}
		return check(state)
	}
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return p.Certificate(), nil
	}
	return config
}

func (p *Credentials) base(roles []Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{ALPN},
		VerifyConnection: func(state tls.ConnectionState) error {
			return checkRole(state, roles)
		},
	}
}

func (p *Credentials) verifyChain(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer has no certificate")
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:     p.authority,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "peer certificate")
}

func checkRole(state tls.ConnectionState, roles []Role) error {
	role := PeerRole(state)
	for _, allowed := range roles {
		if role == allowed {
			return nil
		}
	}
	return errors.Errorf("peer role %q is not admitted here", role)
}

// PeerRole returns the role in the peer's certificate, or an empty one.
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
