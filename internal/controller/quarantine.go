package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// quarantineMonitor withholds new tasks from machines on which tasks of several jobs fail, and owns the
// quarantine of each machine. Jobs that fail everywhere do not count: otherwise a few jobs submitted with a
// mistake would take all machines out of use.
type quarantineMonitor struct {
	*environment
	replica *replica
}

// quarantineState is whether a machine is kept from new tasks.
type quarantineState struct {
	active     bool
	changedAt  units.Micros    // when judgeMachine last changed active
	failedJobs map[string]bool // IDs of jobs of which a task failed on the machine
}

// quarantinePeriod is how long a machine that fails tasks gets no new ones. Then it is tried once more: the
// cause may be gone, and jobs must not wait for ever while the machine is unused.
const quarantinePeriod = 30 * units.Second

// Thresholds by which failures are attributed to a machine, or to a job.
const (
	// A job is at fault if it has failed on this many machines, or on all that are heard if those are
	// fewer, but on at least two.
	jobFaultMachines    = 3
	minJobFaultMachines = 2
	// A machine is at fault if tasks of this many jobs that are not at fault have failed on it.
	machineFaultJobs = 2
)

// succeeded records that a task of a job has completed. If the job seemed to be at fault, the machines on
// which it failed are judged again: the fault was theirs.
func (q *quarantineMonitor) succeeded(j *job) {
	j.failures = 0
	wasAtFault := q.jobAtFault(j)
	j.succeeded = true
	if wasAtFault {
		q.judgeMachinesOf(j)
	}
}

// failed records that a task of a job has failed on a machine.
func (q *quarantineMonitor) failed(j *job, m *machine) {
	j.backOff(q.now)
	m.agent.quarantine.failedJobs[j.id] = true
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.name] = true
	q.judgeMachinesOf(j)
}

// jobAtFault reports whether the job itself seems to be at fault: its tasks failed on several machines, or
// on all that are heard, and none of its tasks completed.
func (q *quarantineMonitor) jobAtFault(j *job) bool {
	if len(j.failedOn) < minJobFaultMachines || j.succeeded || j.doneCount() > 0 {
		return false
	}
	heard := 0
	for _, m := range q.replica.machines {
		if m.agent == nil || m.agent.heardAt == 0 {
			continue
		}
		heard++
		if heard > len(j.failedOn) || heard == jobFaultMachines {
			break // no need to count the rest of the fleet
		}
	}
	return len(j.failedOn) >= min(jobFaultMachines, heard)
}

// judgeMachinesOf judges the machines on which a job has failed.
func (q *quarantineMonitor) judgeMachinesOf(j *job) {
	for _, name := range slices.Sorted(maps.Keys(j.failedOn)) {
		if m := q.replica.machines[name]; m != nil && m.agent != nil {
			q.judgeMachine(m)
		}
	}
}

// judgeMachine starts or ends the quarantine of a machine by the jobs that have failed on it.
func (q *quarantineMonitor) judgeMachine(m *machine) {
	state := &m.agent.quarantine
	jobs := 0
	for id := range state.failedJobs {
		if j := q.replica.jobs[id]; j == nil || !q.jobAtFault(j) {
			jobs++
		}
	}
	if failing := jobs >= machineFaultJobs; failing != state.active {
		state.active, state.changedAt = failing, q.now
		q.log.Warn("machine quarantine", "machine", m.name, "quarantined", failing)
	}
}

// expire ends a machine's quarantine after quarantinePeriod.
func (q *quarantineMonitor) expire(m *machine) {
	state := &m.agent.quarantine
	if state.active && q.now-state.changedAt > quarantinePeriod {
		state.active, state.failedJobs = false, map[string]bool{}
		q.planNeeded = true
	}
}

// Limits of the exponential back-off of a job after failures.
const (
	maxBackOff          = 40 * units.Second
	failuresPerDoubling = 2 // the delay doubles every 2 consecutive failures
	maxBackOffDoublings = 6
)

// backOff delays the next start of a job after one of its tasks failed.
func (j *job) backOff(now units.Micros) {
	j.failures++
	j.failedAt = now
	j.retryAt = now + min(units.Second<<min(j.failures/failuresPerDoubling, maxBackOffDoublings), maxBackOff)
}
