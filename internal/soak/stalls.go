package soak

import (
	"sync/atomic"
	"time"
)

const (
	// stallProbeInterval is how often the process measures whether it is scheduled.
	stallProbeInterval = 20 * time.Millisecond
	// minStall is the shortest delay of a probe that counts as a stall of the host.
	minStall = 300 * time.Millisecond
)

// stallWatch measures how long the host did not schedule this process although it was due to run. All
// stand-ins are stalled at the same times.
type stallWatch struct{ stalled atomic.Int64 }

// run measures until the run is stopped.
func (s *stallWatch) run(owner *background) {
	last := time.Now()
	for owner.sleep(stallProbeInterval) {
		if elapsed := time.Since(last); elapsed > minStall {
			s.stalled.Add(int64(elapsed))
		}
		last = time.Now()
	}
}

// total returns how long the process was stalled so far.
func (s *stallWatch) total() time.Duration { return time.Duration(s.stalled.Load()) }
