package simulator

import "frostdock.example/frostdock/internal/units"

const (
	maxRepeats      = 2                     // of one request
	minRepeatDelay  = 2 * units.Millisecond // after the request was carried out
	maxRepeatLeases = 3                     // longest delay of a repeat, in leases
)

// repeatLater delivers a request that was carried out and answered once or twice more, at a rate.
func (w *World) repeatLater(rate float64, from, to string, serve func()) {
	if rate <= 0 || w.rng.Float64() >= rate {
		return
	}
	for range 1 + w.rng.IntN(maxRepeats) {
		w.after(w.repeatDelay(), func() { w.deliver(from, to, serve) })
	}
}

// repeatDelay draws the delay of a repeat; each doubling of the delay is equally likely.
func (w *World) repeatDelay() units.Micros {
	longest := maxRepeatLeases * w.settings.Lease()
	doublings := 0
	for delay := minRepeatDelay; 2*delay <= longest; delay *= 2 {
		doublings++
	}
	delay := minRepeatDelay << w.rng.IntN(doublings)
	return delay + units.Micros(w.rng.Int64N(int64(delay)))
}
