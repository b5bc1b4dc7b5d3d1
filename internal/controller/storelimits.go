package controller

import "frostdock.example/frostdock/internal/config"

const (
	valueMarginBytes    = 100 // margin between the longest stored value and the store's limit
	conditionsPerChange = 4   // conditions permitted in a transaction, for each change permitted in it
)

// storeLimits are the limits of the key-value store that this controller applies. They only ever become
// tighter.
type storeLimits struct {
	config.KVLimits
	present      config.KVLimits // limits of the settings, as long as the next ones are not in effect
	next         config.KVLimits // limits that will take effect at some later time
	ratesLowered bool            // the store was observed to permit lower rates than the present settings say
	sizesLowered bool            // the store was observed to refuse sizes that the present settings permit
}

func newStoreLimits(s *config.Settings) storeLimits {
	return storeLimits{KVLimits: s.KVStore.KVLimits, present: s.KVStore.KVLimits, next: s.NextKVLimits()}
}

// adoptTighter restricts sizes to the tighter of the present and the next limits, since the next limits
// take effect without notice. The rates stay until the store is observed to permit lower ones.
func (l *storeLimits) adoptTighter() {
	tighter := l.Min(l.next)
	l.ValueKB, l.TxnOps = tighter.ValueKB, tighter.TxnOps
	if l.ratesLowered {
		l.RPS, l.WriteRPS = tighter.RPS, tighter.WriteRPS
	}
}

// noteThrottled concludes from a 429 that the next rates may already be in effect. It reports whether
// that changes the limits.
func (l *storeLimits) noteThrottled() bool {
	if l.ratesLowered || l.next.WriteRPS >= l.WriteRPS && l.next.RPS >= l.RPS {
		return false
	}
	l.ratesLowered = true
	l.adoptTighter()
	return true
}

// noteRefusedSize concludes from a 400 that the next sizes may already be in effect. It reports whether that
// is new.
func (l *storeLimits) noteRefusedSize() bool {
	if l.sizesLowered || l.next.ValueKB >= l.present.ValueKB && l.next.TxnOps >= l.present.TxnOps {
		return false
	}
	l.sizesLowered = true
	return true
}

// acceptedValueBytes returns the length of the longest value that the store is expected to accept for a document
// that is too long already, so that it can be shortened in several steps: that of the present limits, until
// one of the next limits was observed to be in effect.
func (l *storeLimits) acceptedValueBytes() int {
	if l.ratesLowered || l.sizesLowered {
		return l.maxValueBytes()
	}
	return maxValueBytes(l.present.ValueKB)
}

// maxValueBytes returns the maximum length of a stored value: within the store's limit, and short enough
// for one transaction to hold at least two of them.
func (l *storeLimits) maxValueBytes() int { return maxValueBytes(l.ValueKB) }

func maxValueBytes(valueKB float64) int {
	return min(int(valueKB*1024)-valueMarginBytes, maxTransactionBytes/2-documentOverheadBytes)
}

// maxConditions returns how many conditions a transaction may have.
func (l *storeLimits) maxConditions() int { return conditionsPerChange * l.TxnOps }
