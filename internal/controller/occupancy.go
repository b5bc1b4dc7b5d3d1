package controller

import (
	"math"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// occupancy is what a machine's entry and its reports say about its room. Looking at
// every task of every machine for each plan was half of all the work of a large
// fleet, so it is kept until something that it depends on has changed.
type occupancy struct {
	validUntil units.Micros  // it may have changed by then; 0: nothing is kept
	kept       []schema.Task // entries that must stay
	active     int           // tasks that may be active
	used       resources
	endingSoon resources // room of array tasks that are about to end
}

// occupancyMaxAge bounds how long a view is kept, whatever may have been overlooked.
const occupancyMaxAge = 5 * units.Second

// forgetOccupancy drops what is kept of a machine: its entry, its reports or one of its
// jobs has changed.
func (m *machine) forgetOccupancy() { m.occupancies = [2]occupancy{} }

// occupancyOf makes a machine's view, as its commander or as somebody else.
func (c *Controller) occupancyOf(m *machine, own bool) occupancy {
	rt := m.agent
	v := occupancy{validUntil: c.now + occupancyMaxAge}
	if own && c.now <= rt.leaseEnd {
		v.validUntil = min(v.validUntil, rt.leaseEnd+1)
	}
	if own && c.now <= rt.responses.startExpiresAt() {
		v.validUntil = min(v.validUntil, rt.responses.startExpiresAt()+1)
	}
	for _, task := range m.doc.Tasks {
		j := c.replica.jobs[task.Job]
		over := j == nil || !j.accepted || j.done.Contains(task.Index)
		active := !over && task.DoneTenths == 0 && !j.isDone(task.Index) // its commander has seen its end: the room is free
		if own {
			k := keyOf(task)
			rel := c.facts.mayRelease(m, task)
			piece, there := rt.tasks[k]
			running := there && piece.State != agent.Ended && c.now <= rt.leaseEnd
			if rel && !running {
				continue
			}
			over = rel
			active = j != nil && (running || !j.isDone(task.Index))
		}
		if !over || !own {
			v.kept = append(v.kept, task)
		}
		if !active {
			continue
		}
		v.active++
		v.used.reserve(&j.spec, -1)
		if own {
			if at := c.endsAt(m, j, task); at <= c.now {
				v.endingSoon.reserve(&j.spec, -1)
			} else {
				v.validUntil = min(v.validUntil, at)
			}
		}
	}
	if !own {
		return v
	}
	for k, piece := range rt.tasks { // tasks that nobody lists take room until they are gone
		if piece.State != agent.Ended && !m.lists(k) {
			if j := c.replica.jobs[k.job]; j != nil && j.accepted {
				v.used.reserve(&j.spec, -1)
			}
			v.active++
		}
	}
	return v
}

// queueAheadPeriod is how long before its expected end a task's room may be given to
// the next one.
const queueAheadPeriod = 6 * units.Second

// endsAt is when an array task that runs on m comes so close to its end, by what
// has been observed of its job, that its room may be given to the next one.
func (c *Controller) endsAt(m *machine, j *job, t schema.Task) units.Micros {
	run, ok := m.agent.runningSince[keyOf(t)]
	avg, _ := j.average()
	if !ok || j.spec.Service || avg == 0 {
		return math.MaxInt64
	}
	return run.at + avg - queueAheadPeriod
}

func (m *machine) lists(k taskKey) bool {
	for _, t := range m.doc.Tasks {
		if keyOf(t) == k {
			return true
		}
	}
	return false
}
