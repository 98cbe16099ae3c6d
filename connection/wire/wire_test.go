package wire_test

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/wire"
)

// newerFrame is a control frame of a later version, olderFrame of an earlier one.
type newerFrame struct {
	Revision int64             `cbor:"2,keyasint"`
	Added    string            `cbor:"99,keyasint"`
	Nested   map[string][]byte `cbor:"100,keyasint"`
}

type olderFrame struct {
	Revision int64 `cbor:"2,keyasint"`
}

// Fleets of mixed versions: unknown keys are ignored, absent ones read as zero.
func TestFramesOfOtherVersionsAreRead(t *testing.T) {
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

// A peer cannot make a process reserve memory for a frame without an end.
func TestOversizedFrameIsRefused(t *testing.T) {
	head := []byte{0x9b, 0, 0, 0, 1, 0, 0, 0, 0} // an array of 2^32 elements
	var list []int
	assert.Assert(t, wire.NewReader(bytes.NewReader(head)).Read(&list) != nil)
	var limit *cbor.MaxArrayElementsError
	assert.ErrorType(t, wire.NewReader(bytes.NewReader(head)).Read(&list), limit)
}
