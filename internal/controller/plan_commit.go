package controller

import (
	"encoding/json"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// jointChanges are the changes that a plan must commit in one transaction: outcomes of jobs, the job
// shards from which these jobs are removed, and progress (staged by progressWriter). A job is removed
// from its shard only together with its outcome, or after the outcome is stored.
type jointChanges struct {
	operations  []kv.Operation
	conditions  []kv.Condition
	removedJobs map[*jobShard]map[string]bool // IDs of removed jobs, by their shard
	savedRuns   []savedRuntime
}

// savedRuntime is the run time of completed tasks that a commit adds to a job's stored average.
type savedRuntime struct {
	job   *job
	sum   units.Micros
	count int
}

func newJointChanges() jointChanges {
	return jointChanges{removedJobs: map[*jobShard]map[string]bool{}}
}

// addJoint stages an operation, on the condition that its key has modRevision, or is absent if that is 0.
func (p *plan) addJoint(operation kv.Operation, modRevision uint64) {
	p.joint.operations = append(p.joint.operations, operation)
	p.joint.conditions = append(p.joint.conditions, kv.Condition{Key: operation.Set + operation.Delete, ModRevision: modRevision})
	p.budget.takeJoint()
	p.budget.takeBytes(len(operation.Value) + jointOperationBytes)
}

// jointOperationBytes is an upper estimate of the size of an operation and its condition, without the
// value.
const jointOperationBytes = 100

// planTransaction is one of a plan's transactions.
type planTransaction struct {
	txn    *kv.Txn
	shards []*stagedShard
	joint  bool // it contains the joint changes
}

// commit writes the plan. All joint changes are in one transaction, together with as many machine
// shards as fit; each machine shard is written whole in one transaction.
func (p *plan) commit() {
	p.auditForgotten()
	transactions := p.transactions()
	p.leadership.commitsInFlight = len(transactions)
	p.inFlight.begin(p.attempt, len(transactions))
	for _, t := range transactions {
		p.commits.markInFlight(t.txn)
	}
	for _, t := range transactions {
		p.commits.commit(t.txn, p.writeTag, func(result commitResult) {
			p.finishCommit(t, result)
		})
	}
}

// transactions groups the staged changes into transactions within the store's limits, the joint changes
// first.
func (p *plan) transactions() []*planTransaction {
	transactions := []*planTransaction{p.jointTransaction()}
	for _, shard := range p.shards {
		if !shard.changed {
			continue
		}
		shard.auditReleases()
		documents := shard.documents()
		if len(documents) == 0 {
			p.restoreBindings()
			continue
		}
		last := transactions[len(transactions)-1]
		if len(last.txn.Operations)+len(documents) > p.store.limits.TxnOps {
			last = p.newTransaction()
			transactions = append(transactions, last)
		}
		for _, document := range documents {
			p.replica.addSet(last.txn, document.key, document.value)
		}
		shard.noteEntriesBeingRemoved()
		shard.noteReservations()
		last.shards = append(last.shards, shard)
	}
	return slices.DeleteFunc(transactions, func(t *planTransaction) bool { return len(t.txn.Operations) == 0 })
}

// newTransaction returns an empty transaction that fails unless this controller still leads the partition.
func (p *plan) newTransaction() *planTransaction {
	leads := kv.Condition{Key: schema.PartitionKey(p.leadership.partition), ModRevision: p.leadership.revision}
	return &planTransaction{txn: &kv.Txn{Conditions: []kv.Condition{leads}}}
}

// addSet adds an operation that sets a document, on the condition that the stored document is still as the
// replica shows it.
func (r *replica) addSet(txn *kv.Txn, key string, value json.RawMessage) {
	txn.Conditions = append(txn.Conditions, kv.Condition{Key: key, ModRevision: r.revisions[key]})
	txn.Operations = append(txn.Operations, kv.Operation{Set: key, Value: value})
}

// jointTransaction returns the transaction of the joint changes: outcomes, the job shards from which
// their jobs are removed, and progress.
func (p *plan) jointTransaction() *planTransaction {
	t := p.newTransaction()
	t.joint = true
	t.txn.Conditions = append(t.txn.Conditions, p.joint.conditions...)
	t.txn.Operations = p.joint.operations
	for _, shard := range p.replica.jobShards.all() {
		if removed := p.joint.removedJobs[shard]; removed != nil {
			document := p.replica.jobShardDocument(shard, removed)
			document.WriteTag = p.writeTag
			p.replica.addSet(t.txn, shard.key, encode(document))
		}
	}
	for _, key := range p.progress.changedKeys() {
		p.replica.addSet(t.txn, key, encode(p.progress.document(key)))
	}
	return t
}

// finishCommit handles the result of one of the plan's transactions.
func (p *plan) finishCommit(t *planTransaction, result commitResult) {
	p.commits.clearInFlight(t.txn)
	for _, shard := range t.shards {
		shard.clearEntriesBeingRemoved()
	}
	p.leadership.commitsInFlight--
	p.inFlight.end(p.attempt)
	p.planNeeded = true
	t.withdrawAdded()
	switch {
	case result.outcome != commitApplied:
		p.restoreBindings()
		p.leadership.planning.pausedUntil = p.now + commitRetryDelay
		if result.outcome == commitConflict {
			p.noteConflict(result)
		}
	case t.joint:
		p.joint.forgetSavedRuns()
	}
}

// withdrawAdded withdraws the bindings that the transaction's machine shards added and that no entry in the replica
// stands behind. Also an applied transaction may leave such bindings: the replica may show a later state of the
// machine shard, in which the entry is released already, and may never have shown the entry itself.
func (t *planTransaction) withdrawAdded() {
	for _, shard := range t.shards {
		shard.withdrawAdded()
	}
}

// noteConflict suspends planning until the replica shows the changes that made the conditions fail.
func (p *plan) noteConflict(conflict commitResult) {
	state := &p.leadership.planning
	state.requiredRevision = max(state.requiredRevision, conflict.revision)
	p.log.Info("plan commit conflict", "partition", p.leadership.partition, "failed", conflict.failedKeys)
	p.outcomes.learnConflicting(conflict.failedKeys)
}

// saveRuns records that the commit stores the run times of a job's completed tasks.
func (j *jointChanges) saveRuns(saved *job) {
	if !slices.ContainsFunc(j.savedRuns, func(other savedRuntime) bool { return other.job == saved }) {
		j.savedRuns = append(j.savedRuns, savedRuntime{saved, saved.runSum, saved.runCount})
	}
}

// forgetSavedRuns deducts from the jobs' unstored run times those that the commit has stored.
func (j *jointChanges) forgetSavedRuns() {
	for _, saved := range j.savedRuns {
		saved.job.subtractRuns(saved.sum, saved.count)
	}
}
