package controller

import "frostdock.example/frostdock/internal/units"

// maxStartProofAge is the maximum age of the proof of freshness for starting a task. Agents' leases may
// be renewed on an older proof, so that a short store outage ends no task; but a start can wait, and a
// task that was cancelled after the proof must not be started any more.
const maxStartProofAge = 3 * units.Second

// authority decides whether this process may act on the contents of its replica. Every component must ask
// it before it acts; no other component decides this.
//
// Acting requires a recent proof of freshness: the replica must be proven to have been complete, including
// leadership and cancellations, at a time within the staleness bound of the settings. A renewed registration
// proves nothing: after an outage every lease is granted its full time again, and a leader that relied
// on its renewals alone would start tasks whose cancellation it has not seen.
type authority struct {
	*environment

	replica    *replica
	membership *membership
	freshness  *freshness
	partitions *partitionTable

	gainedAt units.Micros // when this process gained the right to act; 0: it may not act
}

// mayAct reports whether this process may answer agents, command them, and plan.
func (a *authority) mayAct() bool {
	return a.membership.registered && a.replica.complete() && a.proofYoungerThan(a.cfg.Settings.StalenessBound())
}

// mayStartTasks reports whether this process may act, and its replica is recent enough to start tasks and lacks
// no document: one that is not readable may say that a task is on another machine, or is done.
func (a *authority) mayStartTasks() bool {
	return a.mayAct() && a.replica.allReadable() && a.proofYoungerThan(maxStartProofAge)
}

func (a *authority) proofYoungerThan(age units.Micros) bool {
	return a.freshness.provenAt > 0 && a.now-a.freshness.provenAt < age
}

// commandsExpireAt returns the time before which commands decided now must be sent: the time when the proof
// of freshness that they are based on becomes too old for them. A command that is sent later might start a
// task whose cancellation all other controllers have seen.
func (a *authority) commandsExpireAt(withStart bool) units.Micros {
	if withStart {
		return a.freshness.provenAt + maxStartProofAge
	}
	return a.freshness.provenAt + a.cfg.Settings.StalenessBound()
}

// leads reports whether this process leads a partition, may act, and has a replica that shows everything
// that the former leader wrote.
func (a *authority) leads(partition int) bool {
	led := a.partitions.led[partition]
	return led != nil && a.replica.watchRevision >= led.revision && a.mayAct()
}

// leadsAny reports whether this process leads any partition, even while it may not act.
func (a *authority) leadsAny() bool { return len(a.partitions.led) > 0 }

func (a *authority) currentIncarnation() string { return a.membership.incarnation }

// noteChanges records when this process gains or loses the right to act, and logs each change.
func (a *authority) noteChanges() {
	switch may := a.mayAct(); {
	case may && a.gainedAt == 0:
		a.gainedAt = a.now
		a.log.Info("authority gained", append(a.freshness.logAttrs(), "complete_revision", a.replica.completeRevision, "incarnation", a.membership.incarnation)...)
	case !may && a.gainedAt > 0:
		a.log.Info("authority lost", append(a.freshness.logAttrs(), "for_s", (a.now-a.gainedAt).Seconds(), "registered", a.membership.registered, "synced", a.replica.synced)...)
		a.gainedAt = 0
	}
}
