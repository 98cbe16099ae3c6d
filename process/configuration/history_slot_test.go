package configuration

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/outside"
)

// A renamed field or tag must not change the stored history, which later builds read. The
// slot was written by an earlier build; the document in it is checked with revision records.
func TestHistorySlot_OfEarlierBuild(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "records", "history-slot.json"))
	assert.NilError(t, err)
	entry, err := decodeSlot(outside.KeyValue{Value: data, ModRevision: int64(len(data))})
	assert.NilError(t, err)
	for _, owner := range []any{entry, entry.RevisionRecord} {
		for field, value := range reflect.ValueOf(owner).Fields() {
			assert.Assert(t, !value.IsZero(), field.Name)
		}
	}
	encoded, err := encodeSlot(entry)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), string(data))
}
