package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mulberrylane/mulberrylane/standin/network"
)

// Bounds of the growth of the configuration: how many routes are added at once, how many small changes follow
// in a series, and the time between two of them.
const (
	minGrownRoutes  = 700
	maxGrownRoutes  = 1400
	maxSeriesLength = 10
	minSeriesPause  = 150 * time.Millisecond
	maxSeriesPause  = 600 * time.Millisecond
)

// slowLinkMbps and fastLinkMbps are the bandwidths of the links of entries, in megabits a second.
const (
	slowLinkMbps = 10
	fastLinkMbps = 200
)

// linkOf returns the bandwidth of the link of an entry, zero for no limit. While the configuration
// grows, one entry in three has a fast one, or none.
func (o Options) linkOf(entry int) int {
	switch {
	case !o.Growth:
		return 0
	case o.Seed%3 > 0 && entry%3 == 1:
		return fastLinkMbps
	default:
		return slowLinkMbps
	}
}

// setStoreFaults sets the faults of the link between the entry and the store, beside its bandwidth.
func (p *process) setStoreFaults(f network.TCPFaults) {
	f.BytesPerSecond = p.linkMbps * 1e6 / 8
	p.storeRelay.SetFaults(f)
}

// runGrowth lets the configuration grow by many routes twice, each time followed by a series of small changes,
// while faults are injected.
func (d *deployment) runGrowth(ctx context.Context, random *rand.Rand, s *schedule) {
	span := d.options.FaultDuration / 2
	for range 2 {
		begin := time.Now()
		if !pause(ctx, time.Duration(random.Int64N(int64(span/3)))) {
			return
		}
		grown := minGrownRoutes + random.IntN(maxGrownRoutes-minGrownRoutes)
		s.add("grow", 0)
		d.change(func() { d.addedRoutes += grown })
		for range random.IntN(maxSeriesLength) {
			if !pause(ctx, randomBetween(random, minSeriesPause, maxSeriesPause)) || time.Since(begin) > span {
				break
			}
			s.count("change of a large configuration")
			if random.IntN(4) == 0 {
				d.rotateKey()
			} else {
				d.addRoute()
			}
		}
		pause(ctx, time.Until(begin.Add(span)))
	}
}
