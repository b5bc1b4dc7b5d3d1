package controller

import (
	"encoding/json"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// plan gathers the changes of one partition into one transaction.
type plan struct {
	c                 *Controller
	leadership        *leadership
	writeTag          string
	shards            []*stagedShard
	machines          []*stagedMachine // of all machine shards, those that can take tasks now
	changesLeft       int              // operations that are still free
	jointChangesLeft  int              // of those, how many may still change together in one transaction
	bytesLeft         int              // bytes that are still free
	jointOps          []kv.Operation
	jointConditions   []kv.Condition
	cleared           map[*jobShard]map[string]bool // jobs that leave their job shards
	progress          *progressWriter
	usage             map[string]*usage
	savedRuns         []savedRuntime
	partitionsWaiting map[int]bool       // partitions with waiting tasks of their own
	unplaceable       map[taskShape]bool // what found no room in this batch, even by preemption
	guaranteed        map[*job]bool      // jobs within their teams' guarantees
	shardsPicked      bool               // arrays go to some machine shards only
	attempt           uint64             // of what is placed in this batch; 0: nothing yet
	freedTasks        []freedTask        // off machines that are gone
}

// freedTask is a task whose machine this batch drops, and where it was.
type freedTask struct {
	job     *job
	task    int
	binding binding
}

// savedRuntime are task lengths that a commit makes part of the stored average.
type savedRuntime struct {
	job   *job
	sum   units.Micros
	count int
}

type usage struct{ cpus, gpus float64 }

const (
	taskEntryBytes        = 26 // an upper estimate of one task in a document
	documentOverheadBytes = 200
	maxTransactionBytes   = 56 << 10
	minServiceRun         = 35 * units.Second // a service that started stays at least so long
	stopLeadTime          = 3 * units.Second  // for a stop to be stored and carried out before a machine is taken
	planChanges           = 12                // changes that a batch may make, in several transactions if one may have fewer
	reservedChanges       = 4                 // changes kept back for accepts, cancels and services
	maxProgressGaps       = 200
	minTaskTime           = units.Second
	defaultTaskTime       = 30 * units.Second // average task time while no job has shown any
	planCostPerObject     = 120               // a plan is made at most once in so many microseconds for each machine and job
)

// planPartition decides for one partition and writes what it decided; only when that is
// stored are the machines told.
func (c *Controller) planPartition(p int) {
	o := c.partitions.led[p]
	if o == nil || o.commitsInFlight > 0 || !c.leads(p) || c.store.failing || c.now < o.pausedUntil || c.replica.watchRevision < o.requiredRevision || c.budget.credit < 2 || !c.catalog.known() {
		return
	}
	// A plan looks at everything, so the larger the fleet, the rarer it is.
	if c.now < o.nextPlanAt {
		c.planNeeded = true
		return
	}
	o.nextPlanAt = c.now + planCostPerObject*units.Micros(len(c.replica.machines)+len(c.replica.jobs))
	b := &plan{
		c: c, leadership: o, writeTag: c.commits.newWriteTag(), usage: c.teamUsage(), bytesLeft: maxTransactionBytes,
		partitionsWaiting: map[int]bool{}, cleared: map[*jobShard]map[string]bool{}, unplaceable: map[taskShape]bool{},
	}
	b.progress = newProgressWriter(b)
	b.changesLeft = min(max(c.store.limits.TxnOps, planChanges), int(c.budget.credit)-1) // one is kept back for accepts
	b.jointChangesLeft = c.store.limits.TxnOps
	for _, j := range c.replica.sortedJobs() {
		if !j.cancelled() && j.partition != p && !b.partitionsWaiting[j.partition] && c.now >= j.retryAt && j.waiting() > 0 {
			b.partitionsWaiting[j.partition] = true
		}
	}
	b.stageMachines()
	b.dropDeleted()
	b.splitMachineShards()
	jobs := c.jobsOfPartition(p)
	c.placeServices(b, jobs)
	b.writeDecommissions()
	b.emptyOversizedSegments()
	c.finishJobs(b, jobs)
	c.drainReclaimed(b)
	b.writeReleases()
	if c.budget.credit > reservedChanges {
		b.changesLeft = min(b.changesLeft, int(c.budget.credit)-reservedChanges)
		c.placeArrays(b, jobs)
		c.transferUnusedShards(b)
		c.moveServices(b)
	}
	b.commit()
}

func (c *Controller) jobsOfPartition(p int) []*job {
	var out []*job
	for _, j := range c.replica.sortedJobs() {
		if j.partition == p {
			out = append(out, j)
		}
	}
	return out
}

// teamUsage is what each team's tasks take: whatever may be running, or be started
// again, returned machines, doubt and writes under way included.
func (c *Controller) teamUsage() map[string]*usage {
	using := map[string]*usage{}
	for _, j := range c.replica.sortedJobs() {
		addUse(using, &j.spec, j.quotaHeld())
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

// underQuota keeps the team's limit, counting everything that may be running.
func (b *plan) underQuota(j *job) bool {
	t := b.c.team(j.spec.Team)
	if t == nil {
		return false
	}
	u := b.usage[j.spec.Team]
	if u == nil {
		u = &usage{}
	}
	return (t.QuotaCPUs <= 0 || u.cpus+j.spec.CPUs <= t.QuotaCPUs+1e-9) && (t.QuotaGPUs <= 0 || u.gpus+j.spec.GPUs <= t.QuotaGPUs+1e-9)
}

// withinGuarantee reports whether a team stays inside its guarantee with so much more.
func (b *plan) withinGuarantee(team string, cpus, gpus float64) bool {
	t := b.c.team(team)
	u := b.usage[team]
	if u == nil {
		u = &usage{}
	}
	return t != nil && u.cpus+cpus <= t.GuaranteedCPUs+1e-9 && u.gpus+gpus <= t.GuaranteedGPUs+1e-9
}

// jointRoom is how many more changes may be made together, in one transaction.
func (b *plan) jointRoom() int { return min(b.changesLeft, b.jointChangesLeft) }

func (b *plan) takeJoint(n int) {
	b.changesLeft -= n
	b.jointChangesLeft -= n
}

// planTransaction is one part of a batch.
type planTransaction struct {
	txn    *kv.Txn
	shards []*stagedShard
	joint  bool // it has the ends and the progress
}

// commit commits the batch, and tells the machines once it is stored. What must change together
// is in one transaction, with as many machine shards as it takes; each machine shard is whole in one.
func (b *plan) commit() {
	c, o := b.c, b.leadership
	b.auditForgotten()
	all := []*planTransaction{b.jointChanges()}
	for _, gd := range b.shards {
		if !gd.changed {
			continue
		}
		gd.auditReleases()
		pieces := gd.documents()
		last := all[len(all)-1]
		if len(last.txn.Operations)+len(pieces) > c.store.limits.TxnOps {
			last = b.newTransaction()
			all = append(all, last)
		}
		for _, p := range pieces {
			c.addSet(last.txn, p.key, p.value)
		}
		gd.noteEntriesLeaving(true)
		last.shards = append(last.shards, gd)
	}
	all = slices.DeleteFunc(all, func(t *planTransaction) bool { return len(t.txn.Operations) == 0 })
	o.commitsInFlight = len(all)
	for _, t := range all {
		c.commits.markInFlight(t.txn)
	}
	for _, t := range all {
		c.commits.commit(t.txn, b.writeTag, func(res commitOutcome, rev uint64, failed []string) { b.finishCommit(t, res, rev, failed) })
	}
}

// newTransaction is one that this partition's owner alone can carry out.
func (b *plan) newTransaction() *planTransaction {
	return &planTransaction{txn: &kv.Txn{Conditions: []kv.Condition{{Key: schema.PartitionKey(b.leadership.partition), ModRevision: b.leadership.revision}}}}
}

// addSet sets a document that is as this controller knows it.
func (c *Controller) addSet(txn *kv.Txn, key string, value json.RawMessage) {
	txn.Conditions = append(txn.Conditions, kv.Condition{Key: key, ModRevision: c.replica.revisions[key]})
	txn.Operations = append(txn.Operations, kv.Operation{Set: key, Value: value})
}

// jointChanges has the ends, the job shards that they leave and the progress.
func (b *plan) jointChanges() *planTransaction {
	c := b.c
	t := b.newTransaction()
	t.joint = true
	t.txn.Conditions = append(t.txn.Conditions, b.jointConditions...)
	t.txn.Operations = b.jointOps
	for _, s := range c.replica.jobShards {
		if less := b.cleared[s]; less != nil {
			doc := c.replica.jobShardDocument(s, less)
			doc.WriteTag = b.writeTag
			c.addSet(t.txn, s.key, encode(doc))
		}
	}
	for _, key := range b.progress.changedKeys() {
		c.addSet(t.txn, key, encode(b.progress.document(key)))
	}
	return t
}

// documents gives the machine shard as it is to be stored, in pieces if it is split.
func (gd *stagedShard) documents() []splitDocument {
	if gd.splitCount > 1 {
		return gd.split(gd.splitCount)
	}
	value := encode(gd.document())
	if len(value) > gd.c.maxValueBytes() && gd.addsTasks() {
		// The estimate was too low: leave out what was to be added.
		gd.c.log.Error("machine shard exceeds value limit", "shard", gd.shard.number, "bytes", len(value))
		gd.withdrawAdded()
		value = encode(gd.document())
	}
	return []splitDocument{{gd.shard.key, value}}
}

// finishCommit takes the outcome of one of the batch's transactions.
func (b *plan) finishCommit(t *planTransaction, res commitOutcome, rev uint64, failed []string) {
	c, o := b.c, b.leadership
	c.commits.clearInFlight(t.txn)
	for _, gd := range t.shards {
		gd.noteEntriesLeaving(false)
	}
	o.commitsInFlight--
	c.planNeeded = true
	if res != commitApplied {
		for _, gd := range t.shards {
			gd.withdrawAdded()
		}
		b.restoreBindings()
		o.pausedUntil = c.now + 100*units.Millisecond
		if res == commitConflict {
			o.requiredRevision = max(o.requiredRevision, rev) // the replica must first show what failed it
			c.log.Info("plan commit conflict", "partition", o.partition, "failed", failed)
			c.outcomeReads.learnConflicting(failed)
		}
		return
	}
	if !t.joint {
		return
	}
	for _, r := range b.savedRuns {
		r.job.runSum -= r.sum
		r.job.runCount -= r.count
	}
}

// scheduling paces plans and what they do only now and then.
type scheduling struct {
	planPeriod         period
	transferPeriods    map[int]*period // of transfers of machine shards, by partition
	movePeriods        map[int]*period // of moves of services, by partition
	oversizedLogPeriod period
	weightLogPeriod    period
}

func newScheduling() scheduling {
	return scheduling{transferPeriods: map[int]*period{}, movePeriods: map[int]*period{}}
}

// periodOf is the period of a key, begun when it is first asked for.
func periodOf[K comparable](periods map[K]*period, key K) *period {
	p := periods[key]
	if p == nil {
		p = &period{}
		periods[key] = p
	}
	return p
}

// rebalancePeriod is how often machine shards are transferred, and services moved.
const rebalancePeriod = 500 * units.Millisecond

const weightLogPeriod = 60 * units.Second
