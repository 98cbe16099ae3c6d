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

// certificateValidity is how long an issued certificate is valid.
const certificateValidity = 24 * time.Hour

// pemFileMode is the file mode of the PEM files, which include private keys.
const pemFileMode = 0o600

// CA is a certificate authority for trials. It issues short-lived certificates and
// writes them to a directory.
type CA struct {
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewCA creates a certificate authority and writes its certificate to directory.
func NewCA(directory string) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate CA key")
	}
	template := newTemplate(pkix.Name{CommonName: "mulberrylane trial authority"})
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create CA certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse CA certificate")
	}
	ca := &CA{directory: directory, certificate: certificate, key: key}
	return ca, writePEM(ca.path("authority.pem"), "CERTIFICATE", der)
}

// Issue creates a key and a certificate for the named process and returns their files.
func (ca *CA) Issue(role Role, name string) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, errors.Wrap(err, "generate key")
	}
	template := newTemplate(pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}})
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, &key.PublicKey, ca.key)
	if err != nil {
		return Files{}, errors.Wrap(err, "create certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, errors.Wrap(err, "encode key")
	}
	files := Files{
		Certificate: ca.path(name + ".pem"),
		Key:         ca.path(name + ".key"),
		CA:          ca.path("authority.pem"),
	}
	if err := writePEM(files.Key, "PRIVATE KEY", keyDER); err != nil {
		return Files{}, err
	}
	return files, writePEM(files.Certificate, "CERTIFICATE", der)
}

func (ca *CA) path(name string) string { return filepath.Join(ca.directory, name) }

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
		NotAfter:     now.Add(certificateValidity),
	}
}

func writePEM(path, blockType string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return errors.Wrap(os.WriteFile(path, data, pemFileMode), "write PEM file")
}
