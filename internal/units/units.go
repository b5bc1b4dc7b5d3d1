// Package units defines the one type in which frostdock keeps time: whole
// microseconds. Seconds and milliseconds are used only in input and output.
package units

import (
	"math"
	"time"
)

// Micros is a point on the monotonic clock, a Unix time, or a duration, in microseconds.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second             = 1000 * Millisecond
)

// Longest is the longest duration that a conversion returns, about 73,000 years: far enough below the limit of the
// type that sums of durations do not overflow.
const Longest Micros = math.MaxInt64 / 4

// FromSeconds converts a wire value in seconds, rounding to the nearest microsecond. Values beyond Longest in either
// direction, infinities included, become Longest or -Longest, and NaN becomes 0: the language leaves such conversions
// to the architecture.
func FromSeconds(seconds float64) Micros {
	micros := math.Round(seconds * 1e6)
	switch {
	case math.IsNaN(micros):
		return 0
	case micros >= float64(Longest):
		return Longest
	case micros <= -float64(Longest):
		return -Longest
	}
	return Micros(micros)
}

// Seconds converts to a wire value in seconds.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// Milliseconds converts to whole milliseconds, rounding toward zero.
func (m Micros) Milliseconds() int64 { return int64(m) / 1000 }

// Duration converts to the standard library's type.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// FromDuration converts from the standard library's type.
func FromDuration(duration time.Duration) Micros { return Micros(duration / time.Microsecond) }
