//go:build review

package rig

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = poison }

const (
	// crashPart is the part of prompts on which engines crash, restartTime how long they are down.
	crashPart   = "bad0"
	restartTime = 2 * time.Second
	// stableWindow is the bound StableWindowMs.
	stableWindow = 3 * time.Second
)

// poison sends requests with a part of the prompt that crashes each engine after the first event of
// a stream without a length, beside sound ones. The rule is broken if more than three of them reach
// engines later than stableWindow after the fifth crash.
func poison(r *run) (bool, error) {
	return r.crashOnPart(poisoned{
		engines: 8, crashAfter: 1, first: 300 * time.Millisecond, sound: 60, each: 2, begin: 4, documentTokens: 8000,
	})
}

// poisoned describes a run with a part of prompts that crashes engines.
type poisoned struct {
	// engines is the number of engines. They send events in chunks if framed is set, the first one
	// after first, and crash on the part after crashAfter events.
	engines, crashAfter int
	framed              bool
	first               time.Duration
	// sound is the number of sound requests, one each 400 ms. With one of as many as each, but not
	// before begin, goes one with the part. documentTokens is the size of the parts that belong to
	// one request.
	sound, each, begin, documentTokens int
}

// crashOnPart plays such a run, and reports whether the rule was broken.
func (r *run) crashOnPart(p poisoned) (bool, error) {
	var fleet []replicaOptions
	for i := range p.engines {
		fleet = append(fleet, replicaOptions{
			ID: fmt.Sprintf("i-%d", i+1), Service: engines, Zone: zoneOf(i), Version: "1", Engine: true, Events: streamEvents,
			First: p.first, Every: 25 * time.Millisecond, Framed: p.framed, Crash: crashPart, CrashAfter: p.crashAfter,
		})
	}
	entries, err := r.startFleet(1, fleet...)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var restarts sync.WaitGroup
	for i := range r.replicas {
		restarts.Go(func() { r.keepRunning(i, stop) })
	}
	var done sync.WaitGroup
	send := func(number int, parts string) {
		done.Go(func() {
			q := streamRequest(number)
			q.headers["Prompt-Prefix"] = parts
			r.record.line("request %s is sent with the parts %s", q.id, parts)
			a := do(entries[0].callers, q)
			r.record.line("request %s: status %d, %d events, complete %t, error %v", a.id, a.status, len(a.events), a.complete, a.err)
		})
	}
	for i := range p.sound {
		send(i, fmt.Sprintf("aa:200,%x:%d", 0x5000+i, p.documentTokens))
		if r.trouble && i%p.each == 0 && i >= p.begin {
			send(0x500+i, fmt.Sprintf("aa:200,%s:300,%x:%d", crashPart, 0x6000+i, p.documentTokens))
		}
		time.Sleep(400 * time.Millisecond)
	}
	done.Wait()
	close(stop)
	restarts.Wait()
	return r.lateArrivals() > 3, nil
}

// keepRunning starts the replica with the given number again, some time after it has ended.
func (r *run) keepRunning(number int, stop chan struct{}) {
	p := r.replicas[number]
	for {
		ended := make(chan struct{})
		go func() { _ = p.command.Wait(); close(ended) }()
		select {
		case <-ended:
		case <-stop:
			return
		}
		time.Sleep(restartTime)
		r.restarts.Lock()
		o := p.replicaOptions
		next, err := r.startReplica(o)
		r.restarts.Unlock()
		if err != nil {
			r.record.line("replica %s does not start again: %v", p.ID, err)
			return
		}
		p = next
	}
}

// lateArrivals returns how many requests with the part arrived later than the rule allows.
func (r *run) lateArrivals() int {
	var crashes, arrivals []int64
	seen := map[string]bool{}
	for _, p := range r.replicas {
		if seen[p.ID] {
			continue
		}
		seen[p.ID] = true
		for _, line := range p.log() {
			var at int64
			var what, id string
			if n, _ := fmt.Sscanf(line, "%d %s %s", &at, &what, &id); n < 3 {
				continue
			}
			switch {
			case what == "crash":
				crashes = append(crashes, at)
			case what == "run" && strings.Contains(line, " poisoned"):
				arrivals = append(arrivals, at)
			}
		}
	}
	if len(crashes) < 5 {
		r.record.line("%d crashes, %d arrivals of the part", len(crashes), len(arrivals))
		return 0
	}
	slices.Sort(crashes)
	late := 0
	for _, at := range arrivals {
		if at > crashes[4]+stableWindow.Milliseconds() {
			late++
		}
	}
	r.record.line("%d crashes, %d arrivals of the part, %d of them later than %v after the fifth crash", len(crashes), len(arrivals), late, stableWindow)
	return late
}
