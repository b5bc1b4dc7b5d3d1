package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/schema"
)

// commandPlanner compares the tasks that should be on a machine with those that are there, and returns the
// commands that make up the difference. It has no state of its own and sends nothing; package guard decides
// whether a task may start or must stop.
type commandPlanner struct {
	replica  *replica
	facts    *factSource
	capacity reportedCapacity
}

// reportedCapacity determines how much of a machine is free.
type reportedCapacity interface {
	// reportedFreeCapacity returns the capacity that no reported task uses.
	reportedFreeCapacity(m *machine) *resources
}

// commandsFor returns the commands for a machine; none until its agent has been heard.
func (p *commandPlanner) commandsFor(m *machine) []agent.Command {
	if m.agent.heardAt == 0 {
		return []agent.Command{}
	}
	list := commandList{
		commandPlanner: p, machine: m,
		permissions: p.facts.permissionsOver(m),
		free:        p.capacity.reportedFreeCapacity(m),
		expected:    make(map[taskKey]bool, len(m.doc.Tasks)),
		commands:    []agent.Command{},
	}
	for _, task := range p.entriesByPriority(m) {
		if facts := p.facts.ofTask(m, task); facts.MustStop() == guard.KeepRunning {
			list.start(task, facts)
		} else {
			list.stop(task)
		}
	}
	list.clearUnexpected()
	return list.commands
}

// entriesByPriority returns the tasks that are entered on a machine, the highest priority first, because
// tasks may be waiting for free capacity there.
func (p *commandPlanner) entriesByPriority(m *machine) []schema.Task {
	tasks := slices.Clone(m.doc.Tasks)
	slices.SortStableFunc(tasks, func(a, b schema.Task) int {
		return cmp.Or(cmp.Compare(p.priorityOf(b), p.priorityOf(a)), cmp.Compare(a.Attempt, b.Attempt))
	})
	return tasks
}

func (p *commandPlanner) priorityOf(task schema.Task) int {
	if j := p.replica.jobs[task.Job]; j != nil {
		return j.spec.Priority
	}
	return 0
}

// commandList collects the commands for one machine.
type commandList struct {
	*commandPlanner
	machine     *machine
	permissions guard.Permissions
	free        *resources       // capacity left for starts
	expected    map[taskKey]bool // tasks that clearUnexpected leaves on the machine
	commands    []agent.Command
}

func (l *commandList) add(action agent.Action, key taskKey, gracePeriodSeconds float64) {
	l.commands = append(l.commands, agent.Command{Action: action, Task: key.task(), Attempt: key.attempt, GracePeriodSeconds: gracePeriodSeconds})
}

// start adds the start of a task that should run and is not reported. The task may be entered together with
// the stops that free its capacity; its start waits until that capacity is free.
func (l *commandList) start(task schema.Task, facts guard.TaskFacts) {
	key := keyOf(task)
	l.expected[key] = true
	_, reported := l.machine.agent.tasks[key]
	// A task whose entry is being removed must not be started again: the same write may have placed it
	// on another machine.
	if reported || l.machine.agent.entriesBeingRemoved[key] {
		return
	}
	if facts.MayStart(l.permissions) == guard.StartAllowed && l.free.tryReserve(&l.replica.jobs[task.Job].spec) {
		l.add(agent.Start, key, 0)
	}
}

// stop adds the stop of a task that is entered but should not run. It leaves tasks whose job is over, or
// whose completion is stored, to clearUnexpected.
func (l *commandList) stop(task schema.Task) {
	j := l.replica.jobOfUnstoredTask(task)
	if j == nil {
		return
	}
	key := keyOf(task)
	l.expected[key] = true // not to be removed before its completion is stored
	status, reported := l.machine.agent.tasks[key]
	if !reported || status.State == agent.Ended {
		return
	}
	gracePeriod := 0.0
	if task.StopMode == schema.StopGracefully {
		gracePeriod = j.spec.CheckpointSeconds
	}
	l.add(agent.Stop, key, gracePeriod)
}

// clearUnexpected stops tasks that are on the machine but not expected there, and removes them once they
// have ended. After a removal, a late start would start the attempt again, so removals wait until no start
// command can still arrive.
func (l *commandList) clearUnexpected() {
	quiesced := l.facts.quiesced(l.machine)
	for _, key := range l.machine.agent.sortedTasks() {
		switch ended := l.machine.agent.tasks[key].State == agent.Ended; {
		case l.expected[key]:
		case !ended:
			l.add(agent.Stop, key, 0)
		case quiesced:
			l.add(agent.Remove, key, 0)
		}
	}
}
