//go:build review

package rig

import "time"

func init() { cases["early"] = early }

// early sends a request each 6.4 s with a part of the prompt that crashes each engine as it begins to
// write an answer, beside sound ones. The rule is that of poison.
func early(r *run) (bool, error) {
	return r.crashOnPart(poisoned{
		engines: 12, framed: true, first: 60 * time.Millisecond, sound: 60, each: 16, begin: 10, documentTokens: 300,
	})
}
