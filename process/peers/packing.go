package peers

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/process/storesync"
)

// windowBytes is how far back the compression refers: the largest value that the store takes and a
// dictionary of that size.
const windowBytes = 4 << 20

// PackChanges compresses changes. A dictionary, such as a value that the receiver has and that one of the
// changes replaces, makes the result as large as what is new; it may be nil.
func PackChanges(changes []storesync.Change, dictionary []byte) ([]byte, error) {
	data, err := cbor.Marshal(changes)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(1, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return encoder.EncodeAll(data, nil), errors.WithStack(encoder.Close())
}

// UnpackChanges reverses PackChanges, given the same dictionary.
func UnpackChanges(packed, dictionary []byte) ([]storesync.Change, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(bounded.MaxResponseBytes),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(1, dictionary))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "unpack changes")
	}
	var changes []storesync.Change
	return changes, errors.Wrap(cbor.Unmarshal(data, &changes), "unpack changes")
}
