package controller

import "frostdock.example/frostdock/internal/config"

const (
	valueMarginBytes    = 100 // that a stored value stays below the store's limit
	conditionsPerChange = 4   // that the store permits
)

// storeLimits are the limits of the key-value store that this controller keeps to. They only ever
// become tighter.
type storeLimits struct {
	config.KVLimits
	next    config.KVLimits // that will hold from some moment on
	lowered bool            // the rates have been seen to be lower than the present settings say
}

func newStoreLimits(s *config.Settings) storeLimits {
	return storeLimits{KVLimits: s.KVStore.KVLimits, next: s.NextKVLimits()}
}

// adoptTighter keeps sizes to the tighter of the present and the next limits, since the change
// comes without notice. The rates stay until the store shows otherwise.
func (l *storeLimits) adoptTighter() {
	tighter := l.Min(l.next)
	l.ValueKB, l.TxnOps = tighter.ValueKB, tighter.TxnOps
	if l.lowered {
		l.RPS, l.WriteRPS = tighter.RPS, tighter.WriteRPS
	}
}

// noteThrottled learns from a 429 that the next rates may hold already. It reports whether that
// changes anything.
func (l *storeLimits) noteThrottled() bool {
	if l.lowered || l.next.WriteRPS >= l.WriteRPS && l.next.RPS >= l.RPS {
		return false
	}
	l.lowered = true
	l.adoptTighter()
	return true
}

// maxValueBytes is how long a stored value may be: as the store permits, and so that
// one transaction takes at least two.
func (l *storeLimits) maxValueBytes() int { return maxValueBytes(l.ValueKB) }

func maxValueBytes(valueKB float64) int {
	return min(int(valueKB*1024)-valueMarginBytes, maxTransactionBytes/2-documentOverheadBytes)
}

// maxConditions is how many conditions a transaction may have.
func (l *storeLimits) maxConditions() int { return conditionsPerChange * l.TxnOps }
