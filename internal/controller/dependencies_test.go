package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// storeWithDependencies returns a controller that has loaded nothing yet, and its store, in which j-000001
// has the given outcome, j-000002 depends on j-000001, and j-000003 depends on j-000002.
func storeWithDependencies(outcome schema.Outcome) (*Controller, *fakeStore) {
	cfg := &config.Config{Member: "a"}
	settings := &cfg.Settings
	settings.Size, settings.Teams = 1, []config.Team{{Name: "red"}}
	settings.KVStore.KVLimits = config.KVLimits{RPS: 350, WriteRPS: 35, ValueKB: 4, TxnOps: 12}
	settings.Workers.HeartbeatS, settings.Workers.LeaseS, settings.Workers.CancelS = 6, 31, 56
	c := newTestController(cfg)
	store := &fakeStore{keys: map[string]kv.KeyValue{}, requestCounts: map[kv.RequestKind]int{}}
	layout := c.replica.layout
	layout.Format = schema.FormatDependencies
	store.put(schema.LayoutKey, layout)
	store.put(schema.OutcomePrefix+"j-000001", outcome)
	second := schema.Job{ID: "j-000002", Team: "red", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-000001"}}
	third := schema.Job{ID: "j-000003", Team: "red", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-000002"}}
	store.put(schema.JobShardKey(schema.ShardIndex(second.ID, layout.JobShards)), schema.JobShard{Jobs: []schema.Job{second}})
	store.put(schema.JobShardKey(schema.ShardIndex(third.ID, layout.JobShards)), schema.JobShard{Jobs: []schema.Job{third}})
	return c, store
}

// TestNeededOutcomeIsRead checks that a controller reads the outcomes of dependencies after it has loaded.
// The loaded replica does not hold them, and a job that depends on one would never start.
func TestNeededOutcomeIsRead(t *testing.T) {
	c, store := storeWithDependencies(schema.Outcome{State: StageDone, TasksDone: 1, RecordedAt: 77})
	step := store.stepper(c)
	for range 100 {
		step()
	}
	second := c.replica.jobs["j-000002"]
	if !second.dependency.Ready() || second.eligibleSince() != 77 || second.waiting() != 1 {
		t.Errorf("ready %v, since %d", second.dependency.Ready(), second.eligibleSince())
	}
	if third := c.replica.jobs["j-000003"]; third.dependency.Ready() || third.waiting() != 0 {
		t.Error("j-000003 does not wait for j-000002")
	}
}

// slowOutcomeStore holds back the answers to reads of one outcome until release is called.
type slowOutcomeStore struct {
	*fakeStore
	slowKey string
	delayed []Message // the answers to reads of that key
}

// answer returns the messages that an effect causes without delay.
func (s *slowOutcomeStore) answer(effect Effect) []Message {
	messages := s.fakeStore.answer(effect)
	if call, ok := effect.(StoreCall); ok && call.Request.Key == s.slowKey {
		s.delayed = append(s.delayed, messages...)
		return nil
	}
	return messages
}

// release returns the answers that were held back.
func (s *slowOutcomeStore) release() []Message {
	messages := s.delayed
	s.delayed = nil
	return messages
}

// replyTo returns the reply to a request among effects, or false if there is none.
func replyTo(requestID uint64, effects []Effect) (Reply, bool) {
	for _, effect := range effects {
		if reply, ok := effect.(Reply); ok && reply.RequestID == requestID {
			return reply, true
		}
	}
	return Reply{}, false
}

// TestStatusWaitsForNeededOutcome queries a cancelled job before the outcome of the transitive dependency
// that cancelled it has been read. The answer must wait for that outcome and not be "pending".
func TestStatusWaitsForNeededOutcome(t *testing.T) {
	c, fake := storeWithDependencies(schema.Outcome{State: StageCancelled})
	store := &slowOutcomeStore{fakeStore: fake, slowKey: schema.OutcomePrefix + "j-000001"}
	query := UserRequest{RequestID: 7, Kind: QueryJob, JobID: "j-000003"}
	now := units.Second
	asked := false
	var messages []Message
	for step := range 400 {
		now += 5 * units.Millisecond
		if c.replica.synced && !asked {
			asked = true
			messages = append(messages, query)
		}
		effects := c.Step(now, now+units.Micros(1e15), messages)
		if reply, ok := replyTo(query.RequestID, effects); ok {
			if status, ok := reply.Body.(*JobStatus); !ok || status.Stage != StageCancelled || status.CancelledBy == "" {
				t.Errorf("answered %d, %+v", reply.Status, reply.Body)
			}
			return
		}
		messages = nil
		if step == 100 {
			messages = store.release()
		}
		for _, effect := range effects {
			messages = append(messages, store.answer(effect)...)
		}
	}
	t.Error("the query is not answered after 400 steps")
}
