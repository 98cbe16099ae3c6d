package configuration

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/outside"
)

// A history slot holds an AcceptedRevision as JSON. It includes the revision number,
// because the store gives the slot a different one.

func encodeSlot(accepted AcceptedRevision) ([]byte, error) {
	body, err := json.Marshal(accepted)
	return body, errors.Wrap(err, "encode history")
}

func decodeSlot(slot outside.KeyValue) (AcceptedRevision, error) {
	if slot.ModRevision == 0 {
		return AcceptedRevision{}, nil
	}
	var accepted AcceptedRevision
	err := json.Unmarshal(slot.Value, &accepted)
	return accepted, errors.Wrapf(err, "history slot %s", slot.Key)
}
