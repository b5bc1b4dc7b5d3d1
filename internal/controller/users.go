package controller

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Stages of a job as users see them.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
)

// Status is the answer to a user.
type Status struct {
	ID      string `json:"uid"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`

	WaitsOn []string `json:"waitsOn,omitempty"`       // jobs that must be done before it starts
	Because string   `json:"cancelledWith,omitempty"` // the needed job whose cancellation cancelled it
}

type pendingAccept struct {
	job *schema.Job
	to  uint64
	at  units.Micros // when it was asked for
}

const (
	pollWait   = 1500 * units.Millisecond
	submitWait = 2500 * units.Millisecond
)

// answer replies to a user once; a later one is passed over.
func (c *Core) answer(to uint64, status int, body any) {
	if _, ok := c.open[to]; !ok {
		return
	}
	delete(c.open, to)
	if st, ok := body.(*Status); ok && (status == 200 || status == 201) {
		body = c.auditAnswer(st)
	}
	retry := 0
	if status == 503 || status == 429 {
		retry = 1
	}
	c.out = append(c.out, Reply{To: to, Status: status, Body: body, RetryAfterS: retry})
}

// expireUsers answers those that could not be decided in time.
func (c *Core) expireUsers() {
	for _, to := range slices.Sorted(maps.Keys(c.open)) {
		if c.now > c.open[to] {
			c.answer(to, 503, nil)
		}
	}
}

func (c *Core) ready(q ReadyReq) {
	ok := c.replica.synced && len(c.cloud.types) > 0 && c.alive
	if ok && !c.stateFine() && c.now-c.stateOK > 2*units.Second {
		// Alone without the state service: others serve better. If all are
		// without it, staying in the balancer serves soonest when it returns.
		for _, p := range c.peers {
			if c.now-p.at < 3*units.Second && p.heartbeat.StateOK {
				ok = false
			}
		}
	}
	status := 200
	if !ok {
		status = 503
	}
	c.reply(q.To, status, nil)
}

func (c *Core) user(q UserReq) {
	wait := pollWait
	if q.Kind != Poll {
		wait = submitWait
	}
	c.open[q.To] = c.now + wait
	if q.ID == "" {
		c.answer(q.To, 400, nil)
		return
	}
	if f, ok := c.replica.finals.get(q.ID); ok { // an end is final: no need to ask
		c.answer(q.To, 200, finalStatus(q.ID, f))
		return
	}
	if j := c.replica.jobs[q.ID]; j != nil && j.known && j.chain.Because() != "" { // so is a derived one
		c.answer(q.To, 200, c.statusOf(j))
		return
	}
	if !c.replica.synced || c.stateBad && c.now-c.stateOK > 500*units.Millisecond {
		c.answer(q.To, 503, nil)
		return
	}
	if q.Kind == Submit && q.Job != nil && len(q.Job.Needs) == 0 && len(c.cloud.types) > 0 && c.replica.jobs[q.ID] == nil &&
		api.Feasible(q.Job, c.cfg.Settings.Teams, c.cloud.types) == nil {
		c.enter(q)
		return
	}
	c.current(q.ID, func(st *Status, ok bool) { c.decide(q, st, ok) })
}

// decide answers a request whose job's current state is known: st is nil when
// the job was never accepted.
func (c *Core) decide(q UserReq, st *Status, ok bool) {
	switch {
	case !ok:
		c.answer(q.To, 503, nil)
	case st != nil && q.Kind == Abort && st.Stage != Done && st.Stage != Cancelled:
		c.cancel(q)
	case st != nil:
		c.answer(q.To, 200, st) // also a repeated submission, whatever its body says
	case q.Kind == Submit && q.Job == nil:
		c.answer(q.To, 400, map[string]string{"error": q.Why.Error()})
	case q.Kind == Submit && len(c.cloud.types) == 0:
		c.answer(q.To, 503, nil)
	case q.Kind == Submit:
		if err := api.Feasible(q.Job, c.cfg.Settings.Teams, c.cloud.types); err != nil {
			c.answer(q.To, 422, map[string]string{"error": err.Error()})
			return
		}
		c.admit(q)
	default:
		c.answer(q.To, 404, nil)
	}
}

// enter queues a submission that can run to be stored.
func (c *Core) enter(q UserReq) {
	q.Job.At = int64(c.wall)
	c.accepts = append(c.accepts, pendingAccept{job: q.Job, to: q.To, at: c.now})
	c.sendAccepts()
}

func finalStatus(id string, f schema.Final) *Status {
	return &Status{ID: id, Stage: f.Stage, Done: f.Done, Because: f.Because}
}

// current finds a job's state as of now: never older than any answer that any
// node gave before this request came in.
func (c *Core) current(id string, then func(st *Status, ok bool)) {
	c.confirmed(func(ok bool) {
		if !ok {
			then(nil, false)
			return
		}
		c.derive(id, c.now+deriveWait, then)
	})
}

