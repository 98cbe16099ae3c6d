package soak

import (
	"context"
	"io/fs"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/procfs"
)

// Bounds of the watch for stalls. Entries take a target for lost if it does not answer a
// probe in a little more than stallThreshold.
const (
	stallCheckInterval = 20 * time.Millisecond
	stallThreshold     = 100 * time.Millisecond
	// useReadInterval is the interval of readings of the processor use. The use during a
	// stall is that since the last reading before it.
	useReadInterval = 500 * time.Millisecond
	// minOthersShare is the share of the processors' time that other programs must have used
	// during a stall that is recorded. The system under test must not excuse itself by
	// using up the processors.
	minOthersShare = 0.5
	// maxCalmWait bounds how long a run waits for a time without stalls.
	maxCalmWait = 30 * time.Second
)

// processorUse is processor time since the machine was started, in seconds.
type processorUse struct {
	// capacity is the time of all processors, used what all programs used of it, and own what
	// this process and the processes that it started used.
	capacity, used, own float64
}

// othersShare returns the share of the processors' time that other programs have used since
// an earlier reading.
func (u processorUse) othersShare(earlier processorUse) float64 {
	capacity := u.capacity - earlier.capacity
	if capacity <= 0 {
		return 0
	}
	return (u.used - earlier.used - (u.own - earlier.own)) / capacity
}

// readProcessorUse reads the processor use from the operating system.
func readProcessorUse() (processorUse, error) {
	system, err := procfs.NewDefaultFS()
	if err != nil {
		return processorUse{}, errors.Wrap(err, "processor use")
	}
	stat, err := system.Stat()
	if err != nil {
		return processorUse{}, errors.Wrap(err, "processor use")
	}
	cpu := stat.CPUTotal
	use := processorUse{used: cpu.User + cpu.Nice + cpu.System + cpu.IRQ + cpu.SoftIRQ + cpu.Steal}
	use.capacity = use.used + cpu.Idle + cpu.Iowait
	use.own, err = readOwnUse(system)
	return use, errors.Wrap(err, "processor use")
}

// readOwnUse returns the processor time of this process, of the processes that it started
// and that run, and of those that have ended.
func readOwnUse(system procfs.FS) (float64, error) {
	self, err := system.Self()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	processes, err := system.AllProcs()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var use float64
	for _, p := range processes {
		stat, err := p.Stat()
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			continue // It has ended since the list was read.
		}
		if err != nil {
			return 0, errors.WithStack(err)
		}
		if stat.PPID == self.PID {
			use += stat.CPUTime()
		}
	}
	// This comes last, so that a process that ends meanwhile is not missed.
	var own, ended syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &own); err != nil {
		return 0, errors.WithStack(err)
	}
	if err := syscall.Getrusage(syscall.RUSAGE_CHILDREN, &ended); err != nil {
		return 0, errors.WithStack(err)
	}
	for _, times := range []syscall.Timeval{own.Utime, own.Stime, ended.Utime, ended.Stime} {
		use += time.Duration(times.Nano()).Seconds()
	}
	return use, nil
}

// stallWatch records the times in which this process did not run because of other programs.
type stallWatch struct {
	stalls  *disruptions
	readUse func() (processorUse, error)
	// checkedAt is when the last check was made, lastUse the use that was read at readAt.
	checkedAt, readAt time.Time
	lastUse           processorUse
}

// run checks for stalls until done is closed.
func (w *stallWatch) run(done <-chan struct{}) error {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		if err := w.check(time.Now()); err != nil {
			return err
		}
		select {
		case <-done:
			return nil
		case <-ticker.C:
		}
	}
}

// check records a stall if the last check was too long ago.
func (w *stallWatch) check(now time.Time) error {
	last := w.checkedAt
	w.checkedAt = now
	late := !last.IsZero() && now.Sub(last) > stallThreshold
	if !late && now.Sub(w.readAt) < useReadInterval {
		return nil
	}
	use, err := w.readUse()
	if err != nil {
		return err
	}
	if late && use.othersShare(w.lastUse) >= minOthersShare {
		w.stalls.addSpan(stalled, last, now)
	}
	w.readAt, w.lastUse = now, use
	return nil
}

// awaitCalm waits until there was no disruption for a duration from now on, but no longer than
// maxCalmWait beyond it.
func (d *disruptions) awaitCalm(ctx context.Context, duration time.Duration) {
	calmSince := time.Now()
	for end := calmSince.Add(duration + maxCalmWait); ; {
		next := calmSince.Add(duration)
		if next.After(end) {
			next = end
		}
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		last := d.lastEnd()
		if !last.After(calmSince) || !next.Before(end) {
			return
		}
		calmSince = last
	}
}
