package version

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`a duration is a string such as "250ms" or "3s"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf(`%q is not a duration such as "250ms" or "3s"`, text)
	}
	*d = Duration(parsed)
	return nil
}
