package controller

import (
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// maxDeletions is how many machines one request may delete.
const maxDeletions = 100

// deletionRetryDelay is the delay between a failed request to delete decommissioned machines and the next.
const deletionRetryDelay = 300 * units.Millisecond

// decommissioner marks machines as decommissioned, that is, to be deleted in the cloud. The first reason
// counts, and the decision is never revoked; but until it is stored, it exists only in the machine's agent
// state, and is lost with that state. The decommissioner deletes nothing and releases no task: plans store
// the decision, and the autoscaler deletes the machines.
type decommissioner struct {
	*environment
	replica *replica
}

// mark marks machines as decommissioned; the next write of their machine shard stores the decision. Their
// tasks stay bound until the cloud has confirmed that the machines are deleted.
func (d *decommissioner) mark(reason string, machines ...*machine) {
	for _, m := range machines {
		d.markOne(m, reason, false)
	}
}

// giveUp marks lost machines whose tasks wait to be placed again. The machines are deleted before the
// decision is stored, which is safe: no task is placed on a machine that is not heard, and entries that a
// controller with an outdated replica still adds there are dropped with the machine.
func (d *decommissioner) giveUp(reason string, machines ...*machine) {
	for _, m := range machines {
		d.markOne(m, reason, true)
	}
}

func (d *decommissioner) markOne(m *machine, reason string, deleteBeforeStored bool) {
	if m.agent == nil || !m.agent.decideDecommission(reason, deleteBeforeStored) {
		return
	}
	d.planNeeded = true
	d.log.Info("decommissioning machine", "machine", m.name, "reason", reason, "tasks", d.unfinishedTasks(m), "partition", m.shard.partition)
}

// unfinishedTasks counts the tasks bound to a machine that are not known to be done.
func (d *decommissioner) unfinishedTasks(m *machine) int {
	count := 0
	for _, task := range m.doc.Tasks {
		if d.replica.jobOfUnfinishedTask(task) != nil {
			count++
		}
	}
	return count
}

// deleteDecommissioned deletes the decommissioned machines, in one request at a time. The machines' entries
// are dropped only when the cloud has confirmed the deletion, which proves that no task runs there any
// more.
func (a *autoscaler) deleteDecommissioned() {
	if a.deletionInFlight {
		return
	}
	names := a.deletableMachines()
	if len(names) == 0 {
		return
	}
	a.deletionInFlight = true
	a.cloud.call(CloudCall{Op: CloudDelete, Machines: cloud.MachineNames{Names: names}}, func(result CloudResult) {
		if result.Status == cloud.StatusOK {
			a.confirmDeletion(names)
		} else {
			a.after(deletionRetryDelay, func() { a.deletionInFlight = false })
		}
	})
}

// deletableMachines returns the names of at most maxDeletions machines that are to be deleted, from the
// partitions that this process leads.
func (a *autoscaler) deletableMachines() []string {
	var names []string
	for _, m := range a.replica.sortedMachines() {
		decided := m.doc.Decommissioned || m.agent != nil && m.agent.decommission.deleteBeforeStored
		if decided && !m.deleted && a.leadership.leads(m.shard.partition) && len(names) < maxDeletions {
			names = append(names, m.name)
		}
	}
	return names
}

// confirmDeletion records that the cloud has deleted machines.
func (a *autoscaler) confirmDeletion(names []string) {
	a.deletionInFlight = false
	a.log.Info("machines deleted", "machines", names)
	a.planNeeded = true
	for _, name := range names {
		if m := a.replica.machines[name]; m != nil {
			m.deleted = true // the next write of the machine shard drops its entry
		}
	}
}
