package controller

import "frostdock.example/frostdock/internal/config"

// stateLimits are the limits of the state service that this controller keeps to.
type stateLimits struct {
	config.StateLimits
	next   config.StateLimits // that will hold from some moment on
	fallen bool               // the rates have been seen to be lower than the present settings say
}

func newStateLimits(s *config.Settings) stateLimits {
	return stateLimits{StateLimits: s.State.StateLimits, next: s.NextState()}
}

// prepare keeps sizes to the tighter of the present and the next limits, since the change
// comes without notice. The rates stay until the service shows otherwise.
func (l *stateLimits) prepare() {
	tighter := l.Tighter(l.next)
	l.ValueKB, l.TxnOps = tighter.ValueKB, tighter.TxnOps
	if l.fallen {
		l.RPS, l.WriteRPS = tighter.RPS, tighter.WriteRPS
	}
}

// refused learns from a 429 that the next rates may hold already. It reports whether that
// changes anything.
func (l *stateLimits) refused() bool {
	if l.fallen || l.next.WriteRPS >= l.WriteRPS && l.next.RPS >= l.RPS {
		return false
	}
	l.fallen = true
	l.prepare()
	return true
}

// tooBusy notes that the state service refused a request for its rate. While processes of the
// version before are at work their writes count as well, so it says nothing before the gate.
func (c *Core) tooBusy() {
	if c.chainsEnabled() && c.limits.refused() {
		c.log.Warn("the state service refuses what it used to take, keeping to its next limits", "write_rps", c.limits.WriteRPS, "rps", c.limits.RPS)
	}
}

// valueMax is how long a stored value may be: as the store allows, and so that
// one transaction takes at least two.
func (c *Core) valueMax() int { return valueMax(c.limits.ValueKB) }

func valueMax(valueKB float64) int { return min(int(valueKB*1024)-100, txnBytes/2-headBytes) }

// mostGuards is how many conditions a transaction may have.
func (c *Core) mostGuards() int { return 4 * c.limits.TxnOps }
