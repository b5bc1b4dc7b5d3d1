package controller

import (
	"encoding/json"
	"net/http"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// These tests guard against conclusions from a document that cannot be decoded (review/1, jobshard): its tasks
// counted as waiting and were started on a second machine, its jobs got 404, and it was overwritten, since its
// revision was known although its contents were not.

// unreadableTest is a controller that leads the only partition, with its store: a machine, and a job that is too
// large for it.
type unreadableTest struct {
	*requestHarness
}

const (
	fittingJob     = "j-000005" // a job that fits the machine
	shardOfFitting = 5
	tooLargeJob    = "j-000007"
	shardOfN1      = 1
	stepsToSettle  = 300
)

func newUnreadableTest(t *testing.T) *unreadableTest {
	t.Helper()
	cfg := fleetConfig()
	cfg.Settings.KVStore.KVLimits = config.KVLimits{ValueKB: 4, TxnOps: 12, RPS: 350, WriteRPS: 35}
	store := &fakeStore{keys: map[string]kv.KeyValue{}, requestCounts: map[kv.RequestKind]int{}, checkConditions: true}
	store.put(schema.LayoutKey, schema.Layout{MachineShards: 96, JobShards: 48, Format: schema.FormatDependencies})
	store.put(schema.MachineShardKey(shardOfN1), machineWith())
	store.put(schema.JobShardKey(7), schema.JobShard{Jobs: []schema.Job{{ID: tooLargeJob, Team: "red", Tasks: 1, CPUs: 500}}})
	return &unreadableTest{&requestHarness{controller: newTestController(cfg), store: store, now: units.Second}}
}

// storeValue stores a value, which may be unreadable, or deletes the key if the value is empty. It shows the
// change to the controller, and before it the earlier changes that the watch has not shown yet.
func (u *unreadableTest) storeValue(key, value string) {
	for _, item := range u.store.keys {
		if item.ModRevision > u.controller.replica.watchRevision {
			u.controller.replica.apply(item.Key, item.Value, item.ModRevision, false)
		}
	}
	u.store.revision++
	u.store.keys[key] = kv.KeyValue{Key: key, Value: json.RawMessage(value), ModRevision: u.store.revision}
	if value == "" {
		delete(u.store.keys, key)
	}
	u.controller.replica.apply(key, json.RawMessage(value), u.store.revision, value == "")
	u.controller.replica.advance(u.store.revision)
}

func (u *unreadableTest) steps() {
	for range stepsToSettle {
		u.step()
	}
}

// placed reports whether a task has been bound to the machine.
func (u *unreadableTest) placed() bool {
	return len(u.controller.replica.jobs[fittingJob].bindings) > 0
}

// TestUnreadableDocumentStopsPlans makes documents of each kind unreadable. While one is, no waiting task is
// placed, and the document is not changed; once it is readable, the task is placed.
func TestUnreadableDocumentStopsPlans(t *testing.T) {
	waiting := string(encode(schema.JobShard{Jobs: []schema.Job{{ID: fittingJob, Team: "red", Tasks: 1, CPUs: 1}}}))
	for name, tc := range map[string]struct{ key, unreadable, readable string }{
		"another machine shard": {schema.MachineShardKey(2), `{"of":-1}`, `{}`},
		"the machine's shard":   {schema.MachineShardKey(shardOfN1), `"no base 64"`, string(encode(machineWith()))},
		"a machine shard's key": {schema.MachineShardPrefix + "x", `{}`, ``},
		"another job shard":     {schema.JobShardKey(9), `[]`, `{}`},
		"a progress segment":    {schema.ProgressKey(0, 0), `{"j":{"j-000007":{"r":"7-3"}}}`, `{"j":{"j-000007":{"r":"3-7"}}}`},
		"the layout":            {schema.LayoutKey, `{"format":9}`, `{"format":1,"groups":96,"shelves":48}`},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUnreadableTest(t)
			u.steps()
			if !u.controller.authority.leads(0) {
				t.Fatal("the partition is not led")
			}
			u.storeValue(tc.key, tc.unreadable)
			u.storeValue(schema.JobShardKey(shardOfFitting), waiting)
			u.steps()
			if u.placed() || u.controller.authority.mayStartTasks() {
				t.Errorf("placed: %v, may start tasks: %v", u.placed(), u.controller.authority.mayStartTasks())
			}
			if got := string(u.store.keys[tc.key].Value); got != tc.unreadable {
				t.Errorf("overwritten by %s", got)
			}
			if !u.controller.authority.mayAct() {
				t.Error("the leases of agents are not renewed")
			}
			u.storeValue(tc.key, tc.readable)
			u.steps()
			if !u.placed() {
				t.Error("not placed when all documents are readable")
			}
		})
	}
}

// TestUnreadablePartition makes the document of a led partition unreadable: another process may lead it under a
// later term, so the partition is neither led nor acquired until its document is readable.
func TestUnreadablePartition(t *testing.T) {
	u := newUnreadableTest(t)
	u.steps()
	key, readable := schema.PartitionKey(0), string(u.store.keys[schema.PartitionKey(0)].Value)
	u.storeValue(key, `{"e":"x"}`)
	transactions := u.store.requestCounts[kv.Transact]
	u.steps()
	if u.controller.partitions.led[0] != nil || string(u.store.keys[key].Value) != `{"e":"x"}` {
		t.Errorf("led: %v, stored: %s", u.controller.partitions.led[0] != nil, u.store.keys[key].Value)
	}
	if attempts := u.store.requestCounts[kv.Transact] - transactions; attempts > 0 {
		t.Errorf("%d transactions", attempts)
	}
	u.storeValue(key, readable)
	u.steps()
	if !u.controller.authority.leads(0) {
		t.Error("not led when its document is readable")
	}
}

