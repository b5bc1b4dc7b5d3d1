package controller

import (
	"math"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// occupancy is the capacity in use on a machine, computed from the machine's entry and its agent's
// heartbeats. It is cached until something that it depends on may have changed: looking at every task of
// every machine for each plan would be half of all the work in a large fleet.
type occupancy struct {
	validUntil units.Micros  // when it must be computed again; 0: nothing is cached
	kept       []schema.Task // entries that must stay
	active     int           // number of tasks that may be active
	used       resources     // by the active tasks
	endingSoon resources     // part of used, by array tasks that are about to end
}

// occupancyMaxAge bounds how long an occupancy is cached, in case a change was missed.
const occupancyMaxAge = 5 * units.Second

// invalidateOccupancy drops a machine's cached occupancies: its entry, its heartbeats or one of its jobs
// has changed.
func (m *machine) invalidateOccupancy() { m.occupancies = [2]occupancy{} }

// occupancyOf computes a machine's occupancy; own means that this controller commands it.
func (p *planner) occupancyOf(m *machine, own bool) occupancy {
	if own {
		return p.ownOccupancy(m)
	}
	return p.foreignOccupancy(m)
}

// foreignOccupancy computes the occupancy of another controller's machine from its entries alone. All of
// them stay: only the controller that commands the machine may release them.
func (p *planner) foreignOccupancy(m *machine) occupancy {
	o := occupancy{validUntil: p.now + occupancyMaxAge}
	for _, task := range m.doc.Tasks {
		o.kept = append(o.kept, task)
		j := p.replica.jobOfUnstoredTask(task)
		// A task's capacity is free once the controller that commands the machine has recorded its completion.
		if j != nil && task.DoneTenths == 0 && !j.isDone(task.Index) {
			o.addActive(&j.spec)
		}
	}
	return o
}

// ownOccupancy computes the occupancy of a machine that this controller commands from its entries and its
// agent's heartbeats: an entry stays unless it may be released, and even a task whose entry may be released
// takes capacity while it is reported as running.
func (p *planner) ownOccupancy(m *machine) occupancy {
	o := occupancy{validUntil: p.now + occupancyMaxAge}
	o.expireAfter(p.now, m.agent.leaseEnd)
	for _, task := range m.doc.Tasks {
		j := p.replica.jobs[task.Job]
		mayRelease := p.facts.mayRelease(m, task)
		status, reported := m.agent.tasks[keyOf(task)]
		running := reported && status.State != agent.Ended && p.now <= m.agent.leaseEnd
		if mayRelease && !running {
			continue
		}
		if !mayRelease {
			o.kept = append(o.kept, task)
		}
		if j != nil && (running || !j.isDone(task.Index)) {
			o.addActive(&j.spec)
			o.noteEnd(p.now, m.endingSoonFrom(j, task), &j.spec)
		}
	}
	p.addUnlisted(&o, m)
	return o
}

// addUnlisted counts the reported tasks that have no entry: they take capacity until they are gone.
func (p *planner) addUnlisted(o *occupancy, m *machine) {
	for key, status := range m.agent.tasks {
		if status.State == agent.Ended || m.hasEntry(key) {
			continue
		}
		if j := p.replica.acceptedJob(key.job); j != nil {
			o.used.reserve(&j.spec, -1)
		}
		o.active++
	}
}

// expireAfter has the occupancy computed again after the given moment, unless that has passed.
func (o *occupancy) expireAfter(now, moment units.Micros) {
	if now <= moment {
		o.validUntil = min(o.validUntil, moment+1)
	}
}

// addActive counts a task that may be active.
func (o *occupancy) addActive(spec *schema.Job) {
	o.active++
	o.used.reserve(spec, -1)
}

// noteEnd counts an active task as ending soon if soonFrom has come, else has the occupancy computed again
// then.
func (o *occupancy) noteEnd(now, soonFrom units.Micros, spec *schema.Job) {
	if soonFrom <= now {
		o.endingSoon.reserve(spec, -1)
	} else {
		o.validUntil = min(o.validUntil, soonFrom)
	}
}

// queueAheadPeriod is how long before a task's expected completion its capacity may be given to the next
// task.
const queueAheadPeriod = 6 * units.Second

// endingSoonFrom returns when an array task that runs on the machine is so close to completion, by the
// average run time of its job, that its capacity may be given to the next task; math.MaxInt64 if unknown.
func (m *machine) endingSoonFrom(j *job, task schema.Task) units.Micros {
	start, running := m.agent.runningSince[keyOf(task)]
	average, _ := j.average()
	if !running || j.spec.Service || average == 0 {
		return math.MaxInt64
	}
	return start.at + average - queueAheadPeriod
}

// hasEntry reports whether the machine's entry lists the task with this attempt.
func (m *machine) hasEntry(key taskKey) bool {
	for _, task := range m.doc.Tasks {
		if keyOf(task) == key {
			return true
		}
	}
	return false
}
