package wire_test

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/wire"
)

// newerFrame is a control frame of a newer version, olderFrame one of an older version.
type newerFrame struct {
	Revision int64             `cbor:"2,keyasint"`
	Added    string            `cbor:"99,keyasint"`
	Nested   map[string][]byte `cbor:"100,keyasint"`
}

type olderFrame struct {
	Revision int64 `cbor:"2,keyasint"`
}

// Processes of different versions must interoperate: unknown keys are ignored and
// absent ones are decoded as zero.
func TestFrames_CompatibleAcrossVersions(t *testing.T) {
	for name, sent := range map[string]any{
		"newer": newerFrame{Revision: 9, Added: "later", Nested: map[string][]byte{"a": {1}}},
		"older": olderFrame{Revision: 9},
	} {
		t.Run(name, func(t *testing.T) {
			var stream bytes.Buffer
			writer := wire.NewWriter(&stream)
			assert.NilError(t, writer.Write(sent))
			assert.NilError(t, writer.Write(olderFrame{Revision: 10}))
			reader := wire.NewReader(&stream)
			var first, second wire.ControlFrame
			assert.NilError(t, reader.Read(&first))
			assert.DeepEqual(t, first, wire.ControlFrame{Revision: 9})
			assert.NilError(t, reader.Read(&second))
			assert.Equal(t, second.Revision, int64(10))
		})
	}
}

// A peer must not be able to make a process allocate memory without limit for a frame.
func TestReader_RejectsOversizedArray(t *testing.T) {
	arrayHeader := []byte{0x9b, 0, 0, 0, 1, 0, 0, 0, 0} // an array of 2^32 elements
	var list []int
	assert.Assert(t, wire.NewReader(bytes.NewReader(arrayHeader)).Read(&list) != nil)
	var limit *cbor.MaxArrayElementsError
	assert.ErrorType(t, wire.NewReader(bytes.NewReader(arrayHeader)).Read(&list), limit)
}
