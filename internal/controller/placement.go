package controller

import (
	"math"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/schema"
)

// placementAllowed checks type, kind and zone of a machine, given where the job's other tasks may be;
// those in doubt count as well.
func placementAllowed(j *job, m *machine) bool {
	spec := &j.spec
	if !api.AllowsType(spec, m.doc.Type) || m.doc.Spot && !spec.Spot || spec.Zone != "" && spec.Zone != m.doc.Zone {
		return false
	}
	return !spec.OneZone && !spec.Spread || zoneAllowed(j, m.doc.Zone)
}

// zoneAllowed reports whether one more task of j may be in the zone.
func zoneAllowed(j *job, zone string) bool {
	same := 0
	for index, bound := range j.bindings {
		if j.completionStored(index) {
			continue
		}
		if bound.machine.doc.Zone == zone {
			same++
		} else if j.spec.OneZone {
			return false
		}
	}
	return !j.spec.Spread || same+1 <= (j.spec.Tasks+1)/2
}

// chooseMachine finds the best machine for a task of j, or none.
func (p *plan) chooseMachine(j *job) *stagedMachine {
	var best *stagedMachine
	bestScore := math.Inf(-1)
	starving, overlooked := j.starving(p.now), j.overlooked(p.now)
	for _, m := range p.machines {
		if !m.fits(j) || !p.fitsShard(m.shard) || !placementAllowed(j, m.machine) {
			continue
		}
		if !j.spec.Service && !starving && p.withheldFrom(j, m, overlooked) {
			continue
		}
		if score := p.score(j, m); score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// withheldFrom reports whether the capacity of a machine is not for this array now: its shard is not
// among those that this plan picked, the jobs of its own partition wait for it, or it is reserved
// for another job.
func (p *plan) withheldFrom(j *job, m *stagedMachine, overlooked bool) bool {
	if p.shardsPicked && !overlooked && !m.shard.picked && !m.shard.changed || p.reservedForLeader(m.shard) {
		return true
	}
	return p.leadership.planning.reservations.forAnother(m.machine.name, j)
}

// What speaks for a machine, in CPUs of free capacity that would weigh as much.
const (
	scoreServiceImage = 1000.0 // it has the service's image: a start must not wait for a fetch
	scoreArrayImage   = 120.0
	scoreOwn          = 70.0 // this controller commands it
	scoreShardWritten = 50.0 // its machine shard is written by this plan anyway
	scoreLasting      = 300.0
	scoreRented       = 150.0
	scoreSpot         = 100.0
)

// score says how well a machine suits a task of j. It packs bins: the fuller the better, so that large
// free capacities stay whole.
func (p *plan) score(j *job, m *stagedMachine) float64 {
	score := -m.cpus
	if m.hasImage(j.spec.Image) && j.spec.Service {
		score += scoreServiceImage
	} else if m.hasImage(j.spec.Image) {
		score += scoreArrayImage
	}
	if m.shard.ownShard {
		score += scoreOwn
	}
	// What lasts goes on machines that stay, so that rented ones fall idle and can be deleted;
	// what ends soon leaves the others free.
	rented := p.replica.rented(m.machine.name)
	switch {
	case j.spec.Service && !rented:
		score += scoreLasting
	case !j.spec.Service && m.machine.doc.Spot && j.spec.CheckpointIntervalSeconds > 0:
		score += scoreLasting // it loses little when the machine is taken back
	case !j.spec.Service && m.machine.doc.Spot:
		score += scoreSpot
	case !j.spec.Service && rented:
		score += scoreRented
	}
	if m.shard.changed {
		score += scoreShardWritten
	}
	return score
}

// place binds a task of j to a machine in this plan. The binding is taken back if the plan is not
// stored.
func (p *plan) place(m *stagedMachine, j *job, index int) {
	if !j.dependency.Ready() { // whoever asks: nothing starts before its dependencies are done
		p.log.Error("refused to place blocked job", "job", j.id)
		return
	}
	p.writeShard(m.shard)
	if p.attempt == 0 {
		p.attempt = p.leadership.nextAttempt()
	}
	m.add(schema.Task{Job: j.id, Index: index, Attempt: p.attempt}, &j.spec)
	p.budget.takeBytes(taskEntryBytes)
	p.usage.add(&j.spec, 1)
	j.addBinding(index, binding{m.machine, p.attempt})
	j.notePlaced()
}

// attemptTermShift leaves the low bits of an attempt to the plans of one term.
const attemptTermShift = 28

// nextAttempt is the attempt of the tasks that the next plan places. Attempts only grow: the term does
// with every change of leadership, the count within one. All tasks of a plan share theirs, so that
// neighbours are written as one range; an attempt must differ only from others of the same task.
func (l *leadership) nextAttempt() uint64 {
	l.planning.plansPlaced++
	return l.term<<attemptTermShift | l.planning.plansPlaced
}
