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

// acceptQueue stores submissions. It owns those that wait to be stored and the one transaction that
// stores some of them. It promises that a job is durable before its submission is answered 201, that
// a job is entered once, and that none is entered that has an outcome already. It never decides whether
// a submission may be accepted: what is queued has been validated, and its dependencies are resolved.
type acceptQueue struct {
	*environment
	store    *storeClient
	replica  *replica
	users    *userRequests
	statuses *statusReader
	budget   *writeBudget
	commits  shardWriter

	pending       []pendingAccept
	inFlight      bool
	notBefore     units.Micros // when the store may take more
	afterRevision uint64       // the replica must have come this far before the next are stored
}

// transactor carries out transactions on the store. done runs once, with the truth.
type transactor interface {
	newWriteTag() string
	commit(txn *kv.Txn, writeTag string, done func(commitResult))
}

// shardWriter is what the accept queue needs to write job shards beside others who do.
type shardWriter interface {
	transactor
	isInFlight(key string) bool
	markInFlight(txn *kv.Txn)
	clearInFlight(txn *kv.Txn)
}

// pendingAccept is a submission that waits to be stored.
type pendingAccept struct {
	job         *schema.Job
	requestID   uint64
	requestedAt units.Micros
}

var errTooLarge = errors.New("too large to be stored")

const (
	// throttledRetry is when a transaction that was refused for its rate is tried again.
	throttledRetry = 150 * units.Millisecond
	// urgencyOfOne is how much each waiting submission counts, beside the time that it has waited.
	urgencyOfOne = units.Second / 4
)

// enqueue queues a submission that can run to be stored.
func (q *acceptQueue) enqueue(request UserRequest) {
	request.Job.AcceptedAt = int64(q.timeOfDay)
	q.pending = append(q.pending, pendingAccept{job: request.Job, requestID: request.RequestID, requestedAt: q.now})
	q.storePending()
}

// mayStore reports whether waiting submissions may be stored now.
func (q *acceptQueue) mayStore() bool {
	return len(q.pending) > 0 && !q.inFlight && q.replica.watchRevision >= q.afterRevision &&
		q.budget.hasCredit() && q.now >= q.notBefore
}

// storePending stores waiting submissions, as many as one transaction takes.
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
	if len(txn.accepts) > 0 {
		txn.send()
	}
}

// takePending takes from the queue the submissions whose users still wait, by job shard. Those whose job
// shard was not shown yet stay: in any other one they would not be found again.
func (q *acceptQueue) takePending() map[*jobShard][]pendingAccept {
	pending := map[*jobShard][]pendingAccept{}
	var waiting []pendingAccept
	for _, accept := range q.pending {
		if !q.users.isOpen(accept.requestID) {
			continue
		}
		owner, shown := q.replica.jobDirectory.owner(accept.job.ID)
		if !shown {
			waiting = append(waiting, accept)
			continue
		}
		shard := q.replica.jobShards[owner]
		pending[shard] = append(pending[shard], accept)
	}
	q.pending = waiting
	return pending
}

// shardsByUrgency orders the job shards that submissions wait for: where many wait, and have done so for
// long, one change accepts most. In a fixed order those for the last job shards would wait in vain
// whenever many come at once. Each controller begins at job shards of its own, so that two seldom
// write the same.
func (q *acceptQueue) shardsByUrgency(pending map[*jobShard][]pendingAccept) []*jobShard {
	var shards []*jobShard
	urgency := map[*jobShard]units.Micros{}
	all := q.replica.jobShards
	first := q.memberRank() * len(all) / q.cfg.Settings.Size
	for i := range all {
		shard := all[(first+i)%len(all)]
		if len(pending[shard]) == 0 {
			continue
		}
		shards = append(shards, shard)
		for _, accept := range pending[shard] {
			urgency[shard] += q.now - accept.requestedAt + urgencyOfOne
		}
	}
	slices.SortStableFunc(shards, func(a, b *jobShard) int { return cmp.Compare(urgency[b], urgency[a]) })
	return shards
}

// memberRank is this member's place among all, by name.
func (q *acceptQueue) memberRank() int {
	rank := 0
	for _, peer := range q.cfg.Peers {
		if peer.Member < q.cfg.Member {
			rank++
		}
	}
	return rank
}

// answerExisting answers a submission of a job that is known already.
func (q *acceptQueue) answerExisting(accept pendingAccept) {
	q.statuses.current(accept.job.ID, func(result statusResult) { q.users.answerExisting(accept.requestID, result) })
}

// acceptTransaction is a transaction that stores submissions.
type acceptTransaction struct {
	queue    *acceptQueue
	txn      *kv.Txn
	writeTag string
	bytes    int             // of the documents
	accepts  []pendingAccept // that it stores
}

// full reports whether no further job shard may be added. Half of what a transaction can take is left: of
// many job shards in one transaction, one that another controller has just written makes all fail.
func (t *acceptTransaction) full() bool {
	return len(t.txn.Operations) >= max(1, t.queue.store.limits.TxnOps/2) || t.bytes > maxTransactionBytes/2
}

