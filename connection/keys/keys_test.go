package keys

import (
	"bytes"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A replaced certificate is used without a restart. If it cannot be loaded, the
// previous one stays in use.
func TestCredentials_ReloadsReplacedCertificate(t *testing.T) {
	ca, err := NewCA(t.TempDir())
	assert.NilError(t, err)
	files, err := ca.Issue(RoleEntry, "entry-0")
	assert.NilError(t, err)
	credentials, err := Load(files)
	assert.NilError(t, err)
	first := credentials.Certificate().Certificate[0]

	renewed, err := ca.Issue(RoleEntry, "entry-0")
	assert.NilError(t, err)
	assert.Equal(t, renewed, files)
	setModTime(t, files.Certificate, time.Minute)
	credentials.lastChecked = time.Time{}
	second := credentials.Certificate().Certificate[0]
	assert.Assert(t, !bytes.Equal(first, second))

	assert.NilError(t, os.WriteFile(files.Certificate, []byte("not a certificate"), pemFileMode))
	setModTime(t, files.Certificate, 2*time.Minute)
	credentials.lastChecked = time.Time{}
	assert.Assert(t, bytes.Equal(second, credentials.Certificate().Certificate[0]))
}

func setModTime(t *testing.T, path string, offset time.Duration) {
	t.Helper()
	at := time.Now().Add(offset)
	assert.NilError(t, os.Chtimes(path, at, at))
}
