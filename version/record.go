package version

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// RevisionRecord is what is stored for one accepted revision.
type RevisionRecord struct {
	// Author is the operator that applied it, and Time when, by that operator's clock.
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Note says why.
	Note string `json:"note,omitempty"`
	// Nonce tells the writes of one operator apart, so that a writer whose answer
	// was lost finds out whether its write took effect.
	Nonce string `json:"nonce"`
	// Sequence counts accepted revisions without gaps, from 1.
	Sequence int64 `json:"sequence"`
	// Base is the revision that this one was planned on, zero for the first.
	Base     Revision `json:"base"`
	Document Document `json:"document"`
}

// Encode returns the stored form of a record.
func (r RevisionRecord) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

// DecodeRecord reads the stored form. Unknown fields are ignored, since a newer
// operator tool may have written it; what is applied was checked strictly.
func DecodeRecord(data []byte) (RevisionRecord, error) {
	var r RevisionRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return RevisionRecord{}, errors.Wrap(err, "decode record")
	}
	if r.Sequence == 0 {
		return RevisionRecord{}, errors.New("decode record: it has no sequence number")
	}
	return r, nil
}