// TestUnreadableLayoutAtStart starts a controller that cannot read the layout: it tried to write another one, and
// read all documents again, ten times a second.
func TestUnreadableLayoutAtStart(t *testing.T) {
	u := newUnreadableTest(t)
	layout := u.store.keys[schema.LayoutKey]
	u.store.keys[schema.LayoutKey] = kv.KeyValue{Key: schema.LayoutKey, Value: json.RawMessage(`{"format":"x"}`), ModRevision: layout.ModRevision}
	u.steps() // 7.5 s
	if lists := u.store.requestCounts[kv.List]; lists > 2 || u.controller.replica.synced {
		t.Errorf("%d pages read, loaded: %v", lists, u.controller.replica.synced)
	}
	u.storeValue(schema.LayoutKey, string(layout.Value))
	u.steps()
	if !u.controller.authority.leads(0) {
		t.Error("the partition is not led when the layout is readable")
	}
}

// TestUnreadableRegistration checks that a process whose registration is not readable counts as one that does
// not know the format, so that the format is not raised.
func TestUnreadableRegistration(t *testing.T) {
	u := newUnreadableTest(t)
	u.controller.replica.apply(schema.RegistrationKey("a", "1"), encode(schema.Registration{Format: knownFormat}), 1, false)
	if _, all := u.controller.gate.memberRegistrations(); !all {
		t.Fatal("the only member does not know the format")
	}
	u.controller.replica.apply(schema.RegistrationKey("b", "1"), json.RawMessage(`[]`), 2, false)
	if _, all := u.controller.gate.memberRegistrations(); all || !u.controller.replica.allReadable() {
		t.Errorf("all know the format: %v, all readable: %v", all, u.controller.replica.allReadable())
	}
}

// TestFormatWaitsForReadableLayout checks that the format is not raised while the layout is unreadable, which would
// overwrite it, and is raised afterwards.
func TestFormatWaitsForReadableLayout(t *testing.T) {
	u := newUnreadableTest(t)
	layout := schema.Layout{MachineShards: 96, JobShards: 48}
	u.store.put(schema.LayoutKey, layout)
	for range stepsToSettle {
		if u.step(); u.controller.replica.layoutKnown {
			break
		}
	}
	u.storeValue(schema.LayoutKey, `[]`)
	u.steps()
	if got := string(u.store.keys[schema.LayoutKey].Value); got != `[]` {
		t.Errorf("overwritten by %s", got)
	}
	u.storeValue(schema.LayoutKey, string(encode(layout)))
	u.steps()
	if !u.controller.replica.dependenciesEnabled() {
		t.Error("the format is not raised")
	}
}

// TestRequestsAboutUnreadableShard starts a controller that cannot read a job shard. Jobs that the shard may list
// are not called unknown, and none is accepted into it; questions and submissions that other shards decide are
// answered as ever.
func TestRequestsAboutUnreadableShard(t *testing.T) {
	u := newUnreadableTest(t)
	key := schema.JobShardKey(shardOfFitting)
	u.store.put(key, schema.JobShard{})
	unreadable := u.store.keys[key]
	unreadable.Value = json.RawMessage(`{"of":-1}`)
	u.store.keys[key] = unreadable
	u.steps()
	job := func(id string) *schema.Job { return &schema.Job{ID: id, Team: "red", Tasks: 1, CPUs: 1} }
	needing := job("j-000009")
	needing.Needs = schema.JobIDs{fittingJob}
	for name, tc := range map[string]struct {
		request UserRequest
		want    int
	}{
		"question":                       {UserRequest{Kind: QueryJob, JobID: fittingJob}, http.StatusServiceUnavailable},
		"cancellation":                   {UserRequest{Kind: CancelJob, JobID: fittingJob}, http.StatusServiceUnavailable},
		"submission":                     {UserRequest{Kind: SubmitJob, JobID: fittingJob, Job: job(fittingJob)}, http.StatusServiceUnavailable},
		"submission that depends on it":  {UserRequest{Kind: SubmitJob, JobID: needing.ID, Job: needing}, http.StatusServiceUnavailable},
		"question, known job":            {UserRequest{Kind: QueryJob, JobID: tooLargeJob}, http.StatusOK},
		"question, unknown job":          {UserRequest{Kind: QueryJob, JobID: "j-000008"}, http.StatusNotFound},
		"submission, readable job shard": {UserRequest{Kind: SubmitJob, JobID: "j-000010", Job: job("j-000010")}, http.StatusCreated},
	} {
		t.Run(name, func(t *testing.T) {
			askedAt := u.now
			if reply := u.ask(t, tc.request); reply.Status != tc.want || u.now-askedAt > units.Second {
				t.Errorf("answered %d after %v, want %d at once", reply.Status, u.now-askedAt, tc.want)
			}
		})
	}
	if got := string(u.store.keys[key].Value); got != `{"of":-1}` {
		t.Errorf("overwritten by %s", got)
	}
}

// TestDeletedUnreadableShard deletes unreadable documents, as an operator may: their shards own their names
// again, without entries.
func TestDeletedUnreadableShard(t *testing.T) {
	u := newUnreadableTest(t)
	u.steps()
	for _, key := range []string{schema.MachineShardKey(2), schema.JobShardKey(9)} {
		u.storeValue(key, `{"of":-1}`)
		u.storeValue(key, "")
	}
	replica := u.controller.replica
	if _, shown := replica.jobDirectory.owner("j-000009"); !shown || !replica.allReadable() {
		t.Errorf("job shard shown: %v, all readable: %v", shown, replica.allReadable())
	}
	if _, shown := replica.machineDirectory.owner("n-000002"); !shown {
		t.Error("machine shard not shown")
	}
}