// addShard enters as many submissions as the job shard and the transaction can take. The others are
// answered or go back to the queue. The transaction fails if the document has been changed, or if a
// job has an outcome.
func (t *acceptTransaction) addShard(shard *jobShard, pending []pendingAccept) {
	accepts, value := t.queue.fillShard(shard, pending, t.writeTag, len(t.txn.Conditions))
	if len(accepts) == 0 {
		return
	}
	t.bytes += len(value)
	t.txn.Conditions = append(t.txn.Conditions, kv.Condition{Key: shard.key, ModRevision: t.queue.replica.revisions[shard.key]})
	for _, accept := range accepts {
		t.txn.Conditions = append(t.txn.Conditions, kv.Condition{Key: schema.OutcomePrefix + accept.job.ID})
	}
	t.txn.Operations = append(t.txn.Operations, kv.Operation{Set: shard.key, Value: value})
	t.accepts = append(t.accepts, accepts...)
}

func (t *acceptTransaction) send() {
	t.queue.inFlight = true
	t.queue.commits.markInFlight(t.txn)
	t.queue.commits.commit(t.txn, t.writeTag, t.settle)
}

// settle takes the outcome of the transaction.
func (t *acceptTransaction) settle(result commitResult) {
	q := t.queue
	q.inFlight = false
	q.commits.clearInFlight(t.txn)
	switch result.outcome {
	case commitThrottled:
		q.notBefore = q.now + throttledRetry
	case commitConflict:
		q.afterRevision = result.revision // the job shards as they now are must be seen first
	case commitApplied, commitRefused:
	}
	for _, accept := range t.accepts {
		q.settle(accept, result)
	}
}

// settle answers a submission whose transaction is completed, or lets it wait for the next one.
func (q *acceptQueue) settle(accept pendingAccept, result commitResult) {
	switch {
	case result.outcome == commitApplied:
		q.users.answerStatus(accept.requestID, http.StatusCreated, &JobStatus{ID: accept.job.ID, Stage: StagePending})
	case result.outcome == commitRefused:
		q.users.askToRetry(accept.requestID)
	case result.outcome == commitConflict && slices.Contains(result.failedKeys, schema.OutcomePrefix+accept.job.ID): // over already
		q.answerExisting(accept)
	default:
		q.pending = append(q.pending, accept)
	}
}

// fillShard enters as many submissions as the job shard and the transaction, which has so many conditions
// already, can take. It returns those and the job shard's new document, and answers or puts back
// the others.
func (q *acceptQueue) fillShard(shard *jobShard, pending []pendingAccept, writeTag string, conditions int) ([]pendingAccept, json.RawMessage) {
	fill := &shardFill{
		queue: q, document: q.replica.jobShardDocument(shard, nil), conditions: conditions,
		bytesLeft: q.store.limits.maxValueBytes() - shard.size,
	}
	for _, accept := range pending {
		fill.add(accept)
	}
	if len(fill.accepts) == 0 {
		return nil, nil
	}
	fill.document.WriteTag = writeTag
	value := encode(fill.document)
	if len(value) > q.store.limits.maxValueBytes() { // what was added is longer than was reckoned
		q.log.Error("job shard exceeds value limit", "shard", shard.key, "bytes", len(value))
		for _, accept := range fill.accepts {
			q.users.askToRetry(accept.requestID)
		}
		return nil, nil
	}
	return fill.accepts, value
}

// shardFill is a job shard's document to which submissions are added.
type shardFill struct {
	queue      *acceptQueue
	document   *schema.JobShard
	conditions int // that the transaction has without this job shard
	bytesLeft  int // that the document may still grow
	accepts    []pendingAccept
}

// add enters a submission, answers it, or puts it back.
func (f *shardFill) add(accept pendingAccept) {
	q := f.queue
	known := q.replica.jobs[accept.job.ID]
	size := schema.MaxStoredSize(len(encode(accept.job)))
	switch {
	case known != nil && known.accepted: // entered meanwhile, by way of another controller
		q.answerExisting(accept)
	case size > q.store.limits.maxValueBytes()-documentOverheadBytes:
		q.users.reject(accept.requestID, http.StatusUnprocessableEntity, errTooLarge)
	case f.has(accept.job.ID) || !f.conditionsLeft():
		q.pending = append(q.pending, accept)
	case size > f.bytesLeft: // the job shard is full: others must end first
		q.users.askToRetry(accept.requestID)
	default:
		f.bytesLeft -= size
		f.accepts = append(f.accepts, accept)
		f.document.Jobs = append(f.document.Jobs, *accept.job)
	}
}

// has reports whether a submission of the job has been entered just now.
func (f *shardFill) has(id string) bool {
	return slices.ContainsFunc(f.accepts, func(accept pendingAccept) bool { return accept.job.ID == id })
}

// conditionsLeft reports whether the transaction can take the conditions of one more submission: one for
// the job shard, and one for each job.
func (f *shardFill) conditionsLeft() bool {
	return f.conditions+1+len(f.accepts)+1 <= f.queue.store.limits.maxConditions()
}
