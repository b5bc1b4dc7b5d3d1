package controller

import (
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Jobs that wait for other jobs. What an end is, only the state service says: a job starts
// when all that it needs have a stored end that is "done". Its cancellation is derived from
// the stored end of any job that it needs, directly or through others; so one write cancels a
// chain, and no order of crashes or late submissions leaves a link behind. The jobs' own ends
// are written afterwards.

// endOf is a stored end as the chains see it.
func endOf(f schema.Final) dag.End {
	end := dag.End{Outcome: dag.Cancelled, At: units.Micros(f.At)}
	if f.Stage == Done {
		end.Outcome = dag.Done
	}
	return end
}

// learnEnd takes a stored end, which never changes.
func (c *Core) learnEnd(id string, f schema.Final) {
	c.replica.finals.put(id, f)
	c.noteEnd(id, endOf(f))
}

// noteEnd passes an end on to the jobs that need the one that is over.
func (c *Core) noteEnd(id string, end dag.End) {
	cancelled, ready := c.replica.chains.Ended(id, end)
	if j := c.replica.jobs[id]; j != nil {
		j.touch()
	}
	c.cancelDependents(cancelled)
	if len(ready) > 0 {
		c.log.Info("jobs may start", "jobs", ready, "after", id)
		c.dirty = true
	}
}

// cancelDependents notes that jobs are cancelled because of one that they need.
func (c *Core) cancelDependents(ids []string) {
	for _, id := range ids {
		if j := c.replica.jobs[id]; j != nil && j.known {
			j.touch()
		}
	}
	if len(ids) > 0 {
		c.log.Info("jobs cancelled with one that they need", "jobs", ids)
		c.dirty = true
	}
}

// enterChain enters an accepted job among the chains.
func (c *Core) enterChain(j *job) {
	r := c.replica
	entry := dag.Job{ID: j.id, Needs: j.spec.Needs, Grade: j.spec.Grade}
	if j.spec.DueS > 0 {
		entry.DueAt = units.Micros(j.spec.At) + units.FromSeconds(j.spec.DueS)
	}
	cancelled := r.chains.Add(entry, func(id string) (dag.End, bool) {
		f, ok := r.finals.get(id)
		return endOf(f), ok
	})
	j.chain = r.chains.Node(j.id)
	if j.marked { // it was shown before the job itself
		c.noteEnd(j.id, dag.End{Outcome: dag.Cancelled})
	}
	c.cancelDependents(cancelled)
}

// leaveChain takes a job out that is over.
func (c *Core) leaveChain(j *job) {
	c.replica.chains.Remove(j.id)
	j.chain = nil
}

// since is from when on a job counts as waiting for room: its submission, or the moment when
// the last job that it needs was done.
func (j *job) since() units.Micros {
	return max(units.Micros(j.spec.At), j.chain.ReadyAt())
}

// grade is the job's priority: the highest of its own and those of all jobs that need it.
func (j *job) grade() int {
	if j.chain == nil {
		return j.spec.Grade
	}
	return j.chain.Grade()
}

// held reports whether a job waits for others, so that it wants nothing for now.
func (j *job) held() bool { return !j.cancelled() && !j.chain.Ready() }

// mostEndReads is how many ends are read at once for jobs that need them.
const mostEndReads = 4

// readEnds reads ends that jobs wait for and that this copy does not have: a copy holds the
// ends that it was shown since it was loaded, and not all of those.
func (c *Core) readEnds() {
	r := c.replica
	if !r.synced || c.stateBad || len(c.reading) >= mostEndReads {
		return
	}
	for _, id := range r.chains.Unresolved(2 * mostEndReads) {
		if !c.reading[id] && c.every("read end", c.pace(0.2)) {
			c.readEnd(id)
		}
	}
}

// readEnd reads one.
func (c *Core) readEnd(id string) {
	c.reading[id] = true
	c.fetchEnd(id, func(status int, _ schema.Final) {
		if status == 200 {
			delete(c.reading, id)
			return
		}
		// Not over after all, and soon shown among the accepted ones; or no answer.
		c.after(units.Second, func() { delete(c.reading, id) })
	})
}

// fetchEnd asks the state service for a job's end: status 200 with the end, 404 when there is
// none, anything else when it can't be told.
func (c *Core) fetchEnd(id string, then func(status int, f schema.Final)) {
	key := schema.Finals + id
	c.callState(kv.Request{Kind: kv.Get, Key: key}, func(r kv.Response) {
		var f schema.Final
		switch {
		case r.Status == 200 && c.decode(key, r.Value, &f):
			c.learnEnd(id, f)
			then(200, f)
		case r.Status == 404:
			then(404, f)
		default:
			then(503, f)
		}
	})
}

// learnEnds reads the ends among the documents that failed a transaction, unless they are known.
// That the copy does not show an end is no proof that there is none: a batch that went by it
// was refused again and again, and its partition stored nothing more.
func (c *Core) learnEnds(failed []string) {
	for _, key := range failed {
		id, isEnd := strings.CutPrefix(key, schema.Finals)
		if _, known := c.replica.finals.get(id); isEnd && !known {
			c.fetchEnd(id, func(int, schema.Final) {})
		}
	}
}

// needs is what became of the jobs that a submission names.
type needs struct {
	open    []string // not over
	because string   // one that is cancelled; empty: none is
	refused string   // why the submission can't be accepted; empty: it can
	unknown bool     // it can't be decided now
}

// checkNeeds finds out what became of the jobs that a submission names. The copy must be as
// recent as the submission. A job that is not among the accepted ones then is over, and has
// an end, or was never accepted: users name a job the moment another controller has accepted
// it.
func (c *Core) checkNeeds(id string, names []string, then func(needs)) {
	result := needs{}
	var ask []string
	for _, name := range names {
		j := c.replica.jobs[name]
		f, over := c.replica.finals.get(name)
		switch {
		case name == id:
			result.refused = "waitsOn: " + name + ": a job can't wait for itself"
		case over:
			result.add(name, f)
		case j != nil && j.known && j.spec.Service:
			result.refused = "waitsOn: " + name + ": a service is never done"
		case j != nil && j.known && j.cancelled():
			result.because = name
		case j != nil && j.known:
			result.open = append(result.open, name)
		default:
			ask = append(ask, name)
		}
	}
	c.askEnds(ask, &result, func() { then(result) })
}

// add notes the end of a named job.
func (n *needs) add(name string, f schema.Final) {
	if endOf(f).Outcome == dag.Cancelled {
		n.because = name
	}
}

// askEnds reads the ends of named jobs, a few at a time. What was read stays known, so that a
// repeated submission goes on where this one was given up.
func (c *Core) askEnds(names []string, result *needs, then func()) {
	if len(names) == 0 || result.refused != "" || result.unknown {
		then()
		return
	}
	now := names[:min(len(names), mostEndReads)]
	rest := names[len(now):]
	left := len(now)
	for _, name := range now {
		c.fetchEnd(name, func(status int, f schema.Final) {
			switch status {
			case 200:
				result.add(name, f)
			case 404:
				result.refused = "waitsOn: " + name + ": no such job was accepted"
			default:
				result.unknown = true
			}
			if left--; left == 0 {
				c.askEnds(rest, result, then)
			}
		})
	}
}

// admit takes a submission that can run, after the jobs that it names have been looked up.
func (c *Core) admit(q UserReq) {
	if len(q.Job.Needs) == 0 {
		c.enter(q)
		return
	}
	if !c.chainsEnabled() { // a process of the version before would lose what it waits for
		c.answer(q.To, 503, nil)
		return
	}
	c.checkNeeds(q.ID, q.Job.Needs, func(n needs) {
		switch {
		case n.refused != "":
			c.answer(q.To, 422, map[string]string{"error": n.refused})
		case n.unknown:
			c.answer(q.To, 503, nil)
		case n.because != "":
			c.cancelAtOnce(q, n.because)
		default:
			q.Job.Needs = slices.Clone(n.open) // a stored end never changes: those that are done need no mention
			c.enter(q)
		}
	})
}

// cancelAtOnce accepts a job that needs a cancelled one: all that is stored of it is its end.
func (c *Core) cancelAtOnce(q UserReq, because string) {
	mark := c.mark()
	f := schema.Final{Stage: Cancelled, At: int64(c.wall), Because: because, Mark: mark}
	txn := &kv.Txn{
		Guards: []kv.Guard{{Key: schema.Finals + q.ID}},
		Apply:  []kv.Op{{Set: schema.Finals + q.ID, Value: encode(f)}},
	}
	c.commit(txn, mark, func(res outcome, _ uint64, _ []string) {
		switch res {
		case committed:
			c.answer(q.To, 201, finalStatus(q.ID, f))
		case conflict: // it is over already
			c.current(q.ID, func(st *Status, ok bool) { c.known(q.To, st, ok) })
		default:
			c.answer(q.To, 503, nil)
		}
	})
}

// endDerived stores the end of a job that is cancelled because of another, at leisure, and
// clears it away. It never had a task.
func (b *batch) endDerived(j *job) {
	b.clear(j)
	if _, stored := b.c.replica.finals.get(j.id); stored {
		return // accepted as cancelled by another controller, beside this entry
	}
	f := schema.Final{Stage: Cancelled, At: int64(b.c.wall), Because: j.chain.Because(), Mark: b.mark}
	b.op(kv.Op{Set: schema.Finals + j.id, Value: encode(f)}, 0)
}
