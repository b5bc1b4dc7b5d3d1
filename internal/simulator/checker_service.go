package simulator

import (
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/units"
)

const (
	// maxWaiting is how long a task may wait while a machine has free capacity for it.
	maxWaiting = 90 * units.Second
	// startDeadline is how soon a class's largest jobs must start after they are accepted and their
	// dependencies are done.
	startDeadline = 240 * units.Second
	// largestJobsDivisor makes the largest 1/10 of a class's jobs, rounded up, count as its largest jobs.
	largestJobsDivisor = 10

	classPrefix = "class "
	teamPrefix  = "team "
)

// waiting is called in each waiting check. waits says whether a task of the job waits although it may
// run on the given machine, which has free capacity for it.
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

// Finish is called at the end of a run. It checks that enough jobs of each class and team have started.
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

// shouldHaveStarted reports whether a job must have started by now: its cancellation has not been requested,
// and it has been accepted and its dependencies done for more than startDeadline. If a job was submitted late
// or given up by its user, controllers are not to blame that it has not started.
func (c *Checker) shouldHaveStarted(job *jobHistory) bool {
	readyAt, ready := c.readyAt(job)
	return job.accepted && !c.mayBeCancelled(job) && ready && c.now-readyAt > startDeadline
}

// checkHalfStarted checks that at least half of the given jobs have started. name is the class or team
// of the jobs, for messages.
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

// checkLargestJobs checks that at least half of a class's largest jobs, the tenth with the most tasks,
// have started within startDeadline.
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
