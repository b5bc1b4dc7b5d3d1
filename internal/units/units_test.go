package units

import (
	"math"
	"testing"
)

// TestFromSecondsOutOfRange converts values that no integer can hold, which each architecture did in its own way.
func TestFromSecondsOutOfRange(t *testing.T) {
	for _, tc := range []struct {
		seconds float64
		want    Micros
	}{
		{math.Inf(1), Longest}, {math.Inf(-1), -Longest}, {math.NaN(), 0}, {1e300, Longest}, {-1e300, -Longest},
		{0.0000016, 2}, {-1.5, -1500 * Millisecond}, {31, 31 * Second},
	} {
		if got := FromSeconds(tc.seconds); got != tc.want {
			t.Errorf("%v s: %d, want %d", tc.seconds, got, tc.want)
		}
	}
}
