package controller

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Stages of a job as users see them.
const (
	StagePending   = "pending"
	StageRunning   = "running"
	StageDone      = "done"
	StageCancelled = "cancelled"
)

// JobStatus is the answer to a user.
type JobStatus struct {
	ID      string `json:"uid"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`

	WaitsOn     []string `json:"waitsOn,omitempty"`       // jobs that must be done before it starts
	CancelledBy string   `json:"cancelledWith,omitempty"` // the needed job whose cancellation cancelled it
}

type pendingAccept struct {
	job       *schema.Job
	requestID uint64
	askedAt   units.Micros // when it was asked for
}

const (
	queryWait  = 1500 * units.Millisecond
	submitWait = 2500 * units.Millisecond
)

// answerUser replies to a user once; a later one is passed over.
func (c *Controller) answerUser(to uint64, status int, body any) {
	if _, ok := c.requests.deadlines[to]; !ok {
		return
	}
	delete(c.requests.deadlines, to)
	if st, ok := body.(*JobStatus); ok && (status == http.StatusOK || status == http.StatusCreated) {
		body = c.auditAnswer(st)
	}
	retry := 0
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		retry = 1
	}
	c.emit(Reply{RequestID: to, Status: status, Body: body, RetryAfterSeconds: retry})
}

// expireRequests answers those that could not be decided in time.
func (c *Controller) expireRequests() {
	for _, to := range slices.Sorted(maps.Keys(c.requests.deadlines)) {
		if c.now > c.requests.deadlines[to] {
			c.answerUser(to, http.StatusServiceUnavailable, nil)
		}
	}
}

func (c *Controller) handleReady(q ReadyRequest) {
	ok := c.replica.synced && len(c.cloud.types) > 0 && c.membership.registered
	if ok && !c.store.healthy() && c.now-c.store.answeredAt > 2*units.Second {
		// Alone without the state service: others serve better. If all are
		// without it, staying in the balancer serves soonest when it returns.
		for _, p := range c.peers.latest {
			if c.now-p.receivedAt < 3*units.Second && p.heartbeat.StateOK {
				ok = false
			}
		}
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusServiceUnavailable
	}
	c.reply(q.RequestID, status, nil)
}

func (c *Controller) handleUserRequest(q UserRequest) {
	wait := queryWait
	if q.Kind != QueryJob {
		wait = submitWait
	}
	c.requests.deadlines[q.RequestID] = c.now + wait
	if q.JobID == "" {
		c.answerUser(q.RequestID, http.StatusBadRequest, nil)
		return
	}
	if f, ok := c.replica.outcomes.get(q.JobID); ok { // an end is final: no need to ask
		c.answerUser(q.RequestID, http.StatusOK, outcomeStatus(q.JobID, f))
		return
	}
	if j := c.replica.jobs[q.JobID]; j != nil && j.accepted && j.dependency.CancelledBy() != "" { // so is a derived one
		c.answerUser(q.RequestID, http.StatusOK, c.statusOf(j))
		return
	}
	if !c.replica.synced || c.store.failing && c.now-c.store.answeredAt > 500*units.Millisecond {
		c.answerUser(q.RequestID, http.StatusServiceUnavailable, nil)
		return
	}
	if q.Kind == SubmitJob && q.Job != nil && len(q.Job.Needs) == 0 && len(c.cloud.types) > 0 && c.replica.jobs[q.JobID] == nil &&
		api.CheckFeasible(q.Job, c.cfg.Settings.Teams, c.cloud.types) == nil {
		c.queueAccept(q)
		return
	}
	c.currentStatus(q.JobID, func(st *JobStatus, ok bool) { c.answerFromStatus(q, st, ok) })
}

