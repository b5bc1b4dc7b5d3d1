package simulator

import (
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/units"
)

const (
	// maxWaiting is how long a task may wait beside free capacity.
	maxWaiting = 90 * units.Second
	// startDeadline is how soon the largest jobs must start.
	startDeadline = 240 * units.Second
	// Every so many jobs of a class, one counts as large.
	largestJobsDivisor = 10

	classPrefix = "class "
	teamPrefix  = "team "
)

// waiting is told whether a task of the job waits beside a machine that has free capacity for it,
// while nothing forbids it to run there.
func (c *Checker) waiting(jobID, machine string, waits bool) {
	job := c.jobs[jobID]
	switch {
	case !waits || !c.faultsOver():
		job.waitingSince = 0
	case job.waitingSince == 0:
		job.waitingSince = c.now
	case c.now-job.waitingSince > maxWaiting:
		c.violate(RuleLeftWaiting, "a task of %s has waited since %.1f, and %s has free capacity for it", jobID, job.waitingSince.Seconds(), machine)
		job.waitingSince = c.now
	}
}

// Finish closes a run: it checks which jobs have been served.
func (c *Checker) Finish() {
	if c.starts == 0 {
		c.violate(RuleNothingRan, "no task was started")
	}
	groups := map[string][]*jobHistory{}
	for _, id := range sortedKeys(c.jobs) {
		if job := c.jobs[id]; c.shouldHaveStarted(job) {
			class, team := classPrefix+job.spec.Class, teamPrefix+job.spec.Team
			groups[class] = append(groups[class], job)
			groups[team] = append(groups[team], job)
		}
	}
	for _, name := range sortedKeys(groups) {
		c.checkHalfStarted(name, groups[name])
		if strings.HasPrefix(name, classPrefix) {
			c.checkLargestJobs(name, groups[name])
		}
	}
}

// shouldHaveStarted leaves out jobs that came late, or that their users gave up: these are nobody's
// fault.
func (c *Checker) shouldHaveStarted(job *jobHistory) bool {
	readyAt, ready := c.readyAt(job)
	return job.accepted && !c.mayBeCancelled(job) && ready && c.now-readyAt > startDeadline
}

// checkHalfStarted checks that at least half of some jobs have started.
func (c *Checker) checkHalfStarted(name string, jobs []*jobHistory) {
	started := 0
	for _, job := range jobs {
		if job.startedAt > 0 {
			started++
		}
	}
	if started*2 < len(jobs) {
		c.violate(RuleUnserved, "%s: %d of %d jobs have started", name, started, len(jobs))
	}
}

// checkLargestJobs checks that at least half of a class's largest jobs have started in time: of the
// tenth with the most tasks.
func (c *Checker) checkLargestJobs(name string, jobs []*jobHistory) {
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, func(a, b *jobHistory) int { return b.spec.Tasks - a.spec.Tasks })
	jobs = jobs[:(len(jobs)+largestJobsDivisor-1)/largestJobsDivisor]
	started := 0
	for _, job := range jobs {
		readyAt, _ := c.readyAt(job)
		if job.startedAt > 0 && job.startedAt-readyAt <= startDeadline {
			started++
		}
	}
	if started*2 < len(jobs) {
		c.violate(RuleUnserved, "%s: %d of its %d largest jobs started in time", name, started, len(jobs))
	}
}
