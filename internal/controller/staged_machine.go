package controller

import (
	"slices"

	"frostdock.example/frostdock/internal/schema"
)

// stagedMachine is a machine's entry as a plan is going to write it. Its free capacity is that of the
// machine less everything that may run there, including the tasks that the plan adds.
type stagedMachine struct {
	machine      *machine
	shard        *stagedShard
	resources                                // free capacity
	endingSoon   resources                   // capacity of array tasks that are about to end
	kept         []schema.Task               // entries that stay
	added        []schema.Task               // entries that this plan adds
	stops        map[taskKey]schema.StopMode // tasks that are to be stopped, and how
	active       int                         // tasks that may be active
	images       []string                    // images on another controller's machine, as that controller reports
	usable       bool                        // tasks may be placed on it
	needsTokens  bool                        // its entry must reserve fencing tokens
	decommission bool
}

// hasImage reports whether the image is on the machine, as far as this controller knows.
func (m *stagedMachine) hasImage(image string) bool {
	if m.machine.agent != nil {
		_, ok := m.machine.agent.images[image]
		return ok
	}
	return slices.Contains(m.images, image)
}

// fits reports whether there is capacity for a task of the job, and space for its entry.
func (m *stagedMachine) fits(j *job) bool {
	return m.canFit(&j.spec) && m.shard.bytesLeft >= taskEntryBytes
}

// add adds a task and reserves its capacity.
func (m *stagedMachine) add(task schema.Task, spec *schema.Job) {
	m.added = append(m.added, task)
	m.reserve(spec, 1)
	m.active++
	m.shard.bytesLeft -= taskEntryBytes
}

// requestStop requests in a task's entry that the task be stopped in the given mode.
func (m *stagedMachine) requestStop(key taskKey, mode schema.StopMode) {
	if m.stops == nil {
		m.stops = map[taskKey]schema.StopMode{}
	}
	m.stops[key] = mode
}

// preempt requests an immediate stop of a task and counts its capacity as free.
func (m *stagedMachine) preempt(key taskKey, spec *schema.Job) {
	m.requestStop(key, schema.StopImmediately)
	m.reserve(spec, -1)
}

// setAsideForMove reserves capacity for a service's task that moves here once it has stopped elsewhere.
func (m *stagedMachine) setAsideForMove(spec *schema.Job) {
	m.cpus, m.memoryGB = m.cpus-spec.CPUs, m.memoryGB-spec.MemGB
}

// countEndingSoon adds the capacity of tasks that are about to end to the free capacity.
func (m *stagedMachine) countEndingSoon() {
	m.cpus += m.endingSoon.cpus
	m.gpus += m.endingSoon.gpus
	m.memoryGB += m.endingSoon.memoryGB
}

// markDecommissioned marks the machine as decommissioned; it accepts no more tasks.
func (m *stagedMachine) markDecommissioned() { m.decommission, m.usable = true, false }

// markNeedsTokens makes the machine's entry reserve fencing tokens, whether or not there is space to spare.
func (m *stagedMachine) markNeedsTokens() { m.needsTokens = true }

// reservesTokens reports whether the machine's entry reserves fencing tokens with this write.
func (m *stagedMachine) reservesTokens() bool {
	if !m.shard.ownShard || m.machine.agent == nil || m.decommission {
		return false
	}
	return m.needsTokens || m.machine.agent.fencing.wantsReservation() && !m.shard.withoutReservations
}

// keepAll keeps all task entries as they are: nothing is known of what runs on the machine.
func (m *stagedMachine) keepAll() { m.kept = m.machine.doc.Tasks }

// occupy sets the entries that stay, and the free capacity: the total less what tasks may use.
func (m *stagedMachine) occupy(total resources, occupancy *occupancy) {
	m.kept, m.active, m.endingSoon = occupancy.kept, occupancy.active, occupancy.endingSoon
	used := occupancy.used
	m.resources = resources{total.cpus - used.cpus, total.gpus - used.gpus, total.memoryGB - used.memoryGB}
}

// keepEntry keeps one more entry.
func (m *stagedMachine) keepEntry(task schema.Task) { m.kept = append(slices.Clone(m.kept), task) }

// keptKeys returns the keys of the entries that stay.
func (m *stagedMachine) keptKeys() map[taskKey]bool {
	keys := make(map[taskKey]bool, len(m.kept))
	for _, task := range m.kept {
		keys[keyOf(task)] = true
	}
	return keys
}

// releasesEntries reports whether the plan removes entries that the stored document still has.
func (m *stagedMachine) releasesEntries() bool { return len(m.kept) != len(m.machine.doc.Tasks) }

// releasesUnfinished reports whether one of the removed entries is of a task that must run again.
func (m *stagedMachine) releasesUnfinished() bool {
	kept := m.keptKeys()
	return slices.ContainsFunc(m.machine.doc.Tasks, func(task schema.Task) bool {
		return !kept[keyOf(task)] && m.shard.planner.replica.jobOfUnstoredTask(task) != nil
	})
}

// document returns the machine's entry as it is to be stored.
func (m *stagedMachine) document() schema.Machine {
	document := m.machine.doc
	document.Tasks = append(slices.Clone(m.kept), m.added...)
	if !m.shard.withoutMarks {
		m.markTasks(document.Tasks)
	}
	if m.reservesTokens() {
		document.TokenIncrements += tokenReservation
	}
	if m.decommission {
		document.TokenIncrements++
		document.Decommissioned = true
	}
	return document
}

// markTasks marks the tasks that are to be stopped and those whose completion is to be recorded.
func (m *stagedMachine) markTasks(tasks schema.Tasks) {
	for i := range tasks {
		task := &tasks[i]
		task.StopMode = max(task.StopMode, m.stops[keyOf(*task)])
		if m.shard.ownShard && task.DoneTenths == 0 {
			task.DoneTenths = m.shard.planner.recordedRunTenths(m.machine, task)
		}
	}
}

// withdrawAdded removes the bindings of the added tasks whose entries the replica does not show: these were not
// stored, or have been released since.
func (m *stagedMachine) withdrawAdded() {
	replica := m.shard.planner.replica
	for _, task := range m.added {
		j := replica.jobs[task.Job]
		if j == nil {
			continue
		}
		bound, ok := j.bindings[task.Index]
		if ok && bound.machine == m.machine && bound.attempt == task.Attempt && !m.machine.hasEntry(keyOf(task)) {
			j.removeBinding(task.Index)
			replica.dropIfUnused(j)
		}
	}
	m.added = nil
}
