package simulator

import (
	"fmt"

	"frostdock.example/frostdock/internal/units"
)

// rejectReason is why a job must not be accepted; empty: it may be.
type rejectReason string

const (
	fitsNoMachine rejectReason = "fits no machine"
	hasNoTeam     rejectReason = "has no team"
	namesNoZone   rejectReason = "names no zone"
	lacksField    rejectReason = "lacks a field"
)

const (
	invalidRequestPeriod  = 700 * units.Millisecond
	firstInvalidJobNumber = 700001
	invalidJobSeconds     = 10
)

// sendInvalid sends what no user should send, until then: repeats of unfinished jobs, of which some
// are malformed, cancellations of done ones, and jobs that can't run.
func (u *fakeUsers) sendInvalid(until units.Micros) {
	rng := u.world.rng
	if u.world.now > until {
		return
	}
	u.world.after(invalidRequestPeriod, func() { u.sendInvalid(until) })
	jobs := u.sortedJobs()
	if len(jobs) == 0 {
		return
	}
	job := jobs[rng.IntN(len(jobs))]
	switch rng.IntN(4) {
	case 0:
		if job.acceptedAt > 0 {
			u.repeat(job.spec.ID, rng.IntN(2) == 0)
		}
	case 1:
		if job.stage == stageDone && !job.cancelRequested {
			u.cancel(job.spec.ID)
		}
	default:
		u.submitInvalid(job)
	}
}

// submitInvalid submits a job like a given one, but for something that forbids it.
func (u *fakeUsers) submitInvalid(like *userJob) {
	invalid := &userJob{runSeconds: invalidJobSeconds, spec: like.spec}
	invalid.spec.ID = fmt.Sprintf("j-%06d", firstInvalidJobNumber+u.invalidJobs)
	u.invalidJobs++
	switch u.world.rng.IntN(4) {
	case 0:
		invalid.rejectReason, invalid.spec.CPUs = fitsNoMachine, 100000
	case 1:
		invalid.rejectReason, invalid.spec.Team = hasNoTeam, "nobody"
	case 2:
		invalid.rejectReason, invalid.spec.Zone = namesNoZone, "nowhere"
	case 3:
		invalid.rejectReason = lacksField
	}
	u.submit(invalid)
}
