package controller

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// acceptQueue stores submissions. It owns the submissions that wait to be stored and the one transaction in
// flight that stores some of them. It guarantees that a job is durable before its submission is answered
// 201, that a job is stored once, and that no job with an outcome is stored. It never decides whether a
// submission may be accepted: submissions are validated and their dependencies resolved before enqueue.
type acceptQueue struct {
	*environment
	store    *storeClient
	replica  *replica
	users    *userRequests
	statuses *statusReader
	budget   *writeBudget
	commits  shardWriter

	pending       []pendingSubmission
	inFlight      bool
	notBefore     units.Micros // no transaction before this time, after the store has throttled one
	afterRevision uint64       // revision that the replica must have reached before the next transaction
}

// transactor commits transactions to the store. done runs once, with the definite result.
type transactor interface {
	newWriteTag() string
	commit(txn *kv.Txn, writeTag string, done func(commitResult))
}

// shardWriter is a transactor that also tracks which keys are being written by a transaction in flight.
type shardWriter interface {
	transactor
	isInFlight(key string) bool
	markInFlight(txn *kv.Txn)
	clearInFlight(txn *kv.Txn)
}

// pendingSubmission is a submission that waits to be stored.
type pendingSubmission struct {
	job         *schema.Job
	requestID   uint64
	requestedAt units.Micros
}

var errTooLarge = errors.New("too large to be stored")

const (
	// throttledRetry is the delay before a throttled transaction is retried.
	throttledRetry = 150 * units.Millisecond
	// urgencyPerSubmission is the time that each waiting submission adds to the urgency of its job shard,
	// on top of its waiting time.
	urgencyPerSubmission = units.Second / 4
)

// enqueue sets the acceptance time of a validated submission, queues it and, if possible, stores it
// immediately.
func (q *acceptQueue) enqueue(request UserRequest) {
	request.Job.AcceptedAt = int64(q.unixTime)
	q.pending = append(q.pending, pendingSubmission{job: request.Job, requestID: request.RequestID, requestedAt: q.now})
	q.storePending()
}

// mayStore reports whether waiting submissions exist and may be stored now.
func (q *acceptQueue) mayStore() bool {
	return len(q.pending) > 0 && !q.inFlight && q.replica.watchRevision >= q.afterRevision &&
		q.budget.hasCredit() && q.now >= q.notBefore
}

// storePending stores as many waiting submissions as fit into one transaction.
func (q *acceptQueue) storePending() {
	if !q.mayStore() {
		return
	}
	txn := &acceptTransaction{queue: q, txn: &kv.Txn{}, writeTag: q.commits.newWriteTag()}
	pending := q.takePending()
	for _, shard := range q.shardsByUrgency(pending) {
		if q.commits.isInFlight(shard.key) || txn.full() {
			q.pending = append(q.pending, pending[shard]...)
			continue
		}
		txn.addShard(shard, pending[shard])
	}
	if len(txn.submissions) > 0 {
		txn.send()
	}
}

// takePending empties the queue and returns the submissions whose requests are still open, by job shard.
// Submissions whose owning shard the replica has not seen yet stay queued: in any other shard the job
// would not be found again. Those whose shard is not readable are refused: it may list the job already, and
// must not be overwritten.
func (q *acceptQueue) takePending() map[*jobShard][]pendingSubmission {
	pending := map[*jobShard][]pendingSubmission{}
	var waiting []pendingSubmission
	for _, submission := range q.pending {
		if !q.users.isOpen(submission.requestID) {
			continue
		}
		owner, shown := q.replica.jobDirectory.owner(submission.job.ID)
		shard := q.replica.jobShards.find(owner)
		if q.replica.unreadable[shard.key] {
			q.users.askToRetry(submission.requestID)
			continue
		}
		if !shown {
			waiting = append(waiting, submission)
			continue
		}
		pending[shard] = append(pending[shard], submission)
	}
	q.pending = waiting
	return pending
}

// shardsByUrgency returns the job shards with waiting submissions, the most urgent first: the more
// submissions wait for a shard, and the longer, the more urgent it is. A fixed order would starve the
// last shards whenever many submissions arrive at the same time. For equal urgency each controller begins at a
// different shard, so that two controllers seldom write the same one.
func (q *acceptQueue) shardsByUrgency(pending map[*jobShard][]pendingSubmission) []*jobShard {
	var shards []*jobShard
	urgency := map[*jobShard]units.Micros{}
	all := q.replica.jobShards.all()
	first := q.memberRank() * len(all) / q.cfg.Settings.Size
	for i := range all {
		shard := all[(first+i)%len(all)]
		if len(pending[shard]) == 0 {
			continue
		}
		shards = append(shards, shard)
		for _, submission := range pending[shard] {
			urgency[shard] += q.now - submission.requestedAt + urgencyPerSubmission
		}
	}
	slices.SortStableFunc(shards, func(a, b *jobShard) int { return cmp.Compare(urgency[b], urgency[a]) })
	return shards
}

// memberRank returns this member's position, from 0, among all members ordered by name.
func (q *acceptQueue) memberRank() int {
	rank := 0
	for _, peer := range q.cfg.Peers {
		if peer.Member < q.cfg.Member {
			rank++
		}
	}
	return rank
}

// answerExisting answers a submission of an existing job with the job's status.
func (q *acceptQueue) answerExisting(submission pendingSubmission) {
	q.statuses.current(submission.job.ID, func(result statusResult) { q.users.answerExisting(submission.requestID, result) })
}

// acceptTransaction is a transaction that stores submissions in job shards.
type acceptTransaction struct {
	queue       *acceptQueue
	txn         *kv.Txn
	writeTag    string
	bytes       int                 // total length of the documents
	submissions []pendingSubmission // stored by the transaction
}

