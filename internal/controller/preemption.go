package controller

import (
	"math"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/units"
)

// preemptionRule says which tasks may be stopped for another task.
type preemptionRule struct {
	eligible func(*job) bool
	maxLoss  units.Micros // most work that one of them may lose; 0: any
}

// taskShape is what a task needs of a machine: once a task fits nowhere, others of the same shape need
// not be tried.
type taskShape struct {
	cpus, gpus, memoryGB  float64
	zone, types           string
	priority              int
	spot, spreadSensitive bool
	team                  string
	maxLoss               units.Micros // most work that a task preempted for a guarantee may lose; 0: no such preemption
}

func shapeOf(j *job) taskShape {
	spec := &j.spec
	shape := taskShape{
		cpus: spec.CPUs, gpus: spec.GPUs, memoryGB: spec.MemGB, zone: spec.Zone, types: strings.Join(spec.Types, ","),
		priority: spec.Priority, spot: spec.Spot, spreadSensitive: spec.Spread || spec.OneZone, team: spec.Team,
	}
	if shape.spreadSensitive {
		shape.team = spec.Team + "/" + j.id // the result depends on where the job's other tasks are
	}
	return shape
}

// Extra costs of preemption on a machine, as equivalent seconds of lost work.
const (
	costImageMissing = 60 // the image must be fetched
	costForeign      = 10 // another controller commands the machine
	costShardWrite   = 10 // its machine shard is not written by this plan yet
	costRented       = 30 // a service would keep a rented machine from being returned
)

// preemption lists the tasks to stop on a machine so that another task fits there.
type preemption struct {
	machine *stagedMachine
	victims []taskKey
	cost    float64 // seconds of lost work plus priorityCost for each priority level, times CPUs; plus the extra costs above
}

// preempt places a task of j by stopping other tasks. The task is entered on the machine with the least
// cost, together with the stops that free capacity for it, so that no other task takes that capacity.
// With needImage only machines that have its image are considered. It reports whether the task was placed.
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

// preemptionOn finds the tasks on one machine to stop for a task of j, the cheapest first; the cost is
// infinite if stopping all eligible tasks does not free enough capacity.
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

// priorityCost is the cost of one priority level, in seconds of lost work: of two tasks with equal CPUs,
// the one of lower priority is stopped first unless it loses at least that much more work per level.
const priorityCost = 1000

// cheapestVictim finds the eligible task on a machine that costs least to stop, apart from those that are
// already chosen.
func (p *plan) cheapestVictim(m *stagedMachine, rule preemptionRule, chosen []taskKey) (victim taskKey, cost float64, found bool) {
	for _, task := range m.kept {
		key := keyOf(task)
		if slices.Contains(chosen, key) {
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
		// Multiplied by CPUs, so that one large task is not stopped where a few small ones that have just
		// begun would suffice.
		taskCost := (loss + float64(j.spec.Priority)*priorityCost) * j.spec.CPUs
		if !found || taskCost < cost {
			victim, cost, found = key, taskCost, true
		}
	}
	return victim, cost, found
}

// workLost returns how many seconds of work are lost when a task is stopped. Only the controller that
// commands a machine knows how long its tasks have run. On another controller's machine, a task counts as
// running since this controller first saw its entry, as a task can't have run for longer than it has been
// entered.
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
