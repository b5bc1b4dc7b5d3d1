package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/schema"
)

// commandPlanner compares what should be on a machine with what is there. It keeps nothing and sends
// nothing; whether a task may start or must stop is decided by package guard.
type commandPlanner struct {
	replica  *replica
	facts    *factSource
	capacity reportedCapacity
}

// reportedCapacity tells how much of a machine is free.
type reportedCapacity interface {
	// reportedFreeCapacity is what no reported task uses.
	reportedFreeCapacity(m *machine) *resources
}

// commandsFor lists the commands for a machine; none before its agent was heard.
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

// entriesByPriority lists the tasks that are entered on a machine, the most important first: each may be
// waiting for free capacity.
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

// commandList is the commands for one machine as they are put together.
type commandList struct {
	*commandPlanner
	machine     *machine
	permissions guard.Permissions
	free        *resources       // what is left for starts
	expected    map[taskKey]bool // tasks that may be on the machine for now
	commands    []agent.Command
}

func (l *commandList) add(action agent.Action, key taskKey, gracePeriodSeconds float64) {
	l.commands = append(l.commands, agent.Command{Action: action, Task: key.task(), Attempt: key.attempt, GracePeriodSeconds: gracePeriodSeconds})
}

// start starts a task that should run and is not there. It may be entered together with the stops that
// make capacity for it: it waits until that is free.
func (l *commandList) start(task schema.Task, facts guard.TaskFacts) {
	key := keyOf(task)
	l.expected[key] = true
	_, there := l.machine.agent.tasks[key]
	// One whose entry leaves must not be started again meanwhile: the same write may have put it
	// elsewhere.
	if there || l.machine.agent.entriesLeaving[key] {
		return
	}
	if facts.MayStart(l.permissions) == guard.StartAllowed && l.free.tryReserve(&l.replica.jobs[task.Job].spec) {
		l.add(agent.Start, key, 0)
	}
}

// stop stops a task that should not run though it is entered. Those of jobs that are over are left to
// clearUnexpected.
func (l *commandList) stop(task schema.Task) {
	j := l.replica.unstoredJobOf(task)
	if j == nil {
		return
	}
	key := keyOf(task)
	l.expected[key] = true // not to be removed before its completion is stored
	status, there := l.machine.agent.tasks[key]
	if !there || status.State == agent.Ended {
		return
	}
	gracePeriod := 0.0
	if task.StopMode == schema.StopGracefully {
		gracePeriod = j.spec.CheckpointSeconds
	}
	l.add(agent.Stop, key, gracePeriod)
}

// clearUnexpected stops and then removes what is on the machine and nobody expects there. Once a task is removed, a
// late start would start the attempt anew: that waits until no such command can be under way.
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
