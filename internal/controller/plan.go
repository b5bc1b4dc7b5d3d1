package controller

import (
	"encoding/json"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// batch gathers the changes of one partition into one transaction.
type batch struct {
	c            *Core
	o            *ownedPartition
	mark         string
	shards       []*shardDraft
	drafts       []*draft // of all machine shards, those that can take tasks now
	ops          int      // operations that are still free
	jointOps     int      // of those, how many may still change together in one transaction
	size         int      // bytes that are still free
	finals       []kv.Op
	guards       []kv.Guard
	cleared      map[*jobShard]map[string]bool // jobs that leave their job shards
	packs        *packing
	using        map[string]*usage
	saved        []savedRuns
	waitingParts map[int]bool       // partitions with waiting tasks of their own
	failed       map[taskShape]bool // what found no room in this batch, even by preemption
	guaranteed   map[*job]bool      // jobs within their teams' guarantees
	picked       bool               // arrays go to some machine shards only
	attempt      uint64             // of what is placed in this batch; 0: nothing yet
	freed        []freedTask        // off machines that are gone
}

// freedTask is a task whose machine this batch drops, and where it was.
type freedTask struct {
	j   *job
	num int
	was bind
}

// savedRuns are task lengths that a commit makes part of the stored average.
type savedRuns struct {
	j     *job
	sum   units.Micros
	count int
}

type usage struct{ cpus, gpus float64 }

const (
	taskBytes       = 26 // an upper estimate of one task in a document
	headBytes       = 200
	txnBytes        = 56 << 10
	minServiceRun   = 35 * units.Second // a service that started stays at least so long
	stopLeadTime    = 3 * units.Second  // for a stop to be stored and carried out before a machine is taken
	batchOps        = 12                // changes that a batch may make, in several transactions if one may have fewer
	reservedTokens  = 4                 // changes kept back for accepts, cancels and services
	maxProgressGaps = 200
	minAverage      = units.Second
	firstGuess      = 30 * units.Second // average task time while no job has shown any
	planCost        = 120               // a plan is made at most once in so many microseconds for each machine and job
)

// plan decides for one partition and writes what it decided; only when that is
// stored are the machines told.
func (c *Core) plan(p int) {
	o := c.owned[p]
	if o == nil || o.inflight > 0 || !c.usable(p) || c.stateBad || c.now < o.pauseTo || c.replica.watchRev < o.needRev || c.tokens < 2 || len(c.cloud.types) == 0 {
		return
	}
	// A plan looks at everything, so the larger the fleet, the rarer it is.
	if c.now < o.planAt {
		c.dirty = true
		return
	}
	o.planAt = c.now + planCost*units.Micros(len(c.replica.machines)+len(c.replica.jobs))
	b := &batch{
		c: c, o: o, mark: c.mark(), using: c.teamUsage(), size: txnBytes,
		waitingParts: map[int]bool{}, cleared: map[*jobShard]map[string]bool{}, failed: map[taskShape]bool{},
	}
	b.packs = newPacking(b)
	b.ops = min(max(c.limits.TxnOps, batchOps), int(c.tokens)-1) // one is kept back for accepts
	b.jointOps = c.limits.TxnOps
	for _, j := range c.sortedJobs() {
		if !j.cancelled() && j.part != p && !b.waitingParts[j.part] && c.now >= j.retryAt && j.waiting() > 0 {
			b.waitingParts[j.part] = true
		}
	}
	b.open()
	b.dropGone()
	b.splitMachineShards()
	jobs := c.partJobs(p)
	c.placeServices(b, jobs)
	b.retirements()
	b.emptyPacks()
	c.finishJobs(b, jobs)
	c.evacuate(b)
	b.releases()
	if c.tokens > reservedTokens {
		b.ops = min(b.ops, int(c.tokens)-reservedTokens)
		c.placeArrays(b, jobs)
		c.passUnusedShards(b)
		c.moveServices(b)
	}
	b.write()
}

func (c *Core) partJobs(p int) []*job {
	var out []*job
	for _, j := range c.sortedJobs() {
		if j.part == p {
			out = append(out, j)
		}
	}
	return out
}

// teamUsage is what each team's tasks take: whatever may be running, or be started
// again, returned machines, doubt and writes under way included.
func (c *Core) teamUsage() map[string]*usage {
	using := map[string]*usage{}
	for _, j := range c.sortedJobs() {
		addUse(using, &j.spec, j.reserved())
	}
	return using
}

func addUse(using map[string]*usage, s *schema.Job, n int) {
	u := using[s.Team]
	if u == nil {
		u = &usage{}
		using[s.Team] = u
	}
	u.cpus += s.CPUs * float64(n)
	u.gpus += s.GPUs * float64(n)
}

// underLimit keeps the team's limit, counting everything that may be running.
func (b *batch) underLimit(j *job) bool {
	t := b.c.team(j.spec.Team)
	if t == nil {
		return false
	}
	u := b.using[j.spec.Team]
	if u == nil {
		u = &usage{}
	}
	return (t.CPUsMax <= 0 || u.cpus+j.spec.CPUs <= t.CPUsMax+1e-9) && (t.GPUsMax <= 0 || u.gpus+j.spec.GPUs <= t.GPUsMax+1e-9)
}

// within reports whether a team stays inside its guarantee with so much more.
func (b *batch) within(team string, cpus, gpus float64) bool {
	t := b.c.team(team)
	u := b.using[team]
	if u == nil {
		u = &usage{}
	}
	return t != nil && u.cpus+cpus <= t.CPUs+1e-9 && u.gpus+gpus <= t.GPUs+1e-9
}

// joint is how many more changes may be made together, in one transaction.
func (b *batch) joint() int { return min(b.ops, b.jointOps) }

func (b *batch) spendJoint(n int) {
	b.ops -= n
	b.jointOps -= n
}

// transaction is one part of a batch.
type transaction struct {
	txn    *kv.Txn
	groups []*shardDraft
	joint  bool // it has the ends and the progress
}

// write commits the batch, and tells the machines once it is stored. What must change together
// is in one transaction, with as many machine shards as it takes; each machine shard is whole in one.
func (b *batch) write() {
	c, o := b.c, b.o
	b.auditForgotten()
	all := []*transaction{b.jointChanges()}
	for _, gd := range b.shards {
		if !gd.changed {
			continue
		}
		gd.auditReleases()
		pieces := gd.documents()
		last := all[len(all)-1]
		if len(last.txn.Apply)+len(pieces) > c.limits.TxnOps {
			last = b.newTransaction()
			all = append(all, last)
		}
		for _, p := range pieces {
			c.addSet(last.txn, p.key, p.value)
		}
		gd.leaving(true)
		last.groups = append(last.groups, gd)
	}
	all = slices.DeleteFunc(all, func(t *transaction) bool { return len(t.txn.Apply) == 0 })
	o.inflight = len(all)
	for _, t := range all {
		c.writeKeys(t.txn, true)
	}
	for _, t := range all {
		c.commit(t.txn, b.mark, func(res outcome, rev uint64, failed []string) { b.written(t, res, rev, failed) })
	}
}

// newTransaction is one that this partition's owner alone can carry out.
func (b *batch) newTransaction() *transaction {
	return &transaction{txn: &kv.Txn{Guards: []kv.Guard{{Key: schema.PartKey(b.o.n), Stamp: b.o.stamp}}}}
}

// addSet sets a document that is as this controller knows it.
func (c *Core) addSet(txn *kv.Txn, key string, value json.RawMessage) {
	txn.Guards = append(txn.Guards, kv.Guard{Key: key, Stamp: c.replica.stamps[key]})
	txn.Apply = append(txn.Apply, kv.Op{Set: key, Value: value})
}

// jointChanges has the ends, the job shards that they leave and the progress.
func (b *batch) jointChanges() *transaction {
	c := b.c
	t := b.newTransaction()
	t.joint = true
	t.txn.Guards = append(t.txn.Guards, b.guards...)
	t.txn.Apply = b.finals
	for _, s := range c.replica.jobShards {
		if less := b.cleared[s]; less != nil {
			doc := c.jobShardDoc(s, less)
			doc.Mark = b.mark
			c.addSet(t.txn, s.key, encode(doc))
		}
	}
	for _, key := range b.packs.changedKeys() {
		c.addSet(t.txn, key, encode(b.packs.doc(key)))
	}
	return t
}

// documents gives the machine shard as it is to be stored, in pieces if it is split.
func (gd *shardDraft) documents() []piece {
	if gd.pieces > 1 {
		return gd.cut(gd.pieces)
	}
	value := encode(gd.doc())
	if len(value) > gd.c.valueMax() && gd.adds() {
		// The estimate was too low: leave out what was to be added.
		gd.c.log.Error("a machine shard outgrew its document", "shard", gd.g.n, "bytes", len(value))
		gd.takeBack()
		value = encode(gd.doc())
	}
	return []piece{{gd.g.key, value}}
}

// written takes the outcome of one of the batch's transactions.
func (b *batch) written(t *transaction, res outcome, rev uint64, failed []string) {
	c, o := b.c, b.o
	c.writeKeys(t.txn, false)
	for _, gd := range t.groups {
		gd.leaving(false)
	}
	o.inflight--
	c.dirty = true
	if res != committed {
		for _, gd := range t.groups {
			gd.takeBack()
		}
		b.bindAgain()
		o.pauseTo = c.now + 100*units.Millisecond
		if res == conflict {
			o.needRev = max(o.needRev, rev) // the replica must first show what failed it
			c.log.Info("batch conflicts", "partition", o.n, "failed", failed)
			c.learnEnds(failed)
		}
		return
	}
	if !t.joint {
		return
	}
	for _, r := range b.saved {
		r.j.runSum -= r.sum
		r.j.runCount -= r.count
	}
}
