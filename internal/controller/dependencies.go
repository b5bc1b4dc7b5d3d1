package controller

import (
	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// dependencyGraph keeps the graph of jobs with dependencies in step with the replica. Only stored outcomes
// count: a job may start when all its dependencies have a stored outcome "done", and is cancelled as soon as
// any of its dependencies, direct or transitive, has a stored outcome "cancelled". So one write cancels
// all dependents, and no order of crashes or late submissions leaves one out. The dependents' own
// outcomes are written afterwards, by other components: dependencyGraph never writes to the store.
type dependencyGraph struct {
	*environment
	replica *replica
}

// dagOutcome converts a stored outcome to one of package dag.
func dagOutcome(outcome schema.Outcome) dag.Outcome {
	state := dag.Cancelled
	if outcome.State == StageDone {
		state = dag.Done
	}
	return dag.Outcome{State: state, At: units.Micros(outcome.RecordedAt)}
}

// learnOutcome records a job's stored outcome, which is written only once and never changes.
func (g *dependencyGraph) learnOutcome(id string, outcome schema.Outcome) {
	g.replica.outcomes.put(id, outcome)
	g.propagateOutcome(id, dagOutcome(outcome))
}

// noteCancellation records that a job is cancelled, before its outcome is known.
func (g *dependencyGraph) noteCancellation(id string) {
	g.propagateOutcome(id, dag.Outcome{State: dag.Cancelled})
}

// propagateOutcome applies the outcome of an ended job to its dependents.
func (g *dependencyGraph) propagateOutcome(id string, outcome dag.Outcome) {
	cancelled, ready := g.replica.dependencies.RecordOutcome(id, outcome)
	if j := g.replica.jobs[id]; j != nil {
		j.invalidateOccupancies()
	}
	g.noteDerivedCancellations(cancelled)
	if len(ready) > 0 {
		g.log.Info("dependencies done", "jobs", ready, "after", id)
		g.planNeeded = true
	}
}

// noteDerivedCancellations handles jobs that are now cancelled because of a dependency.
func (g *dependencyGraph) noteDerivedCancellations(ids []string) {
	for _, id := range ids {
		if j := g.replica.acceptedJob(id); j != nil {
			j.invalidateOccupancies()
		}
	}
	if len(ids) > 0 {
		g.log.Info("jobs cancelled by dependency", "jobs", ids)
		g.planNeeded = true
	}
}

// add adds an accepted job to the graph.
func (g *dependencyGraph) add(j *job) {
	graph := g.replica.dependencies
	entry := dag.Job{ID: j.id, Needs: j.spec.Needs, Priority: j.spec.Priority}
	if j.spec.DeadlineSeconds > 0 {
		entry.DueAt = units.Micros(j.spec.AcceptedAt) + units.FromSeconds(j.spec.DeadlineSeconds)
	}
	cancelled := graph.Add(entry, g.knownOutcome)
	j.dependency = graph.Node(j.id)
	if j.cancellationShown { // the watch showed the cancellation before the job
		g.noteCancellation(j.id)
	}
	g.noteDerivedCancellations(cancelled)
}

// knownOutcome returns a job's outcome if the replica holds it.
func (g *dependencyGraph) knownOutcome(id string) (dag.Outcome, bool) {
	outcome, ok := g.replica.outcomes.get(id)
	return dagOutcome(outcome), ok
}

// remove removes an ended job from the graph.
func (g *dependencyGraph) remove(j *job) {
	g.replica.dependencies.Remove(j.id)
	j.dependency = nil
}

// eligibleSince returns the Unix time since which a job may wait for capacity: when it was accepted, or
// when the last of its dependencies was done, whichever is later.
func (j *job) eligibleSince() units.Micros {
	return max(units.Micros(j.spec.AcceptedAt), j.dependency.ReadyAt())
}

// priority returns the highest priority of the job itself and of all its dependents.
func (j *job) priority() int {
	if j.dependency == nil {
		return j.spec.Priority
	}
	return j.dependency.Priority()
}

// blocked reports whether a job waits for its dependencies, so that it demands no capacity for now.
func (j *job) blocked() bool { return !j.cancelled() && !j.dependency.Ready() }
