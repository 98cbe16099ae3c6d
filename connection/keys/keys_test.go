package keys

import (
	"bytes"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A replaced certificate is in force without a restart; one that cannot be read
// leaves the old one in force.
func TestCertificateIsReloaded(t *testing.T) {
	authority, err := NewCA(t.TempDir())
	assert.NilError(t, err)
	files, err := authority.Issue(RoleEntry, "entry-0")
	assert.NilError(t, err)
	pair, err := Load(files)
	assert.NilError(t, err)
	first := pair.Certificate().Certificate[0]

	renewed, err := authority.Issue(RoleEntry, "entry-0")
	assert.NilError(t, err)
	assert.Equal(t, renewed, files)
	touch(t, files.Certificate, time.Minute)
	pair.checked = time.Time{}
	second := pair.Certificate().Certificate[0]
	assert.Assert(t, !bytes.Equal(first, second))

	assert.NilError(t, os.WriteFile(files.Certificate, []byte("not a certificate"), secretMode))
	touch(t, files.Certificate, 2*time.Minute)
	pair.checked = time.Time{}
	assert.Assert(t, bytes.Equal(second, pair.Certificate().Certificate[0]))
}

func touch(t *testing.T, path string, later time.Duration) {
	t.Helper()
	at := time.Now().Add(later)
	assert.NilError(t, os.Chtimes(path, at, at))
}
