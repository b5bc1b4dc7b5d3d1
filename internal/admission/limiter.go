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
	kindCount
)

// What the bound depends on.
const (
	initialLimit = 256.0
	minLimit     = 32.0 // what waits together is stored together, so fewer would not be quicker
	maxLimit     = 1024.0
	pollShare    = 0.6
	// slow is how much longer than at rest a request may take before the bound
	// shrinks; the allowance keeps a fast service from shrinking on trifles.
	slowdownFactor   = 3.0
	latencyAllowance = 100 * units.Millisecond
	windowLength     = 500 * units.Millisecond
	decreaseFactor   = 0.8
	increaseFactor   = 1.1
)

// Limiter is safe for concurrent use. Times are given by the caller.
type Limiter struct {
	mu          sync.Mutex
	limit       float64
	inFlight    [kindCount]int
	baseline    units.Micros // shortest mean of a window, drifting up slowly
	latencySum  units.Micros
	count       int
	saturated   bool // the bound was felt in this window
	windowStart units.Micros
}

// New returns a limiter.
func New() *Limiter { return &Limiter{limit: initialLimit} }

// TryAcquire asks to begin a request. When it answers false the request is to be
// refused at once.
func (l *Limiter) TryAcquire(kind Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, count := range l.inFlight {
		total += count
	}
	if total >= int(l.limit) || kind == Poll && l.inFlight[Poll] >= int(l.limit*pollShare) {
		l.saturated = true
		return false
	}
	if total+1 >= int(l.limit/2) {
		l.saturated = true
	}
	l.inFlight[kind]++
	return true
}

// Release ends a request that had this latency.
func (l *Limiter) Release(kind Kind, now, latency units.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[kind]--
	l.latencySum += latency
	l.count++
	if now-l.windowStart < windowLength {
		return
	}
	mean := l.latencySum / units.Micros(l.count)
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	} else {
		l.baseline += l.baseline/50 + 1 // what rest means may change for good
	}
	switch {
	case mean > units.Micros(slowdownFactor*float64(l.baseline))+latencyAllowance:
		l.limit = max(minLimit, l.limit*decreaseFactor)
	case l.saturated:
		l.limit = min(maxLimit, l.limit*increaseFactor+1)
	}
	l.latencySum, l.count, l.saturated, l.windowStart = 0, 0, false, now
}

// Limit is the number of requests that may be in flight now.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}
