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

// silenceListPeriod is how long after many machines were found silent a process that does not rent also
// reads the machine list, which may show whether they still exist.
const silenceListPeriod = 10 * units.Second

// Unmet demand up to these fractions of the CPUs that teams use does not block scaling in: a few tasks
// that each need a machine of their own are no reason for a large fleet to keep all its machines.
const (
	unmetShareDivisor    = 50 // 1/50 of the used CPUs, for tasks that no machine has capacity for
	unplacedShareDivisor = 20 // 1/20 of the used CPUs, for all unplaced tasks, while writes to the store are scarce
)

// autoscaler matches the number of machines to the demand. It owns the machine list last read from the
// cloud, the outstanding rental requests, and the choice of machines to drain and to delete.
//
// Division of work: only the leader of partition 0 rents, for all partitions, and deletes machines that
// were rented and never registered. Each leader drains and deletes the machines of its own partitions.
//
// Guarantees:
//   - The name of a rental is never reused, and a rental whose outcome is unknown is repeated under the
//     same name, so that the cloud executes it at most once.
//   - A new leader rents nothing until it has read a complete machine list and the machines that its
//     predecessor rented have had time to appear in it.
//   - A machine counts as deleted, and its entry may be removed, only after the cloud has confirmed the
//     deletion, which proves that nothing runs there any more.
//   - A machine without recent heartbeats is never considered idle.
//
// It never places, starts or stops a task and never writes a machine's entry: it decides to decommission
// or drain a machine, and plans act on that decision.
type autoscaler struct {
	*environment
	autoscalerDependencies

	machineList          machineList
	unregisteredMachines unregisteredMachines
	rentals              *rentals

	scalingPeriod     period
	deletePeriod      period
	machineListPeriod period

	rentsSince       units.Micros // when this process began to rent; 0: it does not rent
	noDemandSince    units.Micros // since when unmet demand has been too low to block scaling in
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

// scalingLeadership reports which partitions this process leads.
type scalingLeadership interface {
	// leads reports whether this process leads a partition and may act as its leader.
	leads(partition int) bool
	leadsAny() bool
	// currentIncarnation returns this process's incarnation, which is unique among all processes that
	// ever run and changes with each registration.
	currentIncarnation() string
}

// scalingDemand reports the demand of jobs and the use of capacity by their tasks.
type scalingDemand interface {
	// unmetDemands lists the waiting tasks that no machine has capacity for. With allPartitions, every
	// job may use the machines of all partitions.
	unmetDemands(allPartitions bool) []unmetDemand
	// starvingJobs lists the jobs that have waited for too long; it must be called once a second.
	starvingJobs() []*job
	// usedCPUs returns the CPUs that the tasks of all teams use.
	usedCPUs() float64
	// unplacedCPUs returns the CPUs that tasks waiting for placement need, whether or not there is
	// capacity for them.
	unplacedCPUs() float64
	// changesPlentiful reports whether writes to the store are not scarce.
	changesPlentiful() bool
}

// scalingCapacity reports the free capacity of machines.
type scalingCapacity interface {
	freeCapacity(m *machine, t *cloud.MachineType) *resources
	hasCapacityForAny(m *machine, free *resources, jobs []*job) bool
}

// fleetView reports the health of machines and zones.
type fleetView interface {
	// silenceSuspectedWithin reports whether many machines were found silent together less than length ago.
	silenceSuspectedWithin(length units.Micros) bool
	// suspects reports whether a zone may be partitioned from the controllers.
	suspects(zone string) bool
}

// localHeartbeats reports which machines recently sent heartbeats to this controller.
type localHeartbeats interface {
	heardWithin(name string, length units.Micros) bool
}

// remoteHeartbeats reports which machines recently sent heartbeats to other controllers.
type remoteHeartbeats interface {
	anyHeardWithin(name string, length units.Micros) bool
}

// transactionCommitter commits transactions to the store.
type transactionCommitter interface {
	newWriteTag() string
	commit(txn *kv.Txn, writeTag string, done func(commitResult))
}

func newAutoscaler(env *environment, dependencies autoscalerDependencies) *autoscaler {
	a := &autoscaler{environment: env, autoscalerDependencies: dependencies, unregisteredMachines: unregisteredMachines{}}
	a.rentals = newRentals(env, dependencies.cloud, a.recordFirstRented)
	return a
}

// run does the autoscaling work that is due in this step. While a document is unreadable, neither the demand nor
// the machines that have an entry are known, so none is rented or deleted.
func (a *autoscaler) run() {
	a.catalog.refreshWhenDue()
	if !a.replica.allReadable() {
		return
	}
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
	a.updateRole(rents)
	if rents && scaling {
		a.rentals.reconcile(a.replica, a.catalog)
		a.scaleOut(unmet)
	}
}

// updateRole records when this process starts or stops renting. When it starts, it discards its rentals
// and its machine list: what it knew from an earlier time may be long out of date.
func (a *autoscaler) updateRole(rents bool) {
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
	blocked := a.demandBlocksScaleIn(unmet)
	if blocked || a.noDemandSince == 0 {
		a.noDemandSince = a.now
	}
	starving := a.demand.starvingJobs()
	// A pause in demand that is shorter than the time to rent a machine again is no reason to drain one.
	recentDemand := a.now-a.noDemandSince < a.longestIdlePeriod()
	a.drainUnderused(blocked || recentDemand, starving)
	a.returnIdle(blocked, starving)
}

// demandBlocksScaleIn reports whether unmet demand is so high that no machine should be deleted. While
// writes to the store are scarce, some free capacity may not be used yet, and a machine with much free
// capacity starts more tasks with one write.
func (a *autoscaler) demandBlocksScaleIn(unmet []unmetDemand) bool {
	unmetCPUs := 0.0
	for _, demand := range unmet {
		unmetCPUs += float64(demand.tasks) * demand.job.spec.CPUs
	}
	used := a.demand.usedCPUs()
	return unmetCPUs > used/unmetShareDivisor ||
		!a.demand.changesPlentiful() && a.demand.unplacedCPUs() > used/unplacedShareDivisor
}
