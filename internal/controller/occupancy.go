package controller

import (
	"math"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// occupancy is what a machine's entry and its agent's heartbeats say about what is taken there. It is
// kept until something that it depends on may have changed: to look at every task of every machine for
// each plan would be half of all the work of a large fleet.
type occupancy struct {
	validUntil units.Micros  // it may have changed by then; 0: nothing is kept
	kept       []schema.Task // entries that must stay
	active     int           // tasks that may be active
	used       resources
	endingSoon resources // taken by array tasks that are about to end
}

// occupancyMaxAge bounds how long an occupancy is kept, whatever may have been overlooked.
const occupancyMaxAge = 5 * units.Second

// forgetOccupancy drops what is kept of a machine: its entry, its heartbeats or one of its jobs has
// changed.
func (m *machine) forgetOccupancy() { m.occupancies = [2]occupancy{} }

// occupancyOf works out what is taken on a machine, as the controller that commands it or as another.
func (p *planner) occupancyOf(m *machine, own bool) occupancy {
	if own {
		return p.ownOccupancy(m)
	}
	return p.foreignOccupancy(m)
}

// foreignOccupancy goes by the entries alone. All of them stay: only the controller that commands the
// machine may release them.
func (p *planner) foreignOccupancy(m *machine) occupancy {
	o := occupancy{validUntil: p.now + occupancyMaxAge}
	for _, task := range m.doc.Tasks {
		o.kept = append(o.kept, task)
		j := p.replica.unstoredJobOf(task)
		// The capacity is free when the controller that commands the machine has seen the completion.
		if j != nil && task.DoneTenths == 0 && !j.isDone(task.Index) {
			o.addActive(&j.spec)
		}
	}
	return o
}

// ownOccupancy goes by the entries and by what the machine's agent has reported: an entry stays unless
// it may be released, and takes capacity also after that while its task is reported to run.
func (p *planner) ownOccupancy(m *machine) occupancy {
	o := occupancy{validUntil: p.now + occupancyMaxAge}
	o.expireAfter(p.now, m.agent.leaseEnd)
	o.expireAfter(p.now, m.agent.responses.startExpiresAt())
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
			o.noteEnd(p.now, m.expectedEnd(j, task), &j.spec)
		}
	}
	p.addUnlisted(&o, m)
	return o
}

// addUnlisted counts the reported tasks that no entry lists: they take capacity until they are gone.
func (p *planner) addUnlisted(o *occupancy, m *machine) {
	for key, status := range m.agent.tasks {
		if status.State == agent.Ended || m.lists(key) {
			continue
		}
		if j := p.replica.acceptedJob(key.job); j != nil {
			o.used.reserve(&j.spec, -1)
		}
		o.active++
	}
}

// expireAfter has the occupancy worked out anew once a moment that is still to come has passed.
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

// noteEnd counts an active task as ending soon from a moment on.
func (o *occupancy) noteEnd(now, soonFrom units.Micros, spec *schema.Job) {
	if soonFrom <= now {
		o.endingSoon.reserve(spec, -1)
	} else {
		o.validUntil = min(o.validUntil, soonFrom)
	}
}

// queueAheadPeriod is how long before its expected completion a task's capacity may be given to the next one.
const queueAheadPeriod = 6 * units.Second

// expectedEnd is when an array task that runs on the machine comes so close to completion, by what has
// been observed of its job, that its capacity may be given to the next one.
func (m *machine) expectedEnd(j *job, task schema.Task) units.Micros {
	run, runs := m.agent.runningSince[keyOf(task)]
	average, _ := j.average()
	if !runs || j.spec.Service || average == 0 {
		return math.MaxInt64
	}
	return run.at + average - queueAheadPeriod
}

// lists reports whether the machine's entry has the task, with this attempt.
func (m *machine) lists(key taskKey) bool {
	for _, task := range m.doc.Tasks {
		if keyOf(task) == key {
			return true
		}
	}
	return false
}
