package simulator

import (
	"fmt"

	"frostdock.example/frostdock/internal/units"
)

// rejectReason is why a job must not be accepted; empty: it may be accepted.
type rejectReason string

const (
	fitsNoMachine    rejectReason = "fits no machine"
	namesUnknownTeam rejectReason = "names an unknown team"
	namesUnknownZone rejectReason = "names an unknown zone"
	lacksField       rejectReason = "lacks a field"
)

const (
	invalidRequestPeriod  = 700 * units.Millisecond
	firstInvalidJobNumber = 700001
	invalidJobSeconds     = 10
)

// sendInvalid sends requests that no user should send, until the given time: repeated submissions of
// accepted jobs, of which some are malformed, cancellations of done ones, and jobs that can't run.
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
			u.resubmit(job.spec.ID, rng.IntN(2) == 0)
		}
	case 1:
		if job.stage == stageDone && !job.cancelRequested {
			u.cancel(job.spec.ID)
		}
	default:
		u.submitInvalid(job)
	}
}

// submitInvalid submits a copy of the template with a random defect for which it must be rejected.
func (u *fakeUsers) submitInvalid(template *userJob) {
	invalid := &userJob{runSeconds: invalidJobSeconds, spec: template.spec}
	invalid.spec.ID = fmt.Sprintf("j-%06d", firstInvalidJobNumber+u.invalidJobs)
	u.invalidJobs++
	switch u.world.rng.IntN(4) {
	case 0:
		invalid.rejectReason, invalid.spec.CPUs = fitsNoMachine, 100000
	case 1:
		invalid.rejectReason, invalid.spec.Team = namesUnknownTeam, "nobody"
	case 2:
		invalid.rejectReason, invalid.spec.Zone = namesUnknownZone, "nowhere"
	case 3:
		invalid.rejectReason = lacksField
	}
	u.submit(invalid)
}
