package controller

import (
	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// dependencyGraph keeps the graph of jobs with dependencies in step with the replica. What an outcome is,
// only the store says: a job may start when all its dependencies have a stored outcome "done". Its
// cancellation is derived from the stored outcome of any of its dependencies, direct or
// transitive; so one write cancels all dependents, and no order of crashes or late submissions leaves
// one out. The dependents' own outcomes are written afterwards. It never writes to the store.
type dependencyGraph struct {
	*environment
	replica *replica
}

// dagOutcome is a stored outcome as the graph sees it.
func dagOutcome(outcome schema.Outcome) dag.Outcome {
	state := dag.Cancelled
	if outcome.State == StageDone {
		state = dag.Done
	}
	return dag.Outcome{State: state, At: units.Micros(outcome.RecordedAt)}
}

// learnOutcome takes a stored outcome. A job has one, which is written once and never changes.
func (g *dependencyGraph) learnOutcome(id string, outcome schema.Outcome) {
	g.replica.outcomes.put(id, outcome)
	g.propagateOutcome(id, dagOutcome(outcome))
}

// noteCancellation takes the news that a job is cancelled before its outcome is known.
func (g *dependencyGraph) noteCancellation(id string) {
	g.propagateOutcome(id, dag.Outcome{State: dag.Cancelled})
}

// propagateOutcome passes an outcome on to the dependents of the job that is over.
func (g *dependencyGraph) propagateOutcome(id string, outcome dag.Outcome) {
	cancelled, ready := g.replica.dependencies.RecordOutcome(id, outcome)
	if j := g.replica.jobs[id]; j != nil {
		j.forgetOccupancies()
	}
	g.noteDerivedCancellations(cancelled)
	if len(ready) > 0 {
		g.log.Info("dependencies done", "jobs", ready, "after", id)
		g.planNeeded = true
	}
}

// noteDerivedCancellations notes that jobs are cancelled because of a dependency.
func (g *dependencyGraph) noteDerivedCancellations(ids []string) {
	for _, id := range ids {
		if j := g.replica.acceptedJob(id); j != nil {
			j.forgetOccupancies()
		}
	}
	if len(ids) > 0 {
		g.log.Info("jobs cancelled by dependency", "jobs", ids)
		g.planNeeded = true
	}
}

// add enters an accepted job in the graph.
func (g *dependencyGraph) add(j *job) {
	graph := g.replica.dependencies
	entry := dag.Job{ID: j.id, Needs: j.spec.Needs, Priority: j.spec.Priority}
	if j.spec.DeadlineSeconds > 0 {
		entry.DueAt = units.Micros(j.spec.AcceptedAt) + units.FromSeconds(j.spec.DeadlineSeconds)
	}
	cancelled := graph.Add(entry, g.knownOutcome)
	j.dependency = graph.Node(j.id)
	if j.cancellationShown { // it was shown before the job itself
		g.noteCancellation(j.id)
	}
	g.noteDerivedCancellations(cancelled)
}

// knownOutcome tells the graph an outcome that the replica holds.
func (g *dependencyGraph) knownOutcome(id string) (dag.Outcome, bool) {
	outcome, ok := g.replica.outcomes.get(id)
	return dagOutcome(outcome), ok
}

// remove takes a job that is over out of the graph.
func (g *dependencyGraph) remove(j *job) {
	g.replica.dependencies.Remove(j.id)
	j.dependency = nil
}

// eligibleSince is from when on a job counts as waiting for capacity: its submission, or the moment when
// its last dependency is done.
func (j *job) eligibleSince() units.Micros {
	return max(units.Micros(j.spec.AcceptedAt), j.dependency.ReadyAt())
}

// priority is the job's priority: the highest of its own and those of all its dependents.
func (j *job) priority() int {
	if j.dependency == nil {
		return j.spec.Priority
	}
	return j.dependency.Priority()
}

// blocked reports whether a job waits for others, so that it demands nothing for now.
func (j *job) blocked() bool { return !j.cancelled() && !j.dependency.Ready() }
