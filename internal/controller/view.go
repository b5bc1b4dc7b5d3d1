package controller

import (
	"math"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// view is what a machine's entry and its reports say about its room. Looking at
// every task of every machine for each plan was half of all the work of a large
// fleet, so it is kept until something that it depends on has changed.
type view struct {
	until units.Micros  // it may have changed by then; 0: nothing is kept
	keep  []schema.Task // entries that must stay
	live  int           // tasks that may be active
	used  resources
	soon  resources // room of array tasks that are about to end
}

// viewAge bounds how long a view is kept, whatever may have been overlooked.
const viewAge = 5 * units.Second

// touch drops what is kept of a machine: its entry, its reports or one of its
// jobs has changed.
func (m *machine) touch() { m.views = [2]view{} }

// survey makes a machine's view, as its commander or as somebody else.
func (c *Core) survey(m *machine, own bool) view {
	rt := m.rt
	v := view{until: c.now + viewAge}
	if own && c.now <= rt.leaseEnd {
		v.until = min(v.until, rt.leaseEnd+1)
	}
	if own && c.now <= rt.launchOver() {
		v.until = min(v.until, rt.launchOver()+1)
	}
	for _, task := range m.doc.Tasks {
		j := c.replica.jobs[task.Job]
		over := j == nil || !j.known || j.done.Has(task.Num)
		active := !over && task.Ran == 0 && !j.isDone(task.Num) // its commander has seen its end: the room is free
		if own {
			k := keyOf(task)
			rel := c.releasable(m, task)
			piece, there := rt.pieces[k]
			running := there && piece.State != agent.Ended && c.now <= rt.leaseEnd
			if rel && !running {
				continue
			}
			over = rel
			active = j != nil && (running || !j.isDone(task.Num))
		}
		if !over || !own {
			v.keep = append(v.keep, task)
		}
		if !active {
			continue
		}
		v.live++
		v.used.fill(&j.spec, -1)
		if own {
			if at := c.endsAt(m, j, task); at <= c.now {
				v.soon.fill(&j.spec, -1)
			} else {
				v.until = min(v.until, at)
			}
		}
	}
	if !own {
		return v
	}
	for k, piece := range rt.pieces { // tasks that nobody lists take room until they are gone
		if piece.State != agent.Ended && !m.lists(k) {
			if j := c.replica.jobs[k.job]; j != nil && j.known {
				v.used.fill(&j.spec, -1)
			}
			v.live++
		}
	}
	return v
}

// queueAhead is how long before its expected end a task's room may be given to
// the next one.
const queueAhead = 6 * units.Second

// endsAt is when an array task that runs on m comes so close to its end, by what
// has been observed of its job, that its room may be given to the next one.
func (c *Core) endsAt(m *machine, j *job, t schema.Task) units.Micros {
	run, ok := m.rt.runs[keyOf(t)]
	avg, _ := j.average()
	if !ok || j.spec.Service || avg == 0 {
		return math.MaxInt64
	}
	return run.at + avg - queueAhead
}

func (m *machine) lists(k taskKey) bool {
	for _, t := range m.doc.Tasks {
		if keyOf(t) == k {
			return true
		}
	}
	return false
}
