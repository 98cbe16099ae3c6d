//go:build review

package rig

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["expired"] = expired }

const (
	callWork  = 15 * time.Second
	callLimit = 50 * time.Second
)

// expired kills two of fourteen replicas, so that their calls, which may be repeated, run again
// elsewhere and take 28 s of the 50 s that their clients wait. The rule is broken if more than 5
// requests and one in 500 are ended with a 3xx or 4xx of the entry.
func expired(r *run) (bool, error) {
	var fleet []replicaOptions
	for i := range 14 {
		fleet = append(fleet, replicaOptions{
			ID: fmt.Sprintf("d-%d", i+1), Service: desk, Zone: zoneOf(i), Version: "1", Framed: true, First: callWork,
		})
	}
	entries, err := r.startFleet(1, fleet...)
	if err != nil {
		return false, err
	}
	answers := make([]answer, 70)
	var done sync.WaitGroup
	for i := range answers {
		done.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			q := request{
				id: fmt.Sprintf("%016x", 0x1000+i), method: "POST", path: callPath, key: apiKey, remaining: callLimit,
				body: strings.Repeat("x", 2500),
			}
			r.record.line("request %s is sent", q.id)
			answers[i] = do(entries[0].callers, q)
		})
	}
	time.Sleep(13 * time.Second)
	victims := r.replicas[:2]
	for _, p := range victims {
		if len(p.log()) < 2 {
			return false, errors.New("no call runs at a replica that is to be killed")
		}
		if r.trouble {
			r.record.line("replica %s is killed", p.ID)
			_ = p.command.Process.Kill()
		}
	}
	done.Wait()
	denied := 0
	for _, a := range answers {
		r.record.line("request %s: status %d after %.2f s, signed %t, error %v", a.id, a.status, a.took.Seconds(), a.signed, a.err)
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && !a.signed {
			denied++
		}
	}
	r.record.line("%d of %d requests were ended with a 3xx or 4xx of the entry", denied, len(answers))
	return denied > 5+len(answers)/500, nil
}
