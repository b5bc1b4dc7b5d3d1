package controller

import (
	"slices"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/units"
)

// reservationTable reserves machines of a partition for arrays that have not begun. Without reservations,
// the capacity for a large task never becomes free all at once while smaller tasks wait, and the last job
// in the order would wait for all others. Reservations are lost with the leadership.
type reservationTable struct {
	byMachine map[string]reservation
	notBefore units.Micros // earliest time of the next reservation
}

// reservation is the job that a machine is reserved for, and since when.
type reservation struct {
	job   string
	since units.Micros
}

func newReservationTable() reservationTable {
	return reservationTable{byMachine: map[string]reservation{}}
}

const (
	// maxFirstTaskWait is how long a job may wait for its first task before a machine is reserved for
	// it. Tasks that run there for a minute then still end within the four minutes in which the largest
	// jobs must begin.
	maxFirstTaskWait = 60 * units.Second

	// reservationPeriod is how long one reservation of a machine may last. Small jobs must not have to
	// wait for as long as the large job does.
	reservationPeriod = 60 * units.Second

	// machinesPerReservation bounds the reservations: one more may be made while at most 1/20 of the
	// machines that accept tasks are reserved.
	machinesPerReservation = 20
)

// reservedForOther reports whether the machine is reserved for a job other than j.
func (r *reservationTable) reservedForOther(machine string, j *job) bool {
	reservedFor := r.byMachine[machine].job
	return reservedFor != "" && reservedFor != j.id
}

// has reports whether a machine is reserved for the job.
func (r *reservationTable) has(j *job) bool {
	for _, reserved := range r.byMachine {
		if reserved.job == j.id {
			return true
		}
	}
	return false
}

// expire drops the reservations that are no longer needed, and those that have lasted longer than
// reservationPeriod. After dropping one that was still needed, no new one is made for half of that period.
func (r *reservationTable) expire(now units.Micros, needed func(jobID string) bool) {
	for name, reserved := range r.byMachine {
		stillNeeded, overdue := needed(reserved.job), now-reserved.since > reservationPeriod
		if !stillNeeded || overdue {
			delete(r.byMachine, name)
		}
		if stillNeeded && overdue {
			r.notBefore = now + reservationPeriod/2
		}
	}
}

// expireReservations drops the reservations of jobs that do not need one any more, and overdue ones.
func (p *plan) expireReservations(active []*job) {
	p.leadership.planning.reservations.expire(p.now, func(jobID string) bool {
		return slices.ContainsFunc(active, func(j *job) bool {
			return j.id == jobID && !j.begun() && j.failures == 0
		})
	})
}

// reserveMachine reserves the machine with the most free CPUs for a job that has not begun.
func (p *plan) reserveMachine(j *job) {
	reservations := &p.leadership.planning.reservations
	if !p.mayReserve(j, reservations) || reservations.has(j) {
		return
	}
	var best *stagedMachine
	for _, m := range p.machines {
		if p.reservableFor(j, m) && reservations.byMachine[m.machine.name].job == "" && (best == nil || m.cpus > best.cpus) {
			best = m
		}
	}
	if best != nil {
		reservations.byMachine[best.machine.name] = reservation{j.id, p.now}
		p.log.Info("reserving machine", "machine", best.machine.name, "for", j.id)
	}
}

// mayReserve reports whether one more machine may be reserved, for this job.
func (p *plan) mayReserve(j *job, reservations *reservationTable) bool {
	return j.failures == 0 && p.now >= reservations.notBefore && p.unixTime-j.eligibleSince() >= maxFirstTaskWait &&
		len(reservations.byMachine) <= len(p.machines)/machinesPerReservation && p.underQuota(j)
}

// reservableFor reports whether the machine, once empty, can take a task of the job.
func (p *plan) reservableFor(j *job, m *stagedMachine) bool {
	machineType := p.catalog.machineType(m.machine.doc.Type)
	return m.shard.ownShard && m.usable && machineType != nil && api.TaskFits(&j.spec, machineType) && placementAllowed(j, m.machine)
}
