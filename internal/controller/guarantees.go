package controller

import (
	"math"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// A team's quota is the most that its tasks may use at the same time, and its guarantee is what its jobs may take
// back from other teams by preemption. Both count all tasks that may be running. Only the leader of the
// team's partition places its tasks, so that the quota is enforced in one place.

// roundingTolerance is the rounding error allowed in sums of CPUs, GPUs and memory.
const roundingTolerance = 1e-9

// teamUsage is the capacity that the tasks of one team use.
type teamUsage struct{ cpus, gpus float64 }

// usageByTeam is the usage of each team, by team name.
type usageByTeam map[string]*teamUsage

// teamUsage returns the usage of each team. It counts all tasks that may be running or be started again,
// including tasks on deleted machines and in commits in flight.
func (r *replica) teamUsage() usageByTeam {
	usage := usageByTeam{}
	for _, j := range r.sortedJobs() {
		usage.add(&j.spec, j.countedForQuota())
	}
	return usage
}

// add adds the given number of tasks of a job to its team's usage.
func (u usageByTeam) add(spec *schema.Job, tasks int) {
	team := u[spec.Team]
	if team == nil {
		team = &teamUsage{}
		u[spec.Team] = team
	}
	team.cpus += spec.CPUs * float64(tasks)
	team.gpus += spec.GPUs * float64(tasks)
}

// of returns the usage of one team.
func (u usageByTeam) of(team string) teamUsage {
	if usage := u[team]; usage != nil {
		return *usage
	}
	return teamUsage{}
}

// underQuota reports whether the job's team may run one more task of it.
func (p *plan) underQuota(j *job) bool {
	team := p.team(j.spec.Team)
	if team == nil {
		return false
	}
	used := p.usage.of(j.spec.Team)
	return (team.QuotaCPUs <= 0 || used.cpus+j.spec.CPUs <= team.QuotaCPUs+roundingTolerance) &&
		(team.QuotaGPUs <= 0 || used.gpus+j.spec.GPUs <= team.QuotaGPUs+roundingTolerance)
}

// tasksWithinQuota returns how many more tasks of a job its team's CPU quota allows.
func (e *environment) tasksWithinQuota(j *job, usage usageByTeam) int {
	team := e.team(j.spec.Team)
	if team == nil || team.QuotaCPUs <= 0 {
		return j.spec.Tasks
	}
	return max(0, wholeTasks((team.QuotaCPUs-usage.of(j.spec.Team).cpus)/j.spec.CPUs+roundingTolerance))
}

// withinGuarantee reports whether a team stays within its guarantee if its usage grows by cpus and gpus.
func (p *plan) withinGuarantee(team string, cpus, gpus float64) bool {
	t := p.team(team)
	used := p.usage.of(team)
	return t != nil && used.cpus+cpus <= t.GuaranteedCPUs+roundingTolerance && used.gpus+gpus <= t.GuaranteedGPUs+roundingTolerance
}

// guaranteedJobs finds the jobs that are within their team's guarantee: all unfinished tasks of the job,
// and of the team's jobs accepted before it, fit into the guarantee together.
func (p *plan) guaranteedJobs() map[*job]bool {
	guaranteed := map[*job]bool{}
	wanted := usageByTeam{}
	for _, j := range p.replica.sortedJobs() {
		if j.cancelled() || j.blocked() {
			continue
		}
		wanted.add(&j.spec, j.spec.Tasks-j.doneCount())
		team, want := p.team(j.spec.Team), wanted.of(j.spec.Team)
		guaranteed[j] = team != nil && want.cpus <= team.GuaranteedCPUs+roundingTolerance && want.gpus <= team.GuaranteedGPUs+roundingTolerance
	}
	return guaranteed
}

// preemptForGuarantee places a task of a job within its team's guarantee by preempting tasks of teams
// that use more than theirs. Only jobs within the guarantee may preempt; a team's other jobs wait, since
// teams that all want more capacity than exists would stop each other's tasks without end.
// It reports whether the task was placed.
func (p *plan) preemptForGuarantee(j *job, index int) bool {
	if !p.guaranteed[j] || !p.withinGuarantee(j.spec.Team, j.spec.CPUs, j.spec.GPUs) {
		return false
	}
	shape := shapeOf(j)
	shape.maxLoss = j.maxPreemptionLoss(p.now)
	if p.unplaceable[shape] {
		return false
	}
	found := p.preempt(j, index, false, preemptionRule{
		eligible: func(victim *job) bool { return p.mayPreemptForGuarantee(victim, j) },
		maxLoss:  shape.maxLoss,
	})
	p.unplaceable[shape] = !found
	return found
}

// mayPreemptForGuarantee reports whether a task of the victim may be stopped to place j within its team's
// guarantee. A service of a higher priority may not be stopped: it would immediately preempt j's task, and
// so on without end; each round would use up a change, and all other jobs would wait.
func (p *plan) mayPreemptForGuarantee(victim, j *job) bool {
	return victim.spec.Team != j.spec.Team && (!victim.spec.Service || victim.spec.Priority <= j.spec.Priority) &&
		!p.withinGuarantee(victim.spec.Team, 0, 0)
}

// maxPreemptionLoss returns how much work one task that is stopped for j may lose, in whole seconds, so
// that jobs that have waited equally long need not be tried one by one (see taskShape). Capacity becomes
// free all the time, and a job within its guarantee is the first to get it. So a task that has just begun
// may be stopped immediately, but a task that has run for long only for a job that has waited for half as
// long, or is starving. Otherwise a large part of all CPU time would be lost by preemption.
func (j *job) maxPreemptionLoss(now units.Micros) units.Micros {
	if j.starving(now) {
		return math.MaxInt64
	}
	seconds := 2 * j.waitingTime(now) / units.Second
	return max(1, seconds) * units.Second
}
