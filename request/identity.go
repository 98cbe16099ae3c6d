package request

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"maps"
	"slices"
)

// identityBytes is the length of an Identity in bytes.
const identityBytes = 16

// Identity identifies a request by everything that its caller sends again with each attempt.
// It is a truncated SHA-256, since callers choose what is hashed.
type Identity [identityBytes]byte

// Identity returns the identity of the request in a workspace. The header holds the fields
// that callers repeat.
func (in *Inbound) Identity(workspace string, header map[string][]string) Identity {
	digest := sha256.New()
	for _, field := range []string{workspace, in.Method, in.Host, in.Target} {
		writeField(digest, field)
	}
	for _, name := range slices.Sorted(maps.Keys(header)) {
		writeField(digest, name)
		writeLength(digest, len(header[name]))
		for _, value := range header[name] {
			writeField(digest, value)
		}
	}
	// The body comes last, so its length needs no prefix.
	digest.Write(in.Body)
	return Identity(digest.Sum(nil)[:identityBytes])
}

// writeField writes a text with its length, so that the boundaries of fields count.
func writeField(digest hash.Hash, text string) {
	writeLength(digest, len(text))
	digest.Write([]byte(text))
}

func writeLength(digest hash.Hash, length int) {
	digest.Write(binary.BigEndian.AppendUint64(nil, uint64(length)))
}