// deriveWait is how long an answer may wait for the ends of jobs that the one in question
// needs, which are read after a start.
const deriveWait = units.Second

// derive tells a job's state from a copy that is recent enough.
func (c *Core) derive(id string, until units.Micros, then func(st *Status, ok bool)) {
	if !c.replica.chains.Known(id) {
		if c.now > until {
			then(nil, false)
			return
		}
		c.after(50*units.Millisecond, func() { c.derive(id, until, then) })
		return
	}
	if f, ok := c.replica.finals.get(id); ok {
		then(finalStatus(id, f), true)
		return
	}
	j := c.replica.jobs[id]
	if j != nil && j.known && (!j.cancelled() || j.chain.Because() != "") {
		then(c.statusOf(j), true)
		return
	}
	// Not among the active ones: its end may be stored all the same. Only
	// the store's word makes a 404.
	c.fetchEnd(id, func(status int, f schema.Final) {
		switch status {
		case 200:
			then(finalStatus(id, f), true)
		case 404:
			then(nil, true)
		default:
			then(nil, false)
		}
	})
}

// statusOf is the answer about an accepted job whose end is not stored.
func (c *Core) statusOf(j *job) *Status {
	st := &Status{ID: j.id, Stage: Pending, Done: j.done.Len(), WaitsOn: j.chain.WaitsFor()}
	if j.cancelled() {
		st.Stage, st.Because, st.WaitsOn = Cancelled, j.chain.Because(), nil
		return st
	}
	for n := range j.bound {
		if !j.isDone(n) {
			st.Running++
		}
	}
	if st.Running > 0 {
		st.Stage = Running
	}
	return st
}

