// Package admission bounds the users' requests in progress. The bound adapts to
// measured times: it shrinks when requests take much longer than they do at
// rest, and grows again while they do not. Polls may use only a part of it, so
// that they never starve submissions and cancellations.
package admission

import (
	"sync"

	"frostdock.example/frostdock/internal/units"
)

// Kind of request.
type Kind int

// The kinds.
const (
	Submit Kind = iota
	Poll
	Abort
	kinds
)

// What the bound depends on.
const (
	start     = 256.0
	least     = 32.0 // what waits together is stored together, so fewer would not be quicker
	most      = 1024.0
	pollShare = 0.6
	// slow is how much longer than at rest a request may take before the bound
	// shrinks; the allowance keeps a fast service from shrinking on trifles.
	slow      = 3.0
	allowance = 100 * units.Millisecond
	window    = 500 * units.Millisecond
	shrink    = 0.8
	grow      = 1.1
)

// Limiter is safe for concurrent use. Times are given by the caller.
type Limiter struct {
	mu    sync.Mutex
	bound float64
	inUse [kinds]int
	rest  units.Micros // shortest mean of a window, drifting up slowly
	sum   units.Micros
	count int
	full  bool // the bound was felt in this window
	since units.Micros
}

// New returns a limiter.
func New() *Limiter { return &Limiter{bound: start} }

// Enter asks to begin a request. When it answers false the request is to be
// refused at once.
func (l *Limiter) Enter(k Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, n := range l.inUse {
		total += n
	}
	if total >= int(l.bound) || k == Poll && l.inUse[Poll] >= int(l.bound*pollShare) {
		l.full = true
		return false
	}
	if total+1 >= int(l.bound/2) {
		l.full = true
	}
	l.inUse[k]++
	return true
}

// Leave ends a request that took so long.
func (l *Limiter) Leave(k Kind, now, took units.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse[k]--
	l.sum += took
	l.count++
	if now-l.since < window {
		return
	}
	mean := l.sum / units.Micros(l.count)
	if l.rest == 0 || mean < l.rest {
		l.rest = mean
	} else {
		l.rest += l.rest/50 + 1 // what rest means may change for good
	}
	switch {
	case mean > units.Micros(slow*float64(l.rest))+allowance:
		l.bound = max(least, l.bound*shrink)
	case l.full:
		l.bound = min(most, l.bound*grow+1)
	}
	l.sum, l.count, l.full, l.since = 0, 0, false, now
}

// Bound is the present bound.
func (l *Limiter) Bound() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.bound)
}