// full reports whether no further job shard may be added. Only half of a transaction's limits is used: the
// whole transaction fails if another controller has just written one of its job shards, which is likelier
// the more of them there are.
func (t *acceptTransaction) full() bool {
	return len(t.txn.Operations) >= max(1, t.queue.store.limits.TxnOps/2) || t.bytes > maxTransactionBytes/2
}

// addShard adds as many submissions as fit into the job shard and the transaction. The others are
// answered or go back to the queue. The transaction will fail if the document has changed since, or if
// one of the jobs has an outcome.
func (t *acceptTransaction) addShard(shard *jobShard, pending []pendingSubmission) {
	submissions, value := t.queue.fillShard(shard, pending, t.writeTag, len(t.txn.Conditions))
	if len(submissions) == 0 {
		return
	}
	t.bytes += len(value)
	t.txn.Conditions = append(t.txn.Conditions, kv.Condition{Key: shard.key, ModRevision: t.queue.replica.revisions[shard.key]})
	for _, submission := range submissions {
		t.txn.Conditions = append(t.txn.Conditions, kv.Condition{Key: schema.OutcomePrefix + submission.job.ID})
	}
	t.txn.Operations = append(t.txn.Operations, kv.Operation{Set: shard.key, Value: value})
	t.submissions = append(t.submissions, submissions...)
}

func (t *acceptTransaction) send() {
	t.queue.inFlight = true
	t.queue.commits.markInFlight(t.txn)
	t.queue.commits.commit(t.txn, t.writeTag, t.settle)
}

// settle handles the result of the transaction.
func (t *acceptTransaction) settle(result commitResult) {
	q := t.queue
	q.inFlight = false
	q.commits.clearInFlight(t.txn)
	switch result.outcome {
	case commitThrottled:
		q.notBefore = q.now + throttledRetry
	case commitConflict:
		q.afterRevision = result.revision // the replica must show the changed job shards first
	case commitApplied, commitRefused:
	}
	for _, submission := range t.submissions {
		q.settle(submission, result)
	}
}

// settle answers a submission by the result of its transaction, or queues it again for the next one.
func (q *acceptQueue) settle(submission pendingSubmission, result commitResult) {
	switch {
	case result.outcome == commitApplied:
		q.users.answerStatus(submission.requestID, http.StatusCreated, &JobStatus{ID: submission.job.ID, Stage: StagePending})
	case result.outcome == commitRefused:
		q.users.askToRetry(submission.requestID)
	case result.outcome == commitConflict && slices.Contains(result.failedKeys, schema.OutcomePrefix+submission.job.ID): // the job has ended already
		q.answerExisting(submission)
	default:
		q.pending = append(q.pending, submission)
	}
}

// fillShard adds as many submissions to the job shard as fit into it and into the transaction; conditions
// is the number of conditions that the transaction already has. It returns the added submissions and the
// shard's new document, and answers the others or puts them back into the queue.
func (q *acceptQueue) fillShard(shard *jobShard, pending []pendingSubmission, writeTag string, conditions int) ([]pendingSubmission, json.RawMessage) {
	fill := &shardFill{
		queue: q, document: q.replica.jobShardDocument(shard, nil), conditions: conditions,
		bytesLeft: q.store.limits.maxValueBytes() - shard.size,
	}
	for _, submission := range pending {
		fill.add(submission)
	}
	if len(fill.submissions) == 0 {
		return nil, nil
	}
	fill.document.WriteTag = writeTag
	value := encode(fill.document)
	if len(value) > q.store.limits.maxValueBytes() { // the size of the added jobs was underestimated
		q.log.Error("job shard exceeds value limit", "shard", shard.key, "bytes", len(value))
		for _, submission := range fill.submissions {
			q.users.askToRetry(submission.requestID)
		}
		return nil, nil
	}
	return fill.submissions, value
}

// shardFill is a job shard's document while submissions are added to it.
type shardFill struct {
	queue       *acceptQueue
	document    *schema.JobShard
	conditions  int // conditions of the transaction without those of this job shard
	bytesLeft   int // by how much the document may still grow
	submissions []pendingSubmission
}

// add adds a submission to the document, answers it, or puts it back into the queue.
func (f *shardFill) add(submission pendingSubmission) {
	q := f.queue
	known := q.replica.jobs[submission.job.ID]
	size := schema.MaxStoredGrowth(len(encode(submission.job)))
	switch {
	case known != nil && known.accepted: // another controller has stored it since
		q.answerExisting(submission)
	case size > q.store.limits.maxValueBytes()-documentOverheadBytes:
		q.users.reject(submission.requestID, http.StatusUnprocessableEntity, errTooLarge)
	case f.has(submission.job.ID) || !f.conditionsLeft():
		q.pending = append(q.pending, submission)
	case size > f.bytesLeft: // the job shard is full until some of its jobs have ended
		q.users.askToRetry(submission.requestID)
	default:
		f.bytesLeft -= size
		f.submissions = append(f.submissions, submission)
		f.document.Jobs = append(f.document.Jobs, *submission.job)
	}
}

// has reports whether this fill already contains a submission of the job.
func (f *shardFill) has(id string) bool {
	return slices.ContainsFunc(f.submissions, func(submission pendingSubmission) bool { return submission.job.ID == id })
}

// conditionsLeft reports whether the transaction can take the conditions of one more submission. A shard
// needs one condition, and so does each of its new jobs.
func (f *shardFill) conditionsLeft() bool {
	return f.conditions+1+len(f.submissions)+1 <= f.queue.store.limits.maxConditions()
}