// byUrgency orders the job shards that submissions wait for: where many wait, and
// have done so for long, one change accepts most. A fixed order let those for the
// last job shards wait in vain whenever many came at once. Each controller begins at
// job shards of its own, so that they seldom meet.
func (c *Core) byUrgency(wait map[*jobShard][]pendingAccept) []*jobShard {
	var out []*jobShard
	urgency := map[*jobShard]units.Micros{}
	first := c.memberRank() * len(c.replica.jobShards) / c.cfg.Settings.Size
	for i := range c.replica.jobShards {
		s := c.replica.jobShards[(first+i)%len(c.replica.jobShards)]
		for _, a := range wait[s] {
			urgency[s] += c.now - a.at + units.Second/4
		}
		if len(wait[s]) > 0 {
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, func(a, b *jobShard) int { return cmp.Compare(urgency[b], urgency[a]) })
	return out
}

// sendAccepts stores waiting submissions, as many as one transaction takes.
func (c *Core) sendAccepts() {
	if len(c.accepts) == 0 || c.accepting || c.replica.watchRev < c.acceptRev || !c.mayBorrow() || c.now < c.acceptAt {
		return
	}
	byShelf := map[*jobShard][]pendingAccept{}
	for _, a := range c.accepts {
		if _, ok := c.open[a.to]; ok {
			s := c.replica.jobShardOf(a.job.ID)
			byShelf[s] = append(byShelf[s], a)
		}
	}
	c.accepts = nil
	mark := c.mark()
	txn := &kv.Txn{}
	size := 0
	var in []pendingAccept
	for _, s := range c.byUrgency(byShelf) {
		// Of many job shards in one transaction, one that another controller has just
		// written makes all fail.
		if c.writing[s.key] || len(txn.Apply) >= max(1, c.limits.TxnOps/2) || size > txnBytes/2 {
			c.accepts = append(c.accepts, byShelf[s]...)
			continue
		}
		put, val := c.fillJobShard(s, byShelf[s], mark, len(txn.Guards))
		if len(put) == 0 {
			continue
		}
		size += len(val)
		txn.Guards = append(txn.Guards, kv.Guard{Key: s.key, Stamp: c.replica.stamps[s.key]})
		for _, a := range put {
			txn.Guards = append(txn.Guards, kv.Guard{Key: schema.Finals + a.job.ID})
		}
		txn.Apply = append(txn.Apply, kv.Op{Set: s.key, Value: val})
		in = append(in, put...)
	}
	if len(in) == 0 {
		return
	}
	c.accepting = true
	c.writeKeys(txn, true)
	c.commit(txn, mark, func(res outcome, rev uint64, failed []string) {
		c.accepting = false
		c.writeKeys(txn, false)
		if res == busy {
			c.acceptAt = c.now + 150*units.Millisecond
		}
		if res == conflict {
			c.acceptRev = rev // the job shards as they now are must be seen first
		}
		for _, a := range in {
			c.settleAccept(a, res, failed)
		}
	})
}

// settleAccept answers a submission whose transaction has come to an end, or lets it wait
// for the next one.
func (c *Core) settleAccept(a pendingAccept, res outcome, failed []string) {
	switch {
	case res == committed:
		c.answer(a.to, 201, &Status{ID: a.job.ID, Stage: Pending})
	case res == refused:
		c.answer(a.to, 503, nil)
	case res == busy: // a moment later it may be taken
		c.accepts = append(c.accepts, a)
	case slices.Contains(failed, schema.Finals+a.job.ID): // over already
		c.current(a.job.ID, func(st *Status, ok bool) { c.known(a.to, st, ok) })
	default:
		c.accepts = append(c.accepts, a)
	}
}

// fillJobShard enters as many waiting submissions as the job shard and the transaction, which has
// so many guards already, can take. It returns those and the job shard's new document, and
// answers or puts back the others.
func (c *Core) fillJobShard(s *jobShard, wait []pendingAccept, mark string, guards int) ([]pendingAccept, json.RawMessage) {
	doc := c.jobShardDoc(s, nil)
	room := c.valueMax() - s.size
	var put []pendingAccept
	for _, a := range wait {
		j := c.replica.jobs[a.job.ID]
		twice := slices.ContainsFunc(put, func(b pendingAccept) bool { return b.job.ID == a.job.ID })
		cost := schema.StoredCost(len(encode(a.job)))
		switch {
		case j != nil && j.known: // entered meanwhile, by way of another controller
			c.current(a.job.ID, func(st *Status, ok bool) { c.known(a.to, st, ok) })
		case cost > c.valueMax()-headBytes:
			c.answer(a.to, 422, map[string]string{"error": "too large to be stored"})
		case twice || guards+len(put)+2 > c.mostGuards():
			c.accepts = append(c.accepts, a)
		case cost > room:
			c.answer(a.to, 503, nil) // the job shard is full: others must end first
		default:
			room -= cost
			put = append(put, a)
			doc.Jobs = append(doc.Jobs, *a.job)
		}
	}
	if len(put) == 0 {
		return nil, nil
	}
	doc.Mark = mark
	val := encode(doc)
	if len(val) > c.valueMax() { // what was added is longer than it looked
		c.log.Error("a job shard outgrew its document", "shard", s.key, "bytes", len(val))
		for _, a := range put {
			c.answer(a.to, 503, nil)
		}
		return nil, nil
	}
	return put, val
}

// known answers a submission of a job that was found to be known already.
func (c *Core) known(to uint64, st *Status, ok bool) {
	if ok && st != nil {
		c.answer(to, 200, st)
	} else {
		c.answer(to, 503, nil)
	}
}

// jobShardDoc is a job shard as it stands, without the jobs named in less.
func (c *Core) jobShardDoc(s *jobShard, less map[string]bool) *schema.JobShard {
	doc := &schema.JobShard{Spread: s.spread}
	for _, id := range s.ids {
		if !less[id] {
			doc.Jobs = append(doc.Jobs, c.replica.jobs[id].spec)
		}
	}
	return doc
}

// memberRank is this member's place among all, by name.
func (c *Core) memberRank() int {
	n := 0
	for _, o := range c.cfg.Others {
		if o.Member < c.cfg.Member {
			n++
		}
	}
	return n
}

// writeKeys notes which keys a transaction under way writes.
func (c *Core) writeKeys(txn *kv.Txn, under bool) {
	for _, op := range txn.Apply {
		if under {
			c.writing[op.Set+op.Delete] = true
		} else {
			delete(c.writing, op.Set+op.Delete)
		}
	}
}

// cancel writes the job's end; the owner sees it and stops the tasks.
func (c *Core) cancel(q UserReq) {
	if j := c.replica.jobs[q.ID]; j == nil || !j.known {
		c.answer(q.To, 503, nil)
		return
	}
	mark := c.mark()
	f := schema.Final{Stage: Cancelled, At: int64(c.wall), Mark: mark}
	txn := &kv.Txn{
		Guards: []kv.Guard{{Key: schema.Finals + q.ID}},
		Apply: []kv.Op{
			{Set: schema.Finals + q.ID, Value: encode(f)},
			{Set: schema.Cancels + q.ID, Value: encode(map[string]string{"w": mark})},
		},
	}
	c.commit(txn, mark, func(res outcome, _ uint64, _ []string) {
		switch res {
		case committed:
			c.answer(q.To, 200, finalStatus(q.ID, f))
		case conflict: // it ended, or another node cancelled it, at the same time
			if _, open := c.open[q.To]; open {
				c.current(q.ID, func(st *Status, ok bool) { c.decide(q, st, ok) })
			}
		case busy:
			c.after(150*units.Millisecond, func() {
				if _, open := c.open[q.To]; open {
					c.cancel(q)
				}
			})
		default:
			c.answer(q.To, 503, nil)
		}
	})
}
