package controller

import (
	"frostdock.example/frostdock/internal/units"
)

// plan computes and stages the next changes of one partition: tasks to start and stop, and task
// entries, jobs and machines to remove. It owns its budget, its staged documents (stagedShard,
// stagedMachine, jointChanges) and its count of the teams' usage; no other component writes these.
//
// Nothing becomes visible before it is durable: agents are sent only what a stored document says, and
// a binding without a stored entry is withdrawn. Each document is written whole, on the condition
// that its mod revision is the one that the replica shows, and each transaction on the condition that
// this controller still leads the partition.
//
// A plan never calls an agent or the cloud. Package guard and the authority component decide what may be
// started, released or forgotten.
type plan struct {
	*planner
	leadership *leadership

	writeTag string // tag in all documents that the plan writes
	attempt  uint64 // attempt of the tasks that the plan places; 0: none placed yet
	budget   planBudget

	shards   []*stagedShard
	machines []*stagedMachine // machines of all staged shards that accept tasks now
	joint    jointChanges
	progress *progressWriter

	usage             usageByTeam
	guaranteed        map[*job]bool      // jobs within their teams' guarantees
	partitionsWaiting map[int]bool       // other partitions with waiting tasks
	unplaceable       map[taskShape]bool // shapes that fit on no machine in this plan, even with preemption
	shardsPicked      bool               // arrays may use picked machine shards only
	freedTasks        []freedTask
}

// planningState is what a led partition keeps from one plan to the next. Only planner and its plans
// write it.
type planningState struct {
	nextPlanAt       units.Micros // earliest time of the next plan
	pausedUntil      units.Micros // earliest time of the next plan after a failed commit
	requiredRevision uint64       // revision that the replica must reach before the next plan
	plansPlaced      uint64       // plans of this term that have placed tasks
	sharesResetAt    units.Micros // when the shares of arrays were last computed from scratch
	splitNotBefore   units.Micros // earliest time of the next machine shard split
	reservations     reservationTable
}

const (
	taskEntryBytes        = 26  // upper estimate of the size of one task entry in a document
	documentOverheadBytes = 200 // allowance for each document besides its entries
	maxTransactionBytes   = 56 << 10
	minPlanChanges        = 12 // always allowed to a plan with enough credit, in several transactions if one holds fewer
	minPlanCredit         = 2  // write credit that a plan needs: one change for itself and one reserved for accepts

	// planCostPerObject is the minimum time between a partition's plans, in microseconds for each machine
	// and job: at most one plan per planCostPerObject x (machines + jobs), since a plan examines them all.
	planCostPerObject = 120

	// commitRetryDelay is how long a partition's planning pauses after one of its commits has failed.
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

// run makes the plan in phases, the most important first: each phase takes what it needs of the
// budget, and later phases get the rest.
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
	if credit, reserved := p.writes.credit, p.writes.reservedChanges(); credit > reserved {
		p.budget.limitChanges(int(credit - reserved))
		p.placeArrays(jobs)
		p.transferUnusedShards()
		p.moveServices()
	}
	p.commit()
}

// noteWaitingPartitions records the other partitions whose jobs have tasks that wait for machines.
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

// planBudget is what a plan may still write. Each change is deducted when it is staged, so that a plan
// never stages more than its transactions can hold.
type planBudget struct {
	changes      int // store operations left, in any of the plan's transactions
	jointChanges int // of these, operations left in the one transaction of joint changes
	bytes        int
}

func newPlanBudget(transactionOps int, credit float64) planBudget {
	return planBudget{
		changes:      min(max(transactionOps, minPlanChanges), int(credit)-1), // one is reserved for accepts
		jointChanges: transactionOps,
		bytes:        maxTransactionBytes,
	}
}

// limitChanges lowers the changes that are left to at most limit.
func (b *planBudget) limitChanges(limit int) { b.changes = min(b.changes, limit) }

// jointLeft returns how many more joint changes the plan may stage, all for one transaction.
func (b *planBudget) jointLeft() int { return min(b.changes, b.jointChanges) }

// takeChanges deducts changes that may go into any transaction.
func (b *planBudget) takeChanges(count int) { b.changes -= count }

// takeJoint deducts one joint change.
func (b *planBudget) takeJoint() {
	b.changes--
	b.jointChanges--
}

func (b *planBudget) takeBytes(count int) { b.bytes -= count }

// hasBytesFor reports whether a document of size bytes still fits.
func (b *planBudget) hasBytesFor(size int) bool { return b.bytes > size+documentOverheadBytes }
