package configuration

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/outside"
)

// A history slot holds an Entry as JSON. A record that is kept has lost the
// revision that the store gave it, so the slot carries it.

func encodeSlot(entry AcceptedRevision) ([]byte, error) {
	body, err := json.Marshal(entry)
	return body, errors.Wrap(err, "encode history")
}

func decodeSlot(slot outside.KeyValue) (AcceptedRevision, error) {
	if slot.ModRevision == 0 {
		return AcceptedRevision{}, nil
	}
	var entry AcceptedRevision
	err := json.Unmarshal(slot.Value, &entry)
	return entry, errors.Wrapf(err, "history slot %s", slot.Key)
}
