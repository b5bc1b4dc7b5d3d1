package controller

import (
	"math"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/schema"
)

// placementAllowed reports whether the job's constraints on machine type, spot instances and zone allow
// one more task on the machine. For OneZone and Spread, all of the job's tasks that may be running or be
// started again count: those that have a binding, until their completion is stored.
func placementAllowed(j *job, m *machine) bool {
	spec := &j.spec
	if !api.AllowsType(spec, m.doc.Type) || m.doc.Spot && !spec.Spot || spec.Zone != "" && spec.Zone != m.doc.Zone {
		return false
	}
	return !spec.OneZone && !spec.Spread || zoneAllowed(j, m.doc.Zone)
}

// zoneAllowed reports whether one more task of j may be in the zone: with OneZone all tasks are in one
// zone, with Spread at most half of them, rounded up, are in the same zone.
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

// chooseMachine returns the machine with the best score for a task of j, or nil.
func (p *plan) chooseMachine(j *job) *stagedMachine {
	var best *stagedMachine
	bestScore := math.Inf(-1)
	starving, mayUseUnpickedShards := j.starving(p.now), j.mayUseUnpickedShards(p.now)
	for _, m := range p.machines {
		if !m.fits(j) || !p.fitsShard(m.shard) || !placementAllowed(j, m.machine) {
			continue
		}
		if !j.spec.Service && !starving && p.withheldFrom(j, m, mayUseUnpickedShards) {
			continue
		}
		if score := p.score(j, m); score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// withheldFrom reports whether an array may not use the capacity of a machine now: the machine's shard is
// neither picked nor changed by this plan, jobs of the machine's own partition wait for the capacity, or
// the machine is reserved for another job.
func (p *plan) withheldFrom(j *job, m *stagedMachine, mayUseUnpickedShards bool) bool {
	if p.shardsPicked && !mayUseUnpickedShards && !m.shard.picked && !m.shard.changed || p.reservedForLeader(m.shard) {
		return true
	}
	return p.leadership.planning.reservations.reservedForOther(m.machine.name, j)
}

// Bonuses in the score of a machine: a bonus of n offsets n free CPUs, which lower the score.
const (
	scoreServiceImage  = 1000.0 // the machine has the service's image: a start must not wait for a fetch
	scoreArrayImage    = 120.0  // the machine has the array's image
	scoreOwn           = 70.0   // this controller commands the machine
	scoreShardWritten  = 50.0   // its machine shard is written by this plan anyway
	scorePreferredKind = 300.0  // a service on a machine that is not rented, or an array with checkpoints on spot
	scoreRented        = 150.0  // an array on a rented on-demand machine
	scoreSpot          = 100.0  // an array without checkpoints on a spot machine
)

// score rates how well a machine suits a task of j; the highest is best. It does bin packing: a fuller
// machine is preferred, so that large free capacities stay whole.
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
	// Services go on machines that are not rented, so that rented ones become idle and can be deleted.
	// Arrays, whose tasks end sooner, go on rented ones and leave the others free.
	rented := p.replica.rented(m.machine.name)
	switch {
	case j.spec.Service && !rented:
		score += scorePreferredKind
	case !j.spec.Service && m.machine.doc.Spot && j.spec.CheckpointIntervalSeconds > 0:
		score += scorePreferredKind // a task with checkpoints loses little when the machine is reclaimed
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

// place binds a task of j to a machine in this plan. The binding is withdrawn unless the replica shows its entry when the
// result of the plan's transaction is known (planTransaction.withdrawAdded).
func (p *plan) place(m *stagedMachine, j *job, index int) {
	if !j.dependency.Ready() { // checked for every caller: no job starts before its dependencies are done
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

// attemptTermShift is the number of low bits of an attempt that hold the plan count within one term.
const attemptTermShift = 28

// nextAttempt returns the attempt of the tasks that the next plan places. Attempts only grow: the term
// grows with every change of leadership, the plan count within one term. All tasks of a plan share one
// attempt, so that neighbouring tasks are written as one range; an attempt must differ only from other
// attempts of the same task.
func (l *leadership) nextAttempt() uint64 {
	l.planning.plansPlaced++
	return l.term<<attemptTermShift | l.planning.plansPlaced
}
