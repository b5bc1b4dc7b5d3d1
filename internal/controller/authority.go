package controller

import "frostdock.example/frostdock/internal/units"

// maxStartProofAge is how old the proof of freshness may be for a start. Agents' leases may be renewed
// on an older one, so that a short outage costs no task; but a start can wait, and what is cancelled
// meanwhile must not be started any more.
const maxStartProofAge = 3 * units.Second

// authority decides whether this process may act on what its replica says. All that acts asks it; there
// is no second path.
//
// Nothing acts without a recent proof of freshness: within the staleness bound of the settings, the
// replica must be proven to have been complete, leadership and cancellations included. That the
// registration was renewed proves nothing: after an outage every lease has its full time again, and
// a leader that went by its renewals alone would start tasks whose cancellation it has not seen.
type authority struct {
	*environment

	replica    *replica
	membership *membership
	freshness  *freshness
	partitions *partitionTable

	since units.Micros // since when this process may act; 0: it may not
}

// mayAct reports whether this process may answer an agent, command one, and plan.
func (a *authority) mayAct() bool {
	return a.membership.registered && a.replica.complete() && a.proofYoungerThan(a.cfg.Settings.StalenessBound())
}

// mayStartTasks reports whether the replica is recent enough for starts as well.
func (a *authority) mayStartTasks() bool {
	return a.mayAct() && a.proofYoungerThan(maxStartProofAge)
}

func (a *authority) proofYoungerThan(age units.Micros) bool {
	return a.freshness.provenAt > 0 && a.now-a.freshness.provenAt < age
}

// commandsEnd is until when commands that are decided now may leave: as long as the proof that they rest on
// is recent enough, and so as long as they could be decided on it. One that leaves later may start what
// was cancelled in view of all others.
func (a *authority) commandsEnd(withStart bool) units.Micros {
	if withStart {
		return a.freshness.provenAt + maxStartProofAge
	}
	return a.freshness.provenAt + a.cfg.Settings.StalenessBound()
}

// leads reports whether this process leads a partition, may act, and has a replica that shows all that
// the former leader wrote.
func (a *authority) leads(partition int) bool {
	led := a.partitions.led[partition]
	return led != nil && a.replica.watchRevision >= led.revision && a.mayAct()
}

// leadsAny reports whether this process leads a partition, also while it may not act.
func (a *authority) leadsAny() bool { return len(a.partitions.led) > 0 }

func (a *authority) currentIncarnation() string { return a.membership.incarnation }

// noteChanges notes since when this process may act, and tells when that changes.
func (a *authority) noteChanges() {
	switch may := a.mayAct(); {
	case may && a.since == 0:
		a.since = a.now
		a.log.Info("authority gained", append(a.freshness.logAttrs(), "complete_revision", a.replica.completeRevision, "incarnation", a.membership.incarnation)...)
	case !may && a.since > 0:
		a.log.Info("authority lost", append(a.freshness.logAttrs(), "for_s", (a.now-a.since).Seconds(), "registered", a.membership.registered, "synced", a.replica.synced)...)
		a.since = 0
	}
}
