package controller

import (
	"net/http"
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// TestOutcomeStoredBesideEntry loads a store in which a job both is listed in a job shard and has an
// outcome: at the moment at which a dependency was cancelled, two controllers accepted it, one of them as
// cancelled. The leader, whose replica lacks that outcome, must not retry for ever to write one: each try
// fails, and with it everything else in the same transaction.
func TestOutcomeStoredBesideEntry(t *testing.T) {
	c, store := storeWithDependencies(schema.Outcome{State: StageCancelled, RecordedAt: 77})
	store.put(schema.OutcomePrefix+"j-000002", schema.Outcome{State: StageCancelled, RecordedAt: 78, CancelledBy: "j-000001"})
	store.checkConditions = true
	step := store.stepper(c)
	for range 600 {
		step()
	}
	for key, item := range store.keys {
		var shard schema.JobShard
		if strings.HasPrefix(key, schema.JobShardPrefix) && c.decode(key, item.Value, &shard) && len(shard.Jobs) > 0 {
			t.Errorf("%s still has %s", key, shard.Jobs[0].ID)
		}
	}
}

// TestCancellationMeetsOutcome cancels a job whose outcome is stored but not yet shown by the replica: the
// user gets the stored outcome, and it is not overwritten.
func TestCancellationMeetsOutcome(t *testing.T) {
	w := newRequestHarness(t, schema.Outcome{State: StageDone, TasksDone: 1})
	key := schema.OutcomePrefix + "j-000003"
	done := schema.Outcome{State: StageDone, TasksDone: 1}
	w.answer = func(request kv.Request) (kv.Response, bool) {
		if request.Kind != kv.Transact {
			return kv.Response{}, false
		}
		w.store.keys[key] = kv.KeyValue{Key: key, Value: encode(done), ModRevision: w.store.revision}
		w.controller.dependencies.learnOutcome("j-000003", done)
		w.answer = nil
		return kv.Response{Status: kv.StatusConflict, Revision: w.store.revision, FailedKeys: []string{key}}, true
	}
	reply := w.ask(t, UserRequest{Kind: CancelJob, JobID: "j-000003"})
	const want = `{"uid":"j-000003","stage":"done","done":1,"running":0}`
	if body := bodyText(t, reply); reply.Status != http.StatusOK || body != want {
		t.Errorf("answered %d %s, want %s", reply.Status, body, want)
	}
	if string(w.store.keys[key].Value) != string(encode(done)) {
		t.Errorf("the outcome is now %s", w.store.keys[key].Value)
	}
}

// TestCancellationIsRetried checks that a cancellation succeeds after the store has throttled it twice.
func TestCancellationIsRetried(t *testing.T) {
	w := newRequestHarness(t, schema.Outcome{State: StageDone, TasksDone: 1})
	throttled := 0
	w.answer = func(request kv.Request) (kv.Response, bool) {
		if request.Kind != kv.Transact || throttled == 2 {
			return kv.Response{}, false
		}
		throttled++
		return kv.Response{Status: kv.StatusThrottled}, true
	}
	reply := w.ask(t, UserRequest{Kind: CancelJob, JobID: "j-000003"})
	if status, ok := reply.Body.(*JobStatus); throttled != 2 || !ok || status.Stage != StageCancelled {
		t.Errorf("after %d throttled answers: %+v", throttled, reply)
	}
}
