package controller

import (
	"encoding/json"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// jointChanges are what a plan must change in one transaction: outcomes of jobs, the job shards that
// these jobs leave, and progress (kept by progressWriter). A job leaves its shard only together with,
// or after, its outcome.
type jointChanges struct {
	operations  []kv.Operation
	conditions  []kv.Condition
	removedJobs map[*jobShard]map[string]bool // by the shard that they leave
	savedRuns   []savedRuntime
}

// savedRuntime is task time that a commit makes part of a job's stored average.
type savedRuntime struct {
	job   *job
	sum   units.Micros
	count int
}

func newJointChanges() jointChanges {
	return jointChanges{removedJobs: map[*jobShard]map[string]bool{}}
}

// addJoint stages an operation on the condition that its key has that mod revision; 0: that it is absent.
func (p *plan) addJoint(operation kv.Operation, modRevision uint64) {
	p.joint.operations = append(p.joint.operations, operation)
	p.joint.conditions = append(p.joint.conditions, kv.Condition{Key: operation.Set + operation.Delete, ModRevision: modRevision})
	p.budget.takeJoint()
	p.budget.takeBytes(len(operation.Value) + jointOperationBytes)
}

// jointOperationBytes is an upper estimate of an operation without its value, with its condition.
const jointOperationBytes = 100

// planTransaction is one of a plan's transactions.
type planTransaction struct {
	txn    *kv.Txn
	shards []*stagedShard
	joint  bool // it has the joint changes
}

// commit writes the plan. The joint changes are in one transaction, with as many machine shards as it
// takes; each machine shard is whole in one.
func (p *plan) commit() {
	p.auditForgotten()
	transactions := p.transactions()
	p.leadership.commitsInFlight = len(transactions)
	for _, t := range transactions {
		p.commits.markInFlight(t.txn)
	}
	for _, t := range transactions {
		p.commits.commit(t.txn, p.writeTag, func(result commitResult) {
			p.finishCommit(t, result)
		})
	}
}

// transactions gives what is staged as transactions that the store takes, the joint changes first.
func (p *plan) transactions() []*planTransaction {
	transactions := []*planTransaction{p.jointTransaction()}
	for _, shard := range p.shards {
		if !shard.changed {
			continue
		}
		shard.auditReleases()
		documents := shard.documents()
		last := transactions[len(transactions)-1]
		if len(last.txn.Operations)+len(documents) > p.store.limits.TxnOps {
			last = p.newTransaction()
			transactions = append(transactions, last)
		}
		for _, document := range documents {
			p.replica.addSet(last.txn, document.key, document.value)
		}
		shard.noteEntriesLeaving()
		last.shards = append(last.shards, shard)
	}
	return slices.DeleteFunc(transactions, func(t *planTransaction) bool { return len(t.txn.Operations) == 0 })
}

// newTransaction gives a transaction that only the partition's present leader can carry out.
func (p *plan) newTransaction() *planTransaction {
	leads := kv.Condition{Key: schema.PartitionKey(p.leadership.partition), ModRevision: p.leadership.revision}
	return &planTransaction{txn: &kv.Txn{Conditions: []kv.Condition{leads}}}
}

// addSet sets a document on the condition that it still is as the replica shows it.
func (r *replica) addSet(txn *kv.Txn, key string, value json.RawMessage) {
	txn.Conditions = append(txn.Conditions, kv.Condition{Key: key, ModRevision: r.revisions[key]})
	txn.Operations = append(txn.Operations, kv.Operation{Set: key, Value: value})
}

// jointTransaction gives the joint changes: outcomes, the job shards that their jobs leave, progress.
func (p *plan) jointTransaction() *planTransaction {
	t := p.newTransaction()
	t.joint = true
	t.txn.Conditions = append(t.txn.Conditions, p.joint.conditions...)
	t.txn.Operations = p.joint.operations
	for _, shard := range p.replica.jobShards {
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

// finishCommit takes the outcome of one of the plan's transactions.
func (p *plan) finishCommit(t *planTransaction, result commitResult) {
	p.commits.clearInFlight(t.txn)
	for _, shard := range t.shards {
		shard.forgetEntriesLeaving()
	}
	p.leadership.commitsInFlight--
	p.planNeeded = true
	switch {
	case result.outcome != commitApplied:
		p.undo(t)
		p.leadership.planning.pausedUntil = p.now + commitRetryDelay
		if result.outcome == commitConflict {
			p.noteConflict(result)
		}
	case t.joint:
		p.joint.forgetSavedRuns()
	}
}

// undo takes back the bindings of a transaction that was not stored.
func (p *plan) undo(t *planTransaction) {
	for _, shard := range t.shards {
		shard.withdrawAdded()
	}
	p.restoreBindings()
}

// noteConflict keeps the partition from planning until the replica shows what failed the conditions.
func (p *plan) noteConflict(conflict commitResult) {
	state := &p.leadership.planning
	state.requiredRevision = max(state.requiredRevision, conflict.revision)
	p.log.Info("plan commit conflict", "partition", p.leadership.partition, "failed", conflict.failedKeys)
	p.outcomes.learnConflicting(conflict.failedKeys)
}

// forgetSavedRuns takes the task time that is now part of stored averages from what is not stored yet.
func (j *jointChanges) forgetSavedRuns() {
	for _, saved := range j.savedRuns {
		saved.job.forgetRuns(saved.sum, saved.count)
	}
}
