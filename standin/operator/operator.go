// Package operator is a small stand-in for the operators of the users' platform: it writes their
// orders in the platform's format.
package operator

import (
	"encoding/json"
	"time"
)

// RolloutOrder returns the value of an order to move a service to a version.
func RolloutOrder(service, version string, duration time.Duration) []byte {
	value, err := json.Marshal(map[string]any{"Service": service, "Target": version, "DurationS": duration.Seconds()})
	if err != nil {
		panic(err)
	}
	return value
}
