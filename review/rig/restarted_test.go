//go:build review

package rig

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["restarted"] = restarted }

const (
	// flapTime is how long a replica that flaps is down and up in turns, registrationDelay how long
	// after its start it writes its entry in the store.
	flapTime          = 1400 * time.Millisecond
	registrationDelay = 600 * time.Millisecond
)

// restarted lets one of nine engines, which has no work, go down, come up under its ID with the next
// version of its software, and go down again. Streams begin when it has come up. The rule is broken
// if more than two streams hold events of both versions.
func restarted(r *run) (bool, error) {
	var fleet []replicaOptions
	for i := range 9 {
		fleet = append(fleet, replicaOptions{
			ID: fmt.Sprintf("i-%d", i+1), Service: engines, Zone: zoneOf(i), Version: "1", Engine: true, Framed: true,
			Events: streamEvents, First: 300 * time.Millisecond, Every: 50 * time.Millisecond,
		})
	}
	entries, err := r.startFleet(1, fleet...)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	p := r.replicas[0]
	if r.trouble {
		r.record.line("replica %s goes down", p.ID)
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	}
	time.Sleep(flapTime)
	if r.trouble {
		next := p.replicaOptions
		next.Version = "2"
		if p, err = r.bootReplica(next); err != nil {
			return false, err
		}
		r.record.line("replica %s comes up with version 2", p.ID)
		time.AfterFunc(registrationDelay, func() { r.register(p) })
	}
	answers := make([]answer, 45)
	var done sync.WaitGroup
	for i := range answers {
		done.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			q := streamRequest(i)
			r.record.line("request %s is sent", q.id)
			answers[i] = do(entries[0].callers, q)
		})
	}
	time.Sleep(flapTime)
	if r.trouble {
		r.record.line("replica %s goes down", p.ID)
		_ = p.command.Process.Kill()
	}
	done.Wait()
	return r.joinedVersions(answers) > 2, nil
}

// joinedVersions returns how many streams hold events of both versions.
func (r *run) joinedVersions(answers []answer) int {
	joined := 0
	for _, a := range answers {
		first, second := strings.Count(a.body, "data: v1 "), strings.Count(a.body, "data: v2 ")
		r.record.line("request %s: status %d, %d events of version 1, %d of version 2, complete %t, error %v", a.id, a.status,
			first, second, a.complete, a.err)
		if first > 0 && second > 0 {
			joined++
		}
	}
	r.record.line("%d of %d streams hold events of both versions", joined, len(answers))
	return joined
}
