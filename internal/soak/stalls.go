package soak

import (
	"sync/atomic"
	"time"
)

const (
	// stallProbeInterval is how often the process looks whether it is run.
	stallProbeInterval = 20 * time.Millisecond
	// minStall is the shortest delay of a probe that counts as a stall of the host.
	minStall = 300 * time.Millisecond
)

// stallWatch measures how long this process was not run though it was due: the same moments
// are missing for every stand-in.
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

// total is how long the process was stalled so far.
func (s *stallWatch) total() time.Duration { return time.Duration(s.stalled.Load()) }
