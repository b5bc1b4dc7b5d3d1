package controller

import (
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// chainStore is a store in which j-000002 needs j-000001, whose end is as given, and j-000003
// needs j-000002.
func chainStore(end schema.Outcome) (*Controller, *fakeStore) {
	cfg := &config.Config{Member: "a"}
	s := &cfg.Settings
	s.Size, s.Teams = 1, []config.Team{{Name: "red"}}
	s.KVStore.KVLimits = config.KVLimits{RPS: 350, WriteRPS: 35, ValueKB: 4, TxnOps: 12}
	s.Workers.HeartbeatS, s.Workers.LeaseS, s.Workers.CancelS = 6, 31, 56
	c := quietController(cfg)
	o := &fakeStore{keys: map[string]kv.KeyValue{}, asked: map[kv.RequestKind]int{}}
	layout := c.replica.layout
	layout.Format = schema.FormatDependencies
	o.put(schema.LayoutKey, layout)
	o.put(schema.OutcomePrefix+"j-000001", end)
	second := schema.Job{ID: "j-000002", Team: "red", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-000001"}}
	third := schema.Job{ID: "j-000003", Team: "red", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-000002"}}
	o.put(schema.JobShardKey(schema.JobShardIndex(second.ID, layout.JobShards)), schema.JobShard{Jobs: []schema.Job{second}})
	o.put(schema.JobShardKey(schema.JobShardIndex(third.ID, layout.JobShards)), schema.JobShard{Jobs: []schema.Job{third}})
	return c, o
}

// TestReadEnds has a controller that has just loaded read the ends of needed jobs by itself: a
// copy does not have them, and a job that waits for one would wait for good.
func TestReadEnds(t *testing.T) {
	c, o := chainStore(schema.Outcome{State: StageDone, TasksDone: 1, RecordedAt: 77})
	step := o.stepper(c)
	for range 100 {
		step()
	}
	j := c.replica.jobs["j-000002"]
	if !j.dependency.Ready() || j.eligibleSince() != 77 || j.waiting() != 1 {
		t.Errorf("ready %v, since %d", j.dependency.Ready(), j.eligibleSince())
	}
	if third := c.replica.jobs["j-000003"]; third.dependency.Ready() || third.waiting() != 0 {
		t.Error("j-000003 does not wait for j-000002")
	}
}

// TestAnswerOnlyWhatIsKnown asks about a job before the end of one that it needs, through
// another, has been read: it must not be called pending, since it is cancelled.
func TestAnswerOnlyWhatIsKnown(t *testing.T) {
	c, o := chainStore(schema.Outcome{State: StageCancelled})
	now := units.Second
	var msgs []Message
	asked := false
	var slow []Message // the answer about the end, which takes longer than others
	for n := range 400 {
		now += 5 * units.Millisecond
		var next []Message
		if n == 100 {
			next, slow = slow, nil
		}
		if c.replica.synced && !asked {
			asked = true
			msgs = append(msgs, UserRequest{RequestID: 7, Kind: QueryJob, JobID: "j-000003"})
		}
		for _, e := range c.Step(now, now+units.Micros(1e15), msgs) {
			if r, ok := e.(Reply); ok && r.RequestID == 7 {
				if st, ok := r.Body.(*JobStatus); !ok || st.Stage != StageCancelled || st.CancelledBy == "" {
					t.Errorf("answered %d, %+v", r.Status, r.Body)
				}
				return
			}
			if call, ok := e.(StoreCall); ok && call.Request.Key == schema.OutcomePrefix+"j-000001" {
				slow = append(slow, o.answer(e)...)
				continue
			}
			next = append(next, o.answer(e)...)
		}
		msgs = next
	}
	t.Error("not answered")
}

// TestEndStoredBesideEntry loads a store in which a job is among the accepted ones and has its
// end as well: two controllers took it at the moment at which what it needs was cancelled. The
// owner, whose copy does not have that end, tried to write it for ever, and since that failed
// nothing that was in the same transaction was ever stored.
func TestEndStoredBesideEntry(t *testing.T) {
	c, o := chainStore(schema.Outcome{State: StageCancelled, RecordedAt: 77})
	o.put(schema.OutcomePrefix+"j-000002", schema.Outcome{State: StageCancelled, RecordedAt: 78, CancelledBy: "j-000001"})
	o.guarded = true
	step := o.stepper(c)
	for range 600 {
		step()
	}
	for key, item := range o.keys {
		var shard schema.JobShard
		if strings.HasPrefix(key, schema.JobShardPrefix) && c.decode(key, item.Value, &shard) && len(shard.Jobs) > 0 {
			t.Errorf("%s still has %s", key, shard.Jobs[0].ID)
		}
	}
}
