package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// TestCheckBindings guards against tasks that never run because a binding stays that nothing stored stands behind
// (review/5): the check at run time finds it, whatever left it, reports it and has the task wait again. It leaves
// bindings alone that an entry or a transaction in flight stands behind.
func TestCheckBindings(t *testing.T) {
	lost := func(p *plannedTask) { // the plan is over, and the replica has not shown the entry
		p.store.answer(kv.Response{Status: kv.StatusConflict, Revision: revisionRelease})
		p.job.addBinding(0, binding{p.c.replica.machines[foreignMachine], p.entry.Attempt})
	}
	for name, tc := range map[string]struct {
		prepare   func(p *plannedTask)
		withdrawn bool
	}{
		"transaction in flight": {func(*plannedTask) {}, false},
		"entry stored": {func(p *plannedTask) {
			p.store.answer(kv.Response{Status: kv.StatusOK, Revision: revisionEntered})
		}, false},
		"entry shown before the answer": {func(p *plannedTask) {
			entered, _ := p.events()
			p.watch(revisionEntered, entered)
		}, false},
		"nothing stands behind it": {lost, true},
		"machine gone": {func(p *plannedTask) {
			p.store.answer(kv.Response{Status: kv.StatusOK, Revision: revisionEntered})
			m := p.c.replica.machines[foreignMachine]
			delete(p.c.replica.machines, m.name)
		}, true},
		"replica not complete": {func(p *plannedTask) {
			lost(p)
			p.c.replica.beginLoad()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := placeTask(t)
			p.c.replica.beginSync(revisionBefore)
			tc.prepare(p)
			p.c.planner.checkBindings()
			reported := p.c.audit.violations[invariantBinding] == 1
			if withdrawn := p.job.waiting() == 1 && p.job.nextUnbound(0) == 0; withdrawn != tc.withdrawn || reported != tc.withdrawn {
				t.Errorf("withdrawn %v, reported %v, want %v", withdrawn, reported, tc.withdrawn)
			}
		})
	}
}

// TestCheckBindingsOfTwoEntries checks that a task with two entries passes the check, and so does one that is bound by
// the earlier entry once the later one is gone.
func TestCheckBindingsOfTwoEntries(t *testing.T) {
	c, _ := newTestAccepts()
	c.replica.beginSync(revisionBefore)
	j := acceptJob(c, schema.Job{ID: "j-000005", Tasks: 1})
	showMachine(c, 1, 10, schema.Task{Job: j.id, Attempt: 7})
	showMachine(c, 2, 11, schema.Task{Job: j.id, Attempt: 9})
	c.planner.checkBindings()
	showMachine(c, 2, 20)
	c.planner.checkBindings()
	if len(c.audit.violations) > 0 || j.bindings[0].attempt != 7 {
		t.Errorf("violations %v, bound to %+v", c.audit.violations, j.bindings[0])
	}
}
