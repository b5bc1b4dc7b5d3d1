package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// plannedTask is a task that a plan has placed, while the store has not answered the plan's transaction.
type plannedTask struct {
	c     *Controller
	store *scriptedStore
	led   *leadership
	job   *job
	entry schema.Task
}

// Revisions of the stories that the tests tell: of the machine shard before the plan, of the plan's transaction,
// which enters the task, and of the release of the entry by the leader of the machine's partition.
const (
	revisionBefore  = 10
	revisionEntered = 21
	revisionRelease = 22
)

// foreignMachine is a machine that another controller commands; foreignShardKey is the key of its shard.
const foreignMachine = "n-000001"

var foreignShardKey = schema.MachineShardKey(1)

// foreignShard returns the stored shard of foreignMachine with entries of the given tasks.
func foreignShard(tasks ...schema.Task) []byte {
	machine := schema.Machine{Name: foreignMachine, Addr: "x", Tasks: tasks}
	return encode(schema.MachineShard{Partition: 1, Machines: []schema.Machine{machine}})
}

// placeTask has a plan place a task on a machine that another controller commands.
func placeTask(t *testing.T) *plannedTask {
	t.Helper()
	c, p := newTestPlan(t)
	placed := &plannedTask{c: c, store: &scriptedStore{t: t, c: c}, led: p.leadership}
	placed.job = acceptJob(c, schema.Job{ID: "j-000005", Team: "red", Tasks: 1, CPUs: 1, MemGB: 1})
	c.replica.apply(foreignShardKey, foreignShard(), revisionBefore, false)
	c.replica.advance(revisionBefore)
	m := c.replica.machines[foreignMachine]
	shard := newStagedShard(c.planner, m.shard, false, p.writeTag)
	shard.machines = []*stagedMachine{{machine: m, shard: shard, resources: resources{cpus: 8, memoryGB: 8}, usable: true}}
	p.shards = []*stagedShard{shard}
	p.place(shard.machines[0], placed.job, 0)
	p.commit()
	placed.entry = schema.Task{Job: placed.job.id, Attempt: p.attempt}
	return placed
}

// events returns the changes of the machine shard that enter the task and release it again.
func (p *plannedTask) events() (entered, released kv.Event) {
	return kv.Event{Set: foreignShardKey, Value: foreignShard(p.entry), ModRevision: revisionEntered},
		kv.Event{Set: foreignShardKey, Value: foreignShard(), ModRevision: revisionRelease}
}

// watch shows events in one answer to a watch that was opened while the transaction is in flight.
func (p *plannedTask) watch(revision uint64, events ...kv.Event) {
	call := &watchCall{replicator: p.c.replicator, id: p.c.replicator.watchID}
	call.takeChanges(kv.Response{Status: kv.StatusOK, Revision: revision, Events: events})
}

// TestBindingWithoutEntryIsWithdrawn guards against an accepted job that never runs again and that its user is told
// runs (review/5): its task is released before the controller that placed it has seen the entry, and before the
// answer to the transaction that made it. No entry stands behind the binding then, and the task waits.
func TestBindingWithoutEntryIsWithdrawn(t *testing.T) {
	applied := kv.Response{Status: kv.StatusOK, Revision: revisionEntered}
	unknown := kv.Response{Status: kv.StatusUnknown}
	conflict := kv.Response{Status: kv.StatusConflict, Revision: revisionRelease}
	overwritten := kv.Response{Status: kv.StatusOK, ModRevision: revisionRelease, Value: []byte(`{}`)}
	for name, answers := range map[string][]kv.Response{
		"answer after the release":               {applied},
		"answer lost, repeat after the release":  {unknown, conflict, overwritten},
		"answer lost, refused, and then applied": {unknown, {Status: kv.StatusUnavailable}, applied},
	} {
		t.Run(name, func(t *testing.T) {
			p := placeTask(t)
			_, released := p.events()
			p.c.replica.apply(released.Set, released.Value, released.ModRevision, false) // as a reload shows it: the end only
			p.c.replica.advance(revisionRelease)
			for _, answer := range answers {
				p.store.answer(answer)
			}
			if len(p.job.bindings) > 0 || p.job.waiting() != 1 || p.job.nextUnbound(0) != 0 || p.led.commitsInFlight != 0 {
				t.Errorf("bound to %+v, %d waiting, %d commits in flight", p.job.bindings, p.job.waiting(), p.led.commitsInFlight)
			}
		})
	}
}

// TestBindingWithEntryStays is the counterpart: a task whose entry is stored stays bound, whatever comes first, the
// answer to the transaction or the watch, and whatever else has been written to the machine shard since.
func TestBindingWithEntryStays(t *testing.T) {
	for name, story := range map[string]func(p *plannedTask, answer func()){
		"answer only": func(_ *plannedTask, answer func()) { answer() },
		"answer before the watch": func(p *plannedTask, answer func()) {
			entered, _ := p.events()
			answer()
			p.watch(revisionEntered, entered)
		},
		"answer after the watch": func(p *plannedTask, answer func()) {
			entered, _ := p.events()
			p.watch(revisionEntered, entered)
			answer()
		},
		"answer after a later write that keeps the entry": func(p *plannedTask, answer func()) {
			later, _ := p.events()
			later.ModRevision = revisionRelease
			p.watch(revisionRelease, later)
			answer()
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := placeTask(t)
			story(p, func() { p.store.answer(kv.Response{Status: kv.StatusOK, Revision: revisionEntered}) })
			if bound := p.job.bindings[0]; bound.attempt != p.entry.Attempt || !p.job.hasEntry(0, bound) || p.job.waiting() != 0 {
				t.Errorf("bound to %+v, %d waiting", p.job.bindings, p.job.waiting())
			}
		})
	}
}

// TestWithdrawnBindingLeavesNoRecord guards against the record of a job that is over which its controller keeps until it
// restarts: the job left its shard while a transaction that enters one of its tasks was in flight, and the transaction
// failed, or the entry was released before it was shown. The record of a job that is still accepted stays.
func TestWithdrawnBindingLeavesNoRecord(t *testing.T) {
	for name, answer := range map[string]kv.Response{
		"not applied":          {Status: kv.StatusConflict, Revision: revisionRelease},
		"applied and released": {Status: kv.StatusOK, Revision: revisionEntered},
	} {
		for _, over := range []bool{true, false} {
			p := placeTask(t)
			_, released := p.events()
			p.c.replica.apply(released.Set, released.Value, released.ModRevision, false)
			p.c.replica.advance(revisionRelease)
			if over {
				p.c.replica.removeJob(p.job)
			}
			p.store.answer(answer)
			if kept := p.c.replica.jobs[p.job.id] != nil; kept == over {
				t.Errorf("%s, job over: %v, record kept: %v", name, over, kept)
			}
		}
	}
}
