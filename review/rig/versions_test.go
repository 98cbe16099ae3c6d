//go:build review

package rig

import (
	"fmt"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/standin/kv"
)

func init() { cases["versions"] = versions }

// versions lets the replicas of one zone after the other crash for a second and come back as new
// boots of the next version of their software, while the store is down. The rule is broken if more
// than two streams hold events of both versions.
func versions(r *run) (bool, error) {
	var fleet []replicaOptions
	for i := range 6 {
		fleet = append(fleet, replicaOptions{
			ID: fmt.Sprintf("i-%d", i+1), Service: engines, Zone: zoneOf(i), Version: "1", Engine: true, Framed: true,
			Events: streamEvents, First: 300 * time.Millisecond, Every: 50 * time.Millisecond,
		})
	}
	entries, err := r.startFleet(1, fleet...)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var answers []answer
	var done sync.WaitGroup
	stop := time.Now().Add(7 * time.Second)
	done.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			done.Go(func() {
				q := streamRequest(i)
				r.record.line("request %s is sent", q.id)
				a := do(entries[0].callers, q)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
			time.Sleep(200 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.record.line("the store goes down: it resets all calls")
		r.store.SetFaults(kv.Faults{Outage: true})
	}
	time.Sleep(1500 * time.Millisecond)
	for zone := range 2 {
		if err := r.crashZone(zoneOf(zone), time.Second, "2"); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	r.store.SetFaults(kv.Faults{})
	r.record.line("the store is up")
	done.Wait()
	return r.joinedVersions(answers) > 2, nil
}

// crashZone lets the engines of a zone crash, and start again at their addresses as new boots with
// other IDs.
func (r *run) crashZone(zone string, down time.Duration, version string) error {
	r.record.line("the replicas of %s crash", zone)
	var crashed []*replicaProcess
	for _, p := range r.replicas {
		if p.Zone == zone && p.command.ProcessState == nil {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
			crashed = append(crashed, p)
		}
	}
	time.Sleep(down)
	for _, p := range crashed {
		next := p.replicaOptions
		next.ID, next.Version = p.ID+"-"+version, version
		if _, err := r.startReplica(next); err != nil {
			return err
		}
		r.store.Delete("servers/" + p.ID)
		r.record.line("replica %s starts at the address of %s, with version %s", next.ID, p.ID, version)
	}
	return nil
}