// answerFromStatus answers a request whose job's current state is known: st is nil when
// the job was never accepted.
func (c *Controller) answerFromStatus(q UserRequest, st *JobStatus, ok bool) {
	switch {
	case !ok:
		c.answerUser(q.RequestID, http.StatusServiceUnavailable, nil)
	case st != nil && q.Kind == CancelJob && st.Stage != StageDone && st.Stage != StageCancelled:
		c.cancelJob(q)
	case st != nil:
		c.answerUser(q.RequestID, http.StatusOK, st) // also a repeated submission, whatever its body says
	case q.Kind == SubmitJob && q.Job == nil:
		c.answerUser(q.RequestID, http.StatusBadRequest, map[string]string{"error": q.Malformed.Error()})
	case q.Kind == SubmitJob && len(c.cloud.types) == 0:
		c.answerUser(q.RequestID, http.StatusServiceUnavailable, nil)
	case q.Kind == SubmitJob:
		if err := api.CheckFeasible(q.Job, c.cfg.Settings.Teams, c.cloud.types); err != nil {
			c.answerUser(q.RequestID, http.StatusUnprocessableEntity, map[string]string{"error": err.Error()})
			return
		}
		c.admitSubmission(q)
	default:
		c.answerUser(q.RequestID, http.StatusNotFound, nil)
	}
}

// queueAccept queues a submission that can run to be stored.
func (c *Controller) queueAccept(q UserRequest) {
	q.Job.AcceptedAt = int64(c.timeOfDay)
	c.accepts.pending = append(c.accepts.pending, pendingAccept{job: q.Job, requestID: q.RequestID, askedAt: c.now})
	c.storeAccepts()
}

func outcomeStatus(id string, f schema.Outcome) *JobStatus {
	return &JobStatus{ID: id, Stage: f.State, Done: f.TasksDone, CancelledBy: f.CancelledBy}
}

// currentStatus finds a job's state as of now: never older than any answer that any
// node gave before this request came in.
func (c *Controller) currentStatus(id string, then func(st *JobStatus, ok bool)) {
	c.freshness.whenCurrent(func(ok bool) {
		if !ok {
			then(nil, false)
			return
		}
		c.deriveStatus(id, c.now+dependencyWait, then)
	})
}

// dependencyWait is how long an answer may wait for the ends of jobs that the one in question
// needs, which are read after a start.
const dependencyWait = units.Second

// deriveStatus tells a job's state from a copy that is recent enough.
func (c *Controller) deriveStatus(id string, until units.Micros, then func(st *JobStatus, ok bool)) {
	if !c.replica.dependencies.Resolved(id) {
		if c.now > until {
			then(nil, false)
			return
		}
		c.after(50*units.Millisecond, func() { c.deriveStatus(id, until, then) })
		return
	}
	if f, ok := c.replica.outcomes.get(id); ok {
		then(outcomeStatus(id, f), true)
		return
	}
	j := c.replica.jobs[id]
	if j != nil && j.accepted && (!j.cancelled() || j.dependency.CancelledBy() != "") {
		then(c.statusOf(j), true)
		return
	}
	// Not among the active ones: its end may be stored all the same. Only
	// the store's word makes a 404.
	c.fetchOutcome(id, func(lookup outcomeLookup, f schema.Outcome) {
		switch lookup {
		case outcomeFound:
			then(outcomeStatus(id, f), true)
		case outcomeNone:
			then(nil, true)
		default:
			then(nil, false)
		}
	})
}

// statusOf is the answer about an accepted job whose end is not stored.
func (c *Controller) statusOf(j *job) *JobStatus {
	st := &JobStatus{ID: j.id, Stage: StagePending, Done: j.done.Len(), WaitsOn: j.dependency.UnmetNeeds()}
	if j.cancelled() {
		st.Stage, st.CancelledBy, st.WaitsOn = StageCancelled, j.dependency.CancelledBy(), nil
		return st
	}
	for n := range j.bindings {
		if !j.isDone(n) {
			st.Running++
		}
	}
	if st.Running > 0 {
		st.Stage = StageRunning
	}
	return st
}

