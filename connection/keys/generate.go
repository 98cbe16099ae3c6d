package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// trialValidity is how long a throw-away certificate is valid.
const trialValidity = 24 * time.Hour

// secretMode is the file mode of private keys.
const secretMode = 0o600

// CA issues throw-away certificates into a directory.
type CA struct {
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewCA makes an authority whose certificate is written to directory.
func NewCA(directory string) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "authority key")
	}
	template := newTemplate(pkix.Name{CommonName: "mulberrylane trial authority"})
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "authority certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "authority certificate")
	}
	a := &CA{directory: directory, certificate: certificate, key: key}
	return a, writePEM(a.path("authority.pem"), "CERTIFICATE", der)
}

// Issue makes a certificate for the process called name and returns its files.
func (a *CA) Issue(role Role, name string) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, errors.Wrap(err, "key")
	}
	template := newTemplate(pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}})
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, errors.Wrap(err, "certificate")
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, errors.Wrap(err, "key")
	}
	files := Files{
		Certificate: a.path(name + ".pem"),
		Key:         a.path(name + ".key"),
		CA:          a.path("authority.pem"),
	}
	if err := writePEM(files.Key, "PRIVATE KEY", secret); err != nil {
		return Files{}, err
	}
	return files, writePEM(files.Certificate, "CERTIFICATE", der)
}

func (a *CA) path(name string) string { return filepath.Join(a.directory, name) }

func newTemplate(subject pkix.Name) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(trialValidity),
	}
}

func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(path, data, secretMode), "write")
}
