package controller

import (
	"math"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// A team's quota is the most that its tasks may take at once, and its guarantee what its jobs may take
// back from others. Both count whatever may be running. Only the leader of the team's partition
// places its tasks, so that the quota is kept in one place.

// roundingTolerance is what sums of CPUs, GPUs and memory may be off by.
const roundingTolerance = 1e-9

// teamUsage is what the tasks of one team take.
type teamUsage struct{ cpus, gpus float64 }

// usageByTeam is what each team's tasks take.
type usageByTeam map[string]*teamUsage

// teamUsage is what each team's tasks take: whatever may be running, or be started again, tasks on
// deleted machines and in commits in flight included.
func (r *replica) teamUsage() usageByTeam {
	usage := usageByTeam{}
	for _, j := range r.sortedJobs() {
		usage.add(&j.spec, j.countedForQuota())
	}
	return usage
}

// add counts so many more tasks of a job.
func (u usageByTeam) add(spec *schema.Job, tasks int) {
	team := u[spec.Team]
	if team == nil {
		team = &teamUsage{}
		u[spec.Team] = team
	}
	team.cpus += spec.CPUs * float64(tasks)
	team.gpus += spec.GPUs * float64(tasks)
}

// of is what one team's tasks take.
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

// tasksWithinQuota is how many more tasks of a job its team's quota allows at once, by CPUs.
func (e *environment) tasksWithinQuota(j *job, usage usageByTeam) int {
	team := e.team(j.spec.Team)
	if team == nil || team.QuotaCPUs <= 0 {
		return j.spec.Tasks
	}
	return max(0, int((team.QuotaCPUs-usage.of(j.spec.Team).cpus)/j.spec.CPUs+roundingTolerance))
}

// withinGuarantee reports whether a team stays inside its guarantee with so much more.
func (p *plan) withinGuarantee(team string, cpus, gpus float64) bool {
	t := p.team(team)
	used := p.usage.of(team)
	return t != nil && used.cpus+cpus <= t.GuaranteedCPUs+roundingTolerance && used.gpus+gpus <= t.GuaranteedGPUs+roundingTolerance
}

// guaranteedJobs finds the jobs that lie within their team's guarantee: they fit into it together with
// the team's earlier unfinished jobs.
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

// preemptForGuarantee gives a team its guarantee: it takes capacity back from work that other teams
// run beyond theirs. That is for jobs within the guarantee only: a team that wants more waits as
// others do, or teams that all want more than there is would stop each other's tasks without end.
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

// mayPreemptForGuarantee reports whether a task of the victim may be stopped so that j has its guarantee. A
// service of a higher priority may not: it would take the place back at once, and so on, a change each
// time, while all others wait.
func (p *plan) mayPreemptForGuarantee(victim, j *job) bool {
	return victim.spec.Team != j.spec.Team && (!victim.spec.Service || victim.spec.Priority <= j.spec.Priority) &&
		!p.withinGuarantee(victim.spec.Team, 0, 0)
}

// maxPreemptionLoss is how much work may be lost with one task that is stopped for j, in whole
// seconds, so that jobs that have waited alike need not be tried one by one. Capacity falls free all
// the time, and a job within its guarantee is the first to get it: what has just begun is stopped at
// once, what has run for long only for a job that has waited for half as long, or is starving.
// Otherwise a large part of all CPU time is lost by preemption.
func (j *job) maxPreemptionLoss(now units.Micros) units.Micros {
	if j.starving(now) {
		return math.MaxInt64
	}
	seconds := 2 * j.waitingTime(now) / units.Second
	return max(1, seconds) * units.Second
}