// shardsByUrgency orders the job shards that submissions wait for: where many wait, and
// have done so for long, one change accepts most. A fixed order let those for the
// last job shards wait in vain whenever many came at once. Each controller begins at
// job shards of its own, so that they seldom meet.
func (c *Controller) shardsByUrgency(wait map[*jobShard][]pendingAccept) []*jobShard {
	var out []*jobShard
	urgency := map[*jobShard]units.Micros{}
	first := c.memberRank() * len(c.replica.jobShards) / c.cfg.Settings.Size
	for i := range c.replica.jobShards {
		s := c.replica.jobShards[(first+i)%len(c.replica.jobShards)]
		for _, a := range wait[s] {
			urgency[s] += c.now - a.askedAt + units.Second/4
		}
		if len(wait[s]) > 0 {
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, func(a, b *jobShard) int { return cmp.Compare(urgency[b], urgency[a]) })
	return out
}

// storeAccepts stores waiting submissions, as many as one transaction takes.
func (c *Controller) storeAccepts() {
	if len(c.accepts.pending) == 0 || c.accepts.inFlight || c.replica.watchRevision < c.accepts.afterRevision || !c.budget.hasCredit() || c.now < c.accepts.notBefore {
		return
	}
	byShelf := map[*jobShard][]pendingAccept{}
	for _, a := range c.accepts.pending {
		if _, ok := c.requests.deadlines[a.requestID]; ok {
			s := c.replica.jobShardOf(a.job.ID)
			byShelf[s] = append(byShelf[s], a)
		}
	}
	c.accepts.pending = nil
	mark := c.commits.newWriteTag()
	txn := &kv.Txn{}
	size := 0
	var in []pendingAccept
	for _, s := range c.shardsByUrgency(byShelf) {
		// Of many job shards in one transaction, one that another controller has just
		// written makes all fail.
		if c.commits.keysInFlight[s.key] || len(txn.Operations) >= max(1, c.store.limits.TxnOps/2) || size > maxTransactionBytes/2 {
			c.accepts.pending = append(c.accepts.pending, byShelf[s]...)
			continue
		}
		put, val := c.fillJobShard(s, byShelf[s], mark, len(txn.Conditions))
		if len(put) == 0 {
			continue
		}
		size += len(val)
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: s.key, ModRevision: c.replica.revisions[s.key]})
		for _, a := range put {
			txn.Conditions = append(txn.Conditions, kv.Condition{Key: schema.OutcomePrefix + a.job.ID})
		}
		txn.Operations = append(txn.Operations, kv.Operation{Set: s.key, Value: val})
		in = append(in, put...)
	}
	if len(in) == 0 {
		return
	}
	c.accepts.inFlight = true
	c.commits.markInFlight(txn)
	c.commits.commit(txn, mark, func(res commitOutcome, rev uint64, failed []string) {
		c.accepts.inFlight = false
		c.commits.clearInFlight(txn)
		if res == commitThrottled {
			c.accepts.notBefore = c.now + 150*units.Millisecond
		}
		if res == commitConflict {
			c.accepts.afterRevision = rev // the job shards as they now are must be seen first
		}
		for _, a := range in {
			c.finishAccept(a, res, failed)
		}
	})
}

// finishAccept answers a submission whose transaction has come to an end, or lets it wait
// for the next one.
func (c *Controller) finishAccept(a pendingAccept, res commitOutcome, failed []string) {
	switch {
	case res == commitApplied:
		c.answerUser(a.requestID, http.StatusCreated, &JobStatus{ID: a.job.ID, Stage: StagePending})
	case res == commitRefused:
		c.answerUser(a.requestID, http.StatusServiceUnavailable, nil)
	case res == commitThrottled: // a moment later it may be taken
		c.accepts.pending = append(c.accepts.pending, a)
	case slices.Contains(failed, schema.OutcomePrefix+a.job.ID): // over already
		c.currentStatus(a.job.ID, func(st *JobStatus, ok bool) { c.answerKnownJob(a.requestID, st, ok) })
	default:
		c.accepts.pending = append(c.accepts.pending, a)
	}
}

