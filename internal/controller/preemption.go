package controller

import (
	"math"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/units"
)

// preemptionRule says which tasks may be stopped for another.
type preemptionRule struct {
	eligible func(*job) bool
	maxLoss  units.Micros // the most that may be lost with one of them; 0: any
}

// taskShape is what a task needs of a machine: once one fits nowhere, others that need the same need
// not be tried.
type taskShape struct {
	cpus, gpus, memoryGB  float64
	zone, types           string
	priority              int
	spot, spreadSensitive bool
	team                  string
	maxLoss               units.Micros // within a guarantee, from teams beyond theirs: what may be lost; 0: no preemption
}

func shapeOf(j *job) taskShape {
	spec := &j.spec
	shape := taskShape{
		cpus: spec.CPUs, gpus: spec.GPUs, memoryGB: spec.MemGB, zone: spec.Zone, types: strings.Join(spec.Types, ","),
		priority: spec.Priority, spot: spec.Spot, spreadSensitive: spec.Spread || spec.OneZone, team: spec.Team,
	}
	if shape.spreadSensitive {
		shape.team = spec.Team + "/" + j.id // depends on where its other tasks are
	}
	return shape
}

// What speaks against preemption on a machine, in seconds of work that would weigh as much.
const (
	costImageMissing = 60
	costForeign      = 10 // another controller commands it
	costShardWrite   = 10 // its machine shard is not written by this plan yet
	costRented       = 30 // a service there keeps a rented machine
)

// preemption is the tasks to stop on a machine so that another fits there.
type preemption struct {
	machine *stagedMachine
	victims []taskKey
	cost    float64 // work that is lost, in seconds, and what else speaks against it
}

// preempt puts a task of j in the place of others: it enters it on the machine where least is lost,
// together with the stops that free capacity for it, so that nobody else takes that. With needImage only
// machines that have its image count. It reports whether a place was found.
func (p *plan) preempt(j *job, index int, needImage bool, rule preemptionRule) bool {
	best := preemption{cost: math.Inf(1)}
	for _, m := range p.machines {
		if !placementAllowed(j, m.machine) || m.shard.bytesLeft < taskEntryBytes || !p.fitsShard(m.shard) || needImage && !m.hasImage(j.spec.Image) {
			continue
		}
		if candidate := p.preemptionOn(m, j, rule); candidate.cost < best.cost {
			best = candidate
		}
	}
	if best.machine == nil {
		return false
	}
	for _, victim := range best.victims {
		best.machine.preempt(victim, &p.replica.jobs[victim.job].spec)
		p.log.Info("preempting task", "task", victim.task(), "machine", best.machine.machine.name, "for", j.id, "partition", p.leadership.partition)
	}
	p.place(best.machine, j, index)
	return true
}

// preemptionOn finds the tasks on one machine to stop for a task of j, the cheapest first; its cost is
// infinite if there are not enough.
func (p *plan) preemptionOn(m *stagedMachine, j *job, rule preemptionRule) preemption {
	free := m.resources
	cost := 0.0
	var victims []taskKey
	for !free.canFit(&j.spec) {
		victim, victimCost, found := p.cheapestVictim(m, rule, victims)
		if !found {
			cost = math.Inf(1)
			break
		}
		victims = append(victims, victim)
		free.reserve(&p.replica.jobs[victim.job].spec, -1)
		cost += victimCost
	}
	if !m.hasImage(j.spec.Image) {
		cost += costImageMissing
	}
	if !m.shard.ownShard {
		cost += costForeign
	}
	if !m.shard.changed {
		cost += costShardWrite
	}
	if j.spec.Service && p.replica.rented(m.machine.name) {
		cost += costRented
	}
	return preemption{m, victims, cost}
}

// priorityCost keeps the priorities apart when losses, in seconds, are compared: the lower priority is
// stopped first, whatever it loses.
const priorityCost = 1000

// cheapestVictim finds the eligible task on a machine that loses least when it is stopped, apart from
// those that are taken already.
func (p *plan) cheapestVictim(m *stagedMachine, rule preemptionRule, taken []taskKey) (victim taskKey, cost float64, found bool) {
	for _, task := range m.kept {
		key := keyOf(task)
		if slices.Contains(taken, key) {
			continue
		}
		j := p.replica.acceptedJob(task.Job)
		if j == nil || !p.facts.shouldRun(m.machine, task) || m.stops[key] > 0 || !rule.eligible(j) {
			continue
		}
		loss := p.workLost(m.machine, j, key)
		if rule.maxLoss > 0 && loss > rule.maxLoss.Seconds() {
			continue
		}
		// By CPUs, so that one large task is not stopped where a few small ones that have just begun
		// would do.
		taskCost := (loss + float64(j.spec.Priority)*priorityCost) * j.spec.CPUs
		if !found || taskCost < cost {
			victim, cost, found = key, taskCost, true
		}
	}
	return victim, cost, found
}

// workLost is how many seconds of work are lost when a task is stopped. What a task on another
// controller's machine has done is known to that one only; it is no more than the time since it was
// entered there.
func (p *plan) workLost(m *machine, j *job, key taskKey) float64 {
	var began units.Micros
	if m.agent == nil {
		began = m.entriesSeen[key].at
	} else if run, runs := m.agent.runningSince[key]; runs {
		began = run.at
	} else {
		return 0
	}
	loss := (p.now - began).Seconds()
	if j.spec.CheckpointIntervalSeconds > 0 {
		loss = min(loss, j.spec.CheckpointIntervalSeconds)
	}
	return loss
}
