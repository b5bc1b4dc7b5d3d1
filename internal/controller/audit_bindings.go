package controller

import (
	"maps"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/units"
)

// bindingCheckPeriod is how often the bindings of all jobs are checked. A job must not wait for 90 s beside capacity
// that it could use, so that a binding that is found must be withdrawn well within that time.
const bindingCheckPeriod = 10 * units.Second

// plansInFlight counts the transactions of plans that were not answered, by the attempt of the tasks that they enter.
type plansInFlight map[uint64]int

// begin records the transactions of a plan.
func (f plansInFlight) begin(attempt uint64, transactions int) {
	if transactions > 0 {
		f[attempt] += transactions
	}
}

// end records that the result of one of them is known.
func (f plansInFlight) end(attempt uint64) {
	f[attempt]--
	if f[attempt] == 0 {
		delete(f, attempt)
	}
}

// taskBinding is the binding of a task.
type taskBinding struct {
	job   *job
	index int
	binding
}

// unbackedBindings returns the bindings that no entry in the replica stands behind, in order.
func (r *replica) unbackedBindings() []taskBinding {
	backed := map[*job]int{}
	for _, m := range r.machines {
		for _, task := range m.doc.Tasks {
			if j := r.jobs[task.Job]; j != nil && j.bindings[task.Index] == (binding{m, task.Attempt}) {
				backed[j]++
			}
		}
	}
	var unbacked []taskBinding
	for _, j := range r.jobs {
		if backed[j] == len(j.bindings) {
			continue
		}
		for _, index := range slices.Sorted(maps.Keys(j.bindings)) {
			if bound := j.bindings[index]; r.machines[bound.machine.name] != bound.machine || !j.hasEntry(index, bound) {
				unbacked = append(unbacked, taskBinding{j, index, bound})
			}
		}
	}
	slices.SortStableFunc(unbacked, func(a, b taskBinding) int { return strings.Compare(a.job.id, b.job.id) })
	return unbacked
}

// checkBindings withdraws bindings that neither an entry nor a transaction in flight stands behind: nothing would remove
// them, and their tasks would never run. Agents are sent only what an entry says, so that such a task is on no machine.
func (p *planner) checkBindings() {
	if !p.replica.complete() {
		return
	}
	for _, bound := range p.replica.unbackedBindings() {
		if p.inFlight[bound.attempt] > 0 {
			continue
		}
		p.audit.reportViolation(invariantBinding, "job", bound.job.id, "index", bound.index, "machine", bound.machine.name, "attempt", bound.attempt)
		bound.job.removeBinding(bound.index)
		p.replica.dropIfUnused(bound.job)
		p.planNeeded = true
	}
}
