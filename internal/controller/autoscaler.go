package controller

import (
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/units"
)

// Periods of the autoscaler's work.
const (
	scalingPeriod     = units.Second
	deletePeriod      = 200 * units.Millisecond
	machineListPeriod = 4 * units.Second
)

// scalingPartition is the partition whose leader rents machines for all partitions.
const scalingPartition = 0

// silenceListPeriod is for how long after silent machines were noticed a process that does not rent
// reads the machine list as well: the list may tell whether they are gone.
const silenceListPeriod = 10 * units.Second

// A demand below these parts of the CPUs that teams use does not count as waiting: a few tasks that wait
// for a machine of their own are no reason for a large fleet to keep all that it has.
const (
	unmetShareDivisor    = 50 // for tasks that no machine has capacity for
	unplacedShareDivisor = 20 // for all unplaced tasks, while writes to the store are scarce
)

// autoscaler fits the number of machines to the demand. It owns the cloud's machine list as last read,
// the rental requests under way, and the choice of machines to drain and to delete.
//
// Who does what: only the leader of partition 0 rents, for all partitions, and deletes machines that were
// rented and never registered. Each leader drains and deletes the machines of its own partitions.
//
// Promises:
//   - A rental's name is never used for another rental, and a rental without a clear answer is repeated
//     under its own name, so that the cloud carries it out at most once.
//   - A new leader rents nothing until it has read a complete machine list and its predecessor's machines
//     have had the time to appear in it.
//   - A machine counts as deleted, and its entry may go, only when the cloud has confirmed the deletion:
//     that proves that nothing runs there any more.
//   - A machine that is not heard is never taken for idle.
//
// It never places, starts or stops a task and never writes a machine's entry: it decommissions and
// drains machines by a decision that plans act on.
type autoscaler struct {
	*environment
	autoscalerDependencies

	machineList machineList
	strays      strays
	rentals     *rentals

	scalingPeriod     period
	deletePeriod      period
	machineListPeriod period

	rentsSince       units.Micros // since when this process rents; 0: it does not
	noDemandSince    units.Micros // since when next to no task waits for capacity
	deletionInFlight bool
}

// autoscalerDependencies are the components that the autoscaler works with.
type autoscalerDependencies struct {
	replica      *replica
	cloud        *cloudClient
	catalog      *catalog
	decommission *decommissioner
	leadership   scalingLeadership
	demand       scalingDemand
	capacity     scalingCapacity
	acceptance   machineView
	fleet        fleetView
	agents       localHeartbeats
	peers        remoteHeartbeats
	commits      transactionCommitter
}

// scalingLeadership is what the autoscaler asks of leadership.
type scalingLeadership interface {
	// leads reports whether this process leads a partition and may act on it.
	leads(partition int) bool
	leadsAny() bool
	// currentIncarnation is unique among all processes that ever run, and changes with each registration.
	currentIncarnation() string
}

// scalingDemand is what the autoscaler asks of scheduling about tasks.
type scalingDemand interface {
	// unmetDemands lists the waiting tasks that no machine has capacity for.
	unmetDemands(anywhere bool) []unmetDemand
	// starvingJobs lists the jobs that have waited for too long; it is to be called once a second.
	starvingJobs() []*job
	// usedCPUs is what the tasks of all teams use.
	usedCPUs() float64
	// unplacedCPUs is what the tasks take that wait to be placed, whether there is capacity or not.
	unplacedCPUs() float64
	// changesPlentiful reports whether writes to the store are not scarce.
	changesPlentiful() bool
}

// scalingCapacity is what the autoscaler asks about the free capacity of machines.
type scalingCapacity interface {
	freeCapacity(m *machine, t *cloud.MachineType) *resources
	hasCapacityForAny(m *machine, free *resources, jobs []*job) bool
}

// fleetView is what the autoscaler asks about the health of machines.
type fleetView interface {
	// silenceSuspectedWithin reports whether many machines were silent that recently.
	silenceSuspectedWithin(length units.Micros) bool
	// suspects reports whether a zone may be partitioned from the controllers.
	suspects(zone string) bool
}

// localHeartbeats tells which machines' heartbeats came here.
type localHeartbeats interface {
	heardWithin(name string, length units.Micros) bool
}

// remoteHeartbeats tells which machines' heartbeats came to other controllers.
type remoteHeartbeats interface {
	anyHeardWithin(name string, length units.Micros) bool
}

// transactionCommitter writes to the store.
type transactionCommitter interface {
	newWriteTag() string
	commit(txn *kv.Txn, writeTag string, done func(commitResult))
}

func newAutoscaler(env *environment, dependencies autoscalerDependencies) *autoscaler {
	a := &autoscaler{environment: env, autoscalerDependencies: dependencies, strays: strays{}}
	a.rentals = newRentals(env, dependencies.cloud, a.recordFirstRented)
	return a
}

// run does what is due.
func (a *autoscaler) run() {
	a.catalog.refreshWhenDue()
	scaling := a.leadership.leadsAny() && a.scalingPeriod.due(a.now, scalingPeriod)
	var unmet []unmetDemand
	if scaling {
		unmet = a.demand.unmetDemands(true)
		a.scaleIn(unmet)
	}
	if a.deletePeriod.due(a.now, deletePeriod) {
		a.deleteDecommissioned()
	}
	rents := a.catalog.known() && a.leadership.leads(scalingPartition)
	a.readMachineListWhenDue(rents)
	a.noteRole(rents)
	if rents && scaling {
		a.rentals.settle(a.replica, a.catalog)
		a.scaleOut(unmet)
	}
}

// noteRole follows when this process becomes, and ceases to be, the one that rents. It begins with
// what it reads itself: what it knew from an earlier time may be long out of date.
func (a *autoscaler) noteRole(rents bool) {
	switch {
	case !rents:
		a.rentsSince = 0
	case a.rentsSince == 0:
		a.rentsSince = a.now
		a.rentals.forgetAll()
		a.machineList.forget()
	}
}

// scaleIn drains and deletes machines that are not needed.
func (a *autoscaler) scaleIn(unmet []unmetDemand) {
	waiting := a.demandWaits(unmet)
	if waiting || a.noDemandSince == 0 {
		a.noDemandSince = a.now
	}
	starving := a.demand.starvingJobs()
	// A lull shorter than it takes to rent a machine again is no reason to drain one.
	lull := a.now-a.noDemandSince < a.longestIdlePeriod()
	a.drainUnderused(waiting || lull, starving)
	a.returnIdle(waiting, starving)
}

// demandWaits reports whether so much waits that no machine should be deleted. While writes to the store
// are scarce there may be capacity that is not used yet, and a machine with much of it starts more tasks
// with one write.
func (a *autoscaler) demandWaits(unmet []unmetDemand) bool {
	unmetCPUs := 0.0
	for _, demand := range unmet {
		unmetCPUs += float64(demand.tasks) * demand.job.spec.CPUs
	}
	used := a.demand.usedCPUs()
	return unmetCPUs > used/unmetShareDivisor ||
		!a.demand.changesPlentiful() && a.demand.unplacedCPUs() > used/unplacedShareDivisor
}
