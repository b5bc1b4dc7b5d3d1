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

// FromSeconds converts a wire value in seconds, rounding to the nearest microsecond.
func FromSeconds(seconds float64) Micros { return Micros(math.Round(seconds * 1e6)) }

// Seconds converts to a wire value in seconds.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// Milliseconds converts to whole milliseconds, rounding toward zero.
func (m Micros) Milliseconds() int64 { return int64(m) / 1000 }

// Duration converts to the standard library's type.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// FromDuration converts from the standard library's type.
func FromDuration(duration time.Duration) Micros { return Micros(duration / time.Microsecond) }
