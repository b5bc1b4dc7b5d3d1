package controller

import (
	"frostdock.example/frostdock/internal/units"
)

// plan decides what one partition's leader changes next and stages it: which tasks start where, which
// stop, which entries, jobs and machines go. It owns its budget, what it has staged (stagedShard,
// stagedMachine, jointChanges) and the usage that it counts with; nothing else writes these.
//
// It promises that nothing is visible before it is durable: agents are told only what a stored
// document says, and a binding that could not be stored is taken back. Each document is written whole,
// on the condition that its mod revision is the one that the replica shows, and each transaction on the
// condition that this controller still leads the partition.
//
// It never talks to an agent or to the cloud. What may be started, released or forgotten is
// decided by package guard and by authority, not here.
type plan struct {
	*planner
	leadership *leadership

	writeTag string // of all documents that the plan writes
	attempt  uint64 // of the tasks that the plan places; 0: it has placed none yet
	budget   planBudget

	shards   []*stagedShard
	machines []*stagedMachine // of all machine shards, those that can take tasks now
	joint    jointChanges
	progress *progressWriter

	usage             usageByTeam
	guaranteed        map[*job]bool      // jobs within their teams' guarantees
	partitionsWaiting map[int]bool       // other partitions with waiting tasks
	unplaceable       map[taskShape]bool // what fits nowhere in this plan, even by preemption
	shardsPicked      bool               // arrays go to picked machine shards only
	freedTasks        []freedTask
}

// planningState is what the plans of a led partition remember from one to the next. Only plans
// write it.
type planningState struct {
	nextPlanAt       units.Micros // no plan before
	pausedUntil      units.Micros // no plan before, since a commit has failed
	requiredRevision uint64       // no plan before the replica has come this far
	plansPlaced      uint64       // plans that have placed tasks, in this term
	sharesResetAt    units.Micros // when the shares of arrays were last worked out from nothing
	splitNotBefore   units.Micros // no machine shard is split before
	reservations     reservationTable
}

const (
	taskEntryBytes        = 26 // an upper estimate of one task in a document
	documentOverheadBytes = 200
	maxTransactionBytes   = 56 << 10
	planChanges           = 12 // changes that a plan may make, in several transactions if one may have fewer
	reservedChanges       = 4  // changes kept back for accepts, cancellations and services
	minPlanCredit         = 2  // one change for the plan and one that is kept back for accepts

	// planCostPerObject spaces plans: there is at most one in so many microseconds for each machine
	// and job, since a plan looks at everything.
	planCostPerObject = 120

	// commitRetryDelay is how long a partition does not plan after one of its commits has failed.
	commitRetryDelay = 100 * units.Millisecond
)

func newPlan(planner *planner, led *leadership) *plan {
	p := &plan{
		planner: planner, leadership: led, writeTag: planner.commits.newWriteTag(),
		budget: newPlanBudget(planner.store.limits.TxnOps, planner.writes.credit),
		joint:  newJointChanges(), usage: planner.replica.teamUsage(),
		partitionsWaiting: map[int]bool{}, unplaceable: map[taskShape]bool{},
	}
	p.progress = newProgressWriter(p)
	return p
}

// run makes the plan in phases, what matters most first: each takes its part of the budget, and the
// later ones get what is left.
func (p *plan) run() {
	p.noteWaitingPartitions()
	p.stageShards()
	p.registerAgents()
	p.dropDeletedMachines()
	p.splitMachineShards()
	jobs := p.jobsOfPartition()
	p.placeServices(jobs)
	p.stageDecommissions()
	p.emptyOversizedSegments()
	p.finishJobs(jobs)
	p.drainReclaimed()
	p.stageReleases()
	if credit := p.writes.credit; credit > reservedChanges {
		p.budget.limitChanges(int(credit) - reservedChanges)
		p.placeArrays(jobs)
		p.transferUnusedShards()
		p.moveServices()
	}
	p.commit()
}

// noteWaitingPartitions finds the other partitions whose jobs wait for machines.
func (p *plan) noteWaitingPartitions() {
	for _, j := range p.replica.sortedJobs() {
		if !j.cancelled() && j.partition != p.leadership.partition && !p.partitionsWaiting[j.partition] && p.now >= j.retryAt && j.waiting() > 0 {
			p.partitionsWaiting[j.partition] = true
		}
	}
}

// jobsOfPartition lists the partition's accepted jobs, the oldest first.
func (p *plan) jobsOfPartition() []*job {
	var jobs []*job
	for _, j := range p.replica.sortedJobs() {
		if j.partition == p.leadership.partition {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// planBudget is what a plan may still write. What is staged is taken from it at once, so that a plan
// never stages more than its transactions can have.
type planBudget struct {
	changes      int // operations, in any of the plan's transactions
	jointChanges int // of those, how many may still be in the one transaction of joint changes
	bytes        int
}

func newPlanBudget(transactionOps int, credit float64) planBudget {
	return planBudget{
		changes:      min(max(transactionOps, planChanges), int(credit)-1), // one is kept back for accepts
		jointChanges: transactionOps,
		bytes:        maxTransactionBytes,
	}
}

// limitChanges lowers the changes that are left to at most so many.
func (b *planBudget) limitChanges(most int) { b.changes = min(b.changes, most) }

// jointLeft is how many more changes may be made together, in one transaction.
func (b *planBudget) jointLeft() int { return min(b.changes, b.jointChanges) }

// takeChanges takes changes that need not be made together with others.
func (b *planBudget) takeChanges(count int) { b.changes -= count }

// takeJoint takes one change of those that are made together.
func (b *planBudget) takeJoint() {
	b.changes--
	b.jointChanges--
}

func (b *planBudget) takeBytes(count int) { b.bytes -= count }

// hasBytesFor reports whether a document of so many bytes still fits.
func (b *planBudget) hasBytesFor(size int) bool { return b.bytes > size+documentOverheadBytes }
