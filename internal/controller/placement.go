package controller

import (
	"math"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/schema"
)

// placementAllowed checks type, kind and zone, given where the job's other tasks may
// be; those in doubt count as well.
func (c *Controller) placementAllowed(j *job, m *machine) bool {
	s := &j.spec
	if !api.AllowsType(s, m.doc.Type) || m.doc.Spot && !s.Spot || s.Zone != "" && s.Zone != m.doc.Zone {
		return false
	}
	return !s.OneZone && !s.Spread || zoneAllowed(j, m.doc.Zone)
}

// zoneAllowed reports whether one more task of j may be in the zone.
func zoneAllowed(j *job, zone string) bool {
	same := 0
	for n, o := range j.bindings {
		if j.completionStored(n) {
			continue
		}
		if o.machine.doc.Zone == zone {
			same++
		} else if j.spec.OneZone {
			return false
		}
	}
	return !j.spec.Spread || same+1 <= (j.spec.Tasks+1)/2
}

func (d *stagedMachine) fits(j *job) bool {
	return d.hasRoomFor(&j.spec) && d.shard.bytesLeft >= taskEntryBytes
}

// chooseMachine finds the best machine for a task of j, or none.
func (b *plan) chooseMachine(j *job) *stagedMachine {
	var best *stagedMachine
	bestScore := math.Inf(-1)
	starving, passed := b.c.starving(j), b.c.overlooked(j)
	for _, d := range b.machines {
		if !d.fits(j) || !b.fitsShard(d.shard) || !b.c.placementAllowed(j, d.machine) {
			continue
		}
		if !j.spec.Service && !starving && b.withheldFrom(j, d, passed) {
			continue
		}
		if score := b.score(j, d); score > bestScore {
			best, bestScore = d, score
		}
	}
	return best
}

// withheldFrom reports whether the room on a machine is not for this array now: its machine shard is
// not among those of this batch, the jobs of its own partition wait for the room, or the
// machine is kept free for another job.
func (b *plan) withheldFrom(j *job, d *stagedMachine, passed bool) bool {
	if b.shardsPicked && !passed && !d.shard.picked && !d.shard.changed || b.reservedForLeader(d.shard) {
		return true
	}
	reservedFor := b.leadership.reservations[d.machine.name].job
	return reservedFor != "" && reservedFor != j.id
}

// What speaks for a machine, in CPUs of free room that would weigh as much.
const (
	scoreServiceImage = 1000.0 // it has the service's image: a start must not wait for a fetch
	scoreArrayImage   = 120.0
	scoreOwn          = 70.0 // this controller commands it
	scoreShardWritten = 50.0 // its machine shard is written by this batch anyway
	scoreLasting      = 300.0
	scoreRented       = 150.0
	scoreSpot         = 100.0
)

// score says how well a machine suits a task of j: the fuller the better, so that large
// gaps stay whole.
func (b *plan) score(j *job, d *stagedMachine) float64 {
	score := -d.cpus
	if d.hasImage(j.spec.Image) && j.spec.Service {
		score += scoreServiceImage
	} else if d.hasImage(j.spec.Image) {
		score += scoreArrayImage
	}
	if d.shard.ownShard {
		score += scoreOwn
	}
	// What lasts goes on machines that stay, so that rented ones fall idle
	// and can be given back; what ends soon leaves the others free.
	rented := b.c.rented(d.machine.name)
	switch {
	case j.spec.Service && !rented:
		score += scoreLasting
	case !j.spec.Service && d.machine.doc.Spot && j.spec.CheckpointIntervalSeconds > 0:
		score += scoreLasting // it loses little when the machine is taken back
	case !j.spec.Service && d.machine.doc.Spot:
		score += scoreSpot
	case !j.spec.Service && rented:
		score += scoreRented
	}
	if d.shard.changed {
		score += scoreShardWritten
	}
	return score
}

// place binds task n of j to d in this batch.
func (b *plan) place(d *stagedMachine, j *job, n int) {
	if !j.dependency.Ready() { // whoever asks: nothing starts before what it needs is done
		b.c.log.Error("refused to place blocked job", "job", j.id)
		return
	}
	b.writeShard(d.shard)
	// Attempts only grow: the epoch does with every take-over, the count within
	// one. All tasks of a batch share theirs, so that neighbours are written as
	// one range; an attempt must differ only from others of the same task.
	if b.attempt == 0 {
		b.leadership.plansPlaced++
		b.attempt = b.leadership.term<<28 | b.leadership.plansPlaced
	}
	t := schema.Task{Job: j.id, Index: n, Attempt: b.attempt}
	d.added = append(d.added, t)
	d.resources.reserve(&j.spec, 1)
	d.shard.bytesLeft -= taskEntryBytes
	d.active++
	b.bytesLeft -= taskEntryBytes
	addUse(b.usage, &j.spec, 1)
	j.addBinding(n, binding{d.machine, t.Attempt}) // taken back if the batch is not stored
	// Only here: an entry that is read once more, because something else on its machine has
	// changed, is no new place, and a job beside it waited for minutes.
	j.waitingSince = 0
}
