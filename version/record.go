package version

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// RevisionRecord is the stored form of one accepted revision.
type RevisionRecord struct {
	// Author is the operator who applied the revision; Time is when, by that operator's
	// clock.
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Note explains the change.
	Note string `json:"note,omitempty"`
	// Nonce distinguishes the writes of one operator, so that a writer that lost the
	// response of the store can determine whether its write took effect.
	Nonce string `json:"nonce"`
	// Sequence counts accepted revisions without gaps, from 1.
	Sequence int64 `json:"sequence"`
	// Base is the revision that this one was planned against; zero for the first.
	Base     Revision `json:"base"`
	Document Document `json:"document"`
}

// Encode returns the stored form of a record.
func (r RevisionRecord) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

// DecodeRecord decodes the stored form. Unknown fields are ignored, since a newer
// operator tool may have written the record; the document was validated strictly when
// it was applied.
func DecodeRecord(data []byte) (RevisionRecord, error) {
	var r RevisionRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return RevisionRecord{}, errors.Wrap(err, "decode record")
	}
	if r.Sequence == 0 {
		return RevisionRecord{}, errors.New("decode record: the sequence number is missing")
	}
	return r, nil
}