// fillJobShard enters as many waiting submissions as the job shard and the transaction, which has
// so many guards already, can take. It returns those and the job shard's new document, and
// answers or puts back the others.
func (c *Controller) fillJobShard(s *jobShard, wait []pendingAccept, mark string, guards int) ([]pendingAccept, json.RawMessage) {
	doc := c.jobShardDoc(s, nil)
	room := c.maxValueBytes() - s.size
	var put []pendingAccept
	for _, a := range wait {
		j := c.replica.jobs[a.job.ID]
		twice := slices.ContainsFunc(put, func(b pendingAccept) bool { return b.job.ID == a.job.ID })
		cost := schema.MaxStoredSize(len(encode(a.job)))
		switch {
		case j != nil && j.accepted: // entered meanwhile, by way of another controller
			c.currentStatus(a.job.ID, func(st *JobStatus, ok bool) { c.answerKnownJob(a.requestID, st, ok) })
		case cost > c.maxValueBytes()-documentOverheadBytes:
			c.answerUser(a.requestID, http.StatusUnprocessableEntity, map[string]string{"error": "too large to be stored"})
		case twice || guards+len(put)+2 > c.store.limits.maxConditions():
			c.accepts.pending = append(c.accepts.pending, a)
		case cost > room:
			c.answerUser(a.requestID, http.StatusServiceUnavailable, nil) // the job shard is full: others must end first
		default:
			room -= cost
			put = append(put, a)
			doc.Jobs = append(doc.Jobs, *a.job)
		}
	}
	if len(put) == 0 {
		return nil, nil
	}
	doc.WriteTag = mark
	val := encode(doc)
	if len(val) > c.maxValueBytes() { // what was added is longer than it looked
		c.log.Error("job shard exceeds value limit", "shard", s.key, "bytes", len(val))
		for _, a := range put {
			c.answerUser(a.requestID, http.StatusServiceUnavailable, nil)
		}
		return nil, nil
	}
	return put, val
}

// answerKnownJob answers a submission of a job that was found to be known already.
func (c *Controller) answerKnownJob(to uint64, st *JobStatus, ok bool) {
	if ok && st != nil {
		c.answerUser(to, http.StatusOK, st)
	} else {
		c.answerUser(to, http.StatusServiceUnavailable, nil)
	}
}

// jobShardDoc is a job shard as it stands, without the jobs named in less.
func (c *Controller) jobShardDoc(s *jobShard, less map[string]bool) *schema.JobShard {
	doc := &schema.JobShard{ShardCount: s.spread}
	for _, id := range s.jobIDs {
		if !less[id] {
			doc.Jobs = append(doc.Jobs, c.replica.jobs[id].spec)
		}
	}
	return doc
}

// memberRank is this member's place among all, by name.
func (c *Controller) memberRank() int {
	n := 0
	for _, o := range c.cfg.Peers {
		if o.Member < c.cfg.Member {
			n++
		}
	}
	return n
}

// cancelJob writes the job's end; the owner sees it and stops the tasks.
func (c *Controller) cancelJob(q UserRequest) {
	if j := c.replica.jobs[q.JobID]; j == nil || !j.accepted {
		c.answerUser(q.RequestID, http.StatusServiceUnavailable, nil)
		return
	}
	mark := c.commits.newWriteTag()
	f := schema.Outcome{State: StageCancelled, RecordedAt: int64(c.timeOfDay), WriteTag: mark}
	txn := &kv.Txn{
		Conditions: []kv.Condition{{Key: schema.OutcomePrefix + q.JobID}},
		Operations: []kv.Operation{
			{Set: schema.OutcomePrefix + q.JobID, Value: encode(f)},
			{Set: schema.CancellationPrefix + q.JobID, Value: encode(map[string]string{"w": mark})},
		},
	}
	c.commits.commit(txn, mark, func(res commitOutcome, _ uint64, _ []string) {
		switch res {
		case commitApplied:
			c.answerUser(q.RequestID, http.StatusOK, outcomeStatus(q.JobID, f))
		case commitConflict: // it ended, or another node cancelled it, at the same time
			if _, open := c.requests.deadlines[q.RequestID]; open {
				c.currentStatus(q.JobID, func(st *JobStatus, ok bool) { c.answerFromStatus(q, st, ok) })
			}
		case commitThrottled:
			c.after(150*units.Millisecond, func() {
				if _, open := c.requests.deadlines[q.RequestID]; open {
					c.cancelJob(q)
				}
			})
		default:
			c.answerUser(q.RequestID, http.StatusServiceUnavailable, nil)
		}
	})
}

// userRequests are the requests of users that are not answered yet.
type userRequests struct {
	deadlines map[uint64]units.Micros // when each is given up
}

func newUserRequests() userRequests { return userRequests{deadlines: map[uint64]units.Micros{}} }

// acceptQueue holds submissions that wait to be stored.
type acceptQueue struct {
	pending       []pendingAccept
	inFlight      bool
	notBefore     units.Micros // when the store may take more
	afterRevision uint64       // the replica must have come this far before the next are stored
}
