package controller

import (
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

const (
	// failoverPriorityPeriod is how long an orphaned partition is reserved for the least loaded process;
	// after that, any process may take it over.
	failoverPriorityPeriod = 2 * units.Second

	minLeadershipTime = 5 * units.Second // minimum time for which a partition is led before it is transferred
	minProcessAge     = 8 * units.Second // minimum time for which the receiving process has been registered
)

// machineCommander starts to command the agent of a machine whose partition this process leads.
type machineCommander interface {
	beginCommand(m *machine, l *leadership)
}

// leadershipManager acquires leadership of partitions, transfers it to other processes and follows
// changes of the partitions' documents.
//
// A partition's document names the process that leads it, with a term that only increases. A process
// writes the document on the conditions that this process is registered, that the document is unchanged,
// and that the former leader, unless it is this process, is no longer registered. So two processes never
// lead one partition in one term. Every write of a leader has the document's revision as a condition, and
// fails once another process leads. A process leads once its replica shows the document, never merely
// because it has requested leadership. It leads no two times under one term: fencing tokens hold the term, and a
// leadership knows nothing of the commands that an earlier one has sent. A document that is shown again with a term
// under which this process has led, for instance after it was unreadable, is first written with the next term.
type leadershipManager struct {
	*environment

	store      *storeClient
	replica    *replica
	membership *membership
	freshness  *freshness
	authority  *authority
	partitions *partitionTable
	budget     *writeBudget
	commits    *committer
	machines   machineCommander

	orphanedSince map[int]units.Micros // when each partition was first seen without a registered leader
	lastTerms     map[int]uint64       // by partition: the latest term under which this process has led it
}

// partitionChanged updates the led partitions after the replica has received a new document of a partition.
func (l *leadershipManager) partitionChanged(partition int) {
	p := l.replica.partitions[partition]
	own := l.partitions.led[partition]
	if p == nil { // the document is not readable
		l.resign(partition, own, schema.Partition{})
		return
	}
	switch {
	case own != nil && own.revision == p.revision && l.namesThisProcess(p): // led under this document already
	case l.namesThisProcess(p) && p.doc.Term > l.lastTerms[partition]:
		l.begin(partition, p)
	default:
		l.resign(partition, own, p.doc)
	}
}

// namesThisProcess reports whether a partition's document names this process as the leader.
func (l *leadershipManager) namesThisProcess(p *partitionDoc) bool {
	return l.membership.registered && newProcessID(p.doc.Member, p.doc.Incarnation) == l.membership.process()
}

// resign ends this process's leadership of a partition, if own is not nil, in favour of the one in doc.
func (l *leadershipManager) resign(partition int, own *leadership, doc schema.Partition) {
	if own == nil {
		return
	}
	l.partitions.resign(partition)
	l.log.Info("leadership lost", append(l.freshness.logAttrs(), "partition", partition, "to", doc.Member, "term", doc.Term, "own_term", own.term, "held_s", (l.now-own.since).Seconds())...)
}

// begin starts to lead a partition, or restarts if it was led under an earlier revision of its document.
func (l *leadershipManager) begin(partition int, p *partitionDoc) {
	own := &leadership{partition: partition, revision: p.revision, term: p.doc.Term, since: l.now, planning: planningState{reservations: newReservationTable()}}
	l.partitions.lead(own)
	l.lastTerms[partition] = own.term
	l.log.Info("leadership acquired", append(l.freshness.logAttrs(), "partition", partition, "term", own.term, "leadership_revision", own.revision)...)
	for _, m := range l.replica.sortedMachines() {
		if m.commandingPartition() == partition {
			l.machines.beginCommand(m, own)
		}
	}
}

// balance takes over a partition whose leader is not registered, or transfers one to a process with
// less load. It changes at most one partition at a time.
func (l *leadershipManager) balance() {
	if !l.authority.mayAct() || !l.budget.hasCredit() || l.store.failing {
		return
	}
	l.removeOwnStaleRegistrations()
	if l.raiseTerm() {
		return
	}
	processes := l.replica.registeredProcesses()
	load, orphans := l.loads(processes)
	for _, partition := range orphans {
		successor := leastLoaded(processes, load)
		load[successor] += l.partitions.withTeams.load(partition)
		if l.mayTakeOver(partition, successor) {
			delete(l.orphanedSince, partition)
			l.acquire(partition, l.membership.process())
			return
		}
	}
	l.transferSurplus(processes, load)
}

// raiseTerm requests the next term of a partition whose document names this process, which does not lead it under
// that document's term. It reports whether there is such a partition.
func (l *leadershipManager) raiseTerm() bool {
	for partition := range l.cfg.Settings.Size {
		p := l.replica.partitions[partition]
		if p != nil && l.partitions.led[partition] == nil && l.namesThisProcess(p) {
			l.acquire(partition, l.membership.process())
			return true
		}
	}
	return false
}

// loads returns the load of each process, and the partitions without a registered leader. A partition whose
// document is not readable counts as led: its leader and its term are unknown.
func (l *leadershipManager) loads(processes []processID) (load map[processID]int, orphans []int) {
	load = map[processID]int{}
	for _, process := range processes {
		load[process] = 0
	}
	for n := range l.cfg.Settings.Size {
		if p := l.replica.partitions[n]; p != nil && l.replica.leaderRegistered(p) {
			load[newProcessID(p.doc.Member, p.doc.Incarnation)] += l.partitions.withTeams.load(n)
		} else if !l.replica.unreadable[schema.PartitionKey(n)] {
			orphans = append(orphans, n)
		}
	}
	return load, orphans
}

// leastLoaded returns the process with the lowest load, the first one if several have it.
func leastLoaded(processes []processID, load map[processID]int) processID {
	var least processID
	for _, process := range processes {
		if least == "" || load[process] < load[least] {
			least = process
		}
	}
	return least
}

// mayTakeOver reports whether this process may take over an orphaned partition: immediately if it is the
// successor, which is the least loaded process, otherwise once the partition has been orphaned for
// failoverPriorityPeriod.
func (l *leadershipManager) mayTakeOver(partition int, successor processID) bool {
	since, known := l.orphanedSince[partition]
	if !known {
		since = l.now
		l.orphanedSince[partition] = since
	}
	return successor == l.membership.process() || l.now-since > failoverPriorityPeriod
}

// removeOwnStaleRegistrations removes a registration of an earlier process of this member. That process
// is certainly dead, so its partitions need not wait for its lease to expire.
func (l *leadershipManager) removeOwnStaleRegistrations() {
	for _, process := range l.replica.registeredProcesses() {
		if process.member() != l.cfg.Member || process == l.membership.process() {
			continue
		}
		key := process.registrationKey()
		txn := &kv.Txn{Conditions: []kv.Condition{l.unchanged(key)}, Operations: []kv.Operation{{Delete: key}}}
		l.commits.commit(txn, "", func(commitResult) {})
		return
	}
}

// transferSurplus transfers a partition to a process whose load, even with that partition, stays below
// this process's own, and that has been registered for at least minProcessAge.
func (l *leadershipManager) transferSurplus(processes []processID, load map[processID]int) {
	ownLoad := load[l.membership.process()]
	for _, process := range processes {
		if l.now-l.replica.registeredSince[process.registrationKey()] < minProcessAge {
			continue
		}
		for _, partition := range l.partitions.ledPartitions() {
			own := l.partitions.led[partition]
			transferable := own.commitsInFlight == 0 && l.now-own.since > minLeadershipTime
			if transferable && load[process]+l.partitions.withTeams.load(partition) < ownLoad {
				l.acquire(partition, process)
				return
			}
		}
	}
}

// acquire writes the document that makes a process the leader of a partition: this process, or another
// one to which this process transfers a partition that it leads. Both must be shown as registered: the condition that a
// registration is unchanged would also hold for one that is gone.
func (l *leadershipManager) acquire(partition int, leader processID) {
	if !l.shownRegistered(l.membership.process()) || !l.shownRegistered(leader) {
		return
	}
	writeTag := l.commits.newWriteTag()
	doc := schema.Partition{Term: l.nextTerm(partition), Member: leader.member(), Incarnation: leader.incarnation(), WriteTag: writeTag}
	txn := &kv.Txn{
		Conditions: l.acquireConditions(partition, leader),
		Operations: []kv.Operation{{Set: schema.PartitionKey(partition), Value: encode(doc)}},
	}
	own := l.partitions.led[partition] // nil unless this process transfers the partition
	if own != nil {
		own.commitsInFlight++ // the partition is not planned until the commit is answered
	}
	l.log.Info("acquiring leadership", "partition", partition, "for", doc.Member, "term", doc.Term)
	l.commits.commit(txn, writeTag, func(result commitResult) {
		if result.outcome != commitApplied {
			l.log.Info("acquiring leadership failed", "partition", partition, "failed", result.failedKeys)
		}
		// Decrement the count of the leadership that was incremented above, which may no longer be the
		// current one: the watch may have shown the document before this answer, and a plan of the new
		// leadership may be in flight. A second plan at the same time could put a team over its quota.
		if own != nil {
			own.commitsInFlight--
		}
	})
}

// nextTerm returns the term of a partition's next leader.
func (l *leadershipManager) nextTerm(partition int) uint64 {
	term := l.lastTerms[partition]
	if p := l.replica.partitions[partition]; p != nil {
		term = max(term, p.doc.Term)
	}
	return term + 1
}

// acquireConditions returns the conditions of the write that changes a partition's leader.
func (l *leadershipManager) acquireConditions(partition int, leader processID) []kv.Condition {
	self := l.membership.process().registrationKey()
	conditions := []kv.Condition{l.unchanged(self)}
	p := l.replica.partitions[partition]
	if p == nil {
		return append(conditions, kv.Condition{Key: schema.PartitionKey(partition)})
	}
	conditions = append(conditions, kv.Condition{Key: schema.PartitionKey(partition), ModRevision: p.revision})
	if former := schema.RegistrationKey(p.doc.Member, p.doc.Incarnation); former != self {
		conditions = append(conditions, kv.Condition{Key: former}) // the former leader is not registered
	}
	if target := leader.registrationKey(); target != self {
		conditions = append(conditions, l.unchanged(target))
	}
	return conditions
}

// shownRegistered reports whether the replica shows a process as registered.
func (l *leadershipManager) shownRegistered(process processID) bool {
	return l.replica.revisions[process.registrationKey()] > 0
}

// unchanged returns the condition that a key still has the revision that the replica shows.
func (l *leadershipManager) unchanged(key string) kv.Condition {
	return kv.Condition{Key: key, ModRevision: l.replica.revisions[key]}
}
