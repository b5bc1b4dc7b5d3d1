// Package admission limits the number of user requests in flight. The limit
// adapts to measured latencies: it decreases when requests take much longer than
// without load, and increases again when they do not. Queries may use only a
// part of it, so that they never starve submissions and cancellations.
package admission

import (
	"sync"

	"frostdock.example/frostdock/internal/units"
)

// Kind is the kind of a user request.
type Kind int

// Kinds of requests.
const (
	Submit Kind = iota
	Query
	Cancel
	kindCount
)

// Parameters of the limit. The first three are numbers of requests in flight.
const (
	initialLimit = 256.0
	minLimit     = 32.0 // waiting submissions are stored in batches, so a lower limit would not shorten latencies
	maxLimit     = 1024.0
	queryShare   = 0.6 // part of the limit that queries may use
	// The limit decreases when the mean latency of a window exceeds the baseline
	// times slowdownFactor plus latencyAllowance. The allowance keeps small
	// delays of a fast service from decreasing it.
	slowdownFactor   = 3.0
	latencyAllowance = 100 * units.Millisecond
	windowLength     = 500 * units.Millisecond // the limit is adapted once a window
	decreaseFactor   = 0.8
	increaseFactor   = 1.1
)

// Limiter is an adaptive concurrency limiter. It is safe for concurrent use. The
// caller supplies the clock.
type Limiter struct {
	mu          sync.Mutex
	limit       float64
	inFlight    [kindCount]int
	baseline    units.Micros // lowest mean latency of a window, slowly drifting up; 0: none yet
	latencySum  units.Micros
	count       int  // number of requests in latencySum
	saturated   bool // in this window at least half the limit was in use, or a request was refused
	windowStart units.Micros
}

// New returns a limiter with the initial limit.
func New() *Limiter { return &Limiter{limit: initialLimit} }

// TryAcquire reports whether a request may begin. If so, the caller must call
// Release at its end; otherwise it must refuse the request immediately.
func (l *Limiter) TryAcquire(kind Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, count := range l.inFlight {
		total += count
	}
	if total >= int(l.limit) || kind == Query && l.inFlight[Query] >= int(l.limit*queryShare) {
		l.saturated = true
		return false
	}
	if total+1 >= int(l.limit/2) {
		l.saturated = true
	}
	l.inFlight[kind]++
	return true
}

// Release ends a request with its latency, and adapts the limit if the window has
// ended.
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
		l.baseline += l.baseline/50 + 1 // about 2% a window: the latency without load may have risen for good
	}
	switch {
	case mean > units.Micros(slowdownFactor*float64(l.baseline))+latencyAllowance:
		l.limit = max(minLimit, l.limit*decreaseFactor)
	case l.saturated:
		l.limit = min(maxLimit, l.limit*increaseFactor+1)
	}
	l.latencySum, l.count, l.saturated, l.windowStart = 0, 0, false, now
}

// Limit returns the number of requests that may be in flight now.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}
