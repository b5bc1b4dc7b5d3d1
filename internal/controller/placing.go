package controller

import (
	"math"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/schema"
)

// allowed checks type, kind and zone, given where the job's other tasks may
// be; those in doubt count as well.
func (c *Core) allowed(j *job, m *machine) bool {
	s := &j.spec
	if !api.TypeAllowed(s, m.doc.Type) || m.doc.Spot && !s.Spot || s.Zone != "" && s.Zone != m.doc.Zone {
		return false
	}
	return !s.OneZone && !s.Spread || zoneAllowed(j, m.doc.Zone)
}

// zoneAllowed reports whether one more task of j may be in the zone.
func zoneAllowed(j *job, zone string) bool {
	same := 0
	for n, o := range j.bound {
		if j.stored(n) {
			continue
		}
		if o.m.doc.Zone == zone {
			same++
		} else if j.spec.OneZone {
			return false
		}
	}
	return !j.spec.Spread || same+1 <= (j.spec.Tasks+1)/2
}

func (d *draft) fits(j *job) bool {
	return d.holds(&j.spec) && d.gd.bytes >= taskBytes
}

// choose finds the best machine for a task of j, or none.
func (b *batch) choose(j *job) *draft {
	var best *draft
	bestScore := math.Inf(-1)
	starving, passed := b.c.starving(j), b.c.overlooked(j)
	for _, d := range b.drafts {
		if !d.fits(j) || !b.room(d.gd) || !b.c.allowed(j, d.m) {
			continue
		}
		if !j.spec.Service && !starving && b.keptFrom(j, d, passed) {
			continue
		}
		if score := b.score(j, d); score > bestScore {
			best, bestScore = d, score
		}
	}
	return best
}

// keptFrom reports whether the room on a machine is not for this array now: its machine shard is
// not among those of this batch, the jobs of its own partition wait for the room, or the
// machine is kept free for another job.
func (b *batch) keptFrom(j *job, d *draft, passed bool) bool {
	if b.picked && !passed && !d.gd.picked && !d.gd.changed || b.claimedByOwner(d.gd) {
		return true
	}
	reservedFor := b.o.reservedFor[d.m.name].job
	return reservedFor != "" && reservedFor != j.id
}

// What speaks for a machine, in CPUs of free room that would weigh as much.
const (
	scoreServiceImage = 1000.0 // it has the service's image: a start must not wait for a fetch
	scoreArrayImage   = 120.0
	scoreOwn          = 70.0 // this controller commands it
	scoreWritten      = 50.0 // its machine shard is written by this batch anyway
	scoreLasting      = 300.0
	scoreRented       = 150.0
	scoreSpot         = 100.0
)

// score says how well a machine suits a task of j: the fuller the better, so that large
// gaps stay whole.
func (b *batch) score(j *job, d *draft) float64 {
	score := -d.cpus
	if d.has(j.spec.Image) && j.spec.Service {
		score += scoreServiceImage
	} else if d.has(j.spec.Image) {
		score += scoreArrayImage
	}
	if d.gd.own {
		score += scoreOwn
	}
	// What lasts goes on machines that stay, so that rented ones fall idle
	// and can be given back; what ends soon leaves the others free.
	rented := b.c.rented(d.m.name)
	switch {
	case j.spec.Service && !rented:
		score += scoreLasting
	case !j.spec.Service && d.m.doc.Spot && j.spec.CkptS > 0:
		score += scoreLasting // it loses little when the machine is taken back
	case !j.spec.Service && d.m.doc.Spot:
		score += scoreSpot
	case !j.spec.Service && rented:
		score += scoreRented
	}
	if d.gd.changed {
		score += scoreWritten
	}
	return score
}

// put binds task n of j to d in this batch.
func (b *batch) put(d *draft, j *job, n int) {
	if !j.chain.Ready() { // whoever asks: nothing starts before what it needs is done
		b.c.log.Error("a job that waits for others was to be placed", "job", j.id)
		return
	}
	b.touch(d.gd)
	// Attempts only grow: the epoch does with every take-over, the count within
	// one. All tasks of a batch share theirs, so that neighbours are written as
	// one range; an attempt must differ only from others of the same task.
	if b.attempt == 0 {
		b.o.seq++
		b.attempt = b.o.epoch<<28 | b.o.seq
	}
	t := schema.Task{Job: j.id, Num: n, Attempt: b.attempt}
	d.added = append(d.added, t)
	d.resources.fill(&j.spec, 1)
	d.gd.bytes -= taskBytes
	d.live++
	b.size -= taskBytes
	addUse(b.using, &j.spec, 1)
	j.bind(n, bind{d.m, t.Attempt}) // taken back if the batch is not stored
	// Only here: an entry that is read once more, because something else on its machine has
	// changed, is no new place, and a job beside it waited for minutes.
	j.waitAt = 0
}
