package controller

import "frostdock.example/frostdock/internal/config"

// storeLimits are the limits of the state service that this controller keeps to.
type storeLimits struct {
	config.KVLimits
	next    config.KVLimits // that will hold from some moment on
	lowered bool            // the rates have been seen to be lower than the present settings say
}

func newStoreLimits(s *config.Settings) storeLimits {
	return storeLimits{KVLimits: s.KVStore.KVLimits, next: s.NextKVLimits()}
}

// adoptTighter keeps sizes to the tighter of the present and the next limits, since the change
// comes without notice. The rates stay until the service shows otherwise.
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

// noteThrottled notes that the state service refused a request for its rate. While processes of the
// version before are at work their writes count as well, so it says nothing before the gate.
func (c *Controller) noteThrottled() {
	if c.chainsEnabled() && c.store.limits.noteThrottled() {
		c.log.Warn("store throttles, adopting announced limits", "write_rps", c.store.limits.WriteRPS, "rps", c.store.limits.RPS)
	}
}

// maxValueBytes is how long a stored value may be: as the store allows, and so that
// one transaction takes at least two.
func (c *Controller) maxValueBytes() int { return maxValueBytes(c.store.limits.ValueKB) }

func maxValueBytes(valueKB float64) int {
	return min(int(valueKB*1024)-100, maxTransactionBytes/2-documentOverheadBytes)
}

// maxConditions is how many conditions a transaction may have.
func (c *Controller) maxConditions() int { return 4 * c.store.limits.TxnOps }
