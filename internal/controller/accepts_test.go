package controller

import (
	"net/http"
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// fakeShardWriter records the last transaction and stores nothing. The test calls settle with its result.
type fakeShardWriter struct {
	inFlight map[string]bool
	commits  int
	txn      *kv.Txn
	settle   func(commitResult)
}

func (w *fakeShardWriter) newWriteTag() string        { return "tag" }
func (w *fakeShardWriter) isInFlight(key string) bool { return w.inFlight[key] }

func (w *fakeShardWriter) markInFlight(txn *kv.Txn) {
	for _, op := range txn.Operations {
		w.inFlight[op.Set] = true
	}
}

func (w *fakeShardWriter) clearInFlight(txn *kv.Txn) {
	for _, op := range txn.Operations {
		delete(w.inFlight, op.Set)
	}
}

func (w *fakeShardWriter) commit(txn *kv.Txn, _ string, done func(commitResult)) {
	w.commits++
	w.txn, w.settle = txn, done
}

// newTestAccepts returns a controller whose accept queue writes to a fake, and that fake.
func newTestAccepts() (*Controller, *fakeShardWriter) {
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.Teams = 1, []config.Team{{Name: "red"}}
	cfg.Settings.KVStore.KVLimits = config.KVLimits{RPS: 350, WriteRPS: 35, ValueKB: 4, TxnOps: 12}
	c := newTestController(cfg)
	c.now = units.Second
	writer := &fakeShardWriter{inFlight: map[string]bool{}}
	c.accepts.commits = writer
	return c, writer
}

// submit queues the submission of a job.
func submit(c *Controller, requestID uint64, id string) {
	request := UserRequest{RequestID: requestID, Kind: SubmitJob, JobID: id, Job: &schema.Job{ID: id, Team: "red", Tasks: 1, CPUs: 1}}
	c.users.open(request)
	c.accepts.enqueue(request)
}

// TestAcceptIsDurableFirst checks that a submission is answered only after its transaction has completed.
func TestAcceptIsDurableFirst(t *testing.T) {
	outcomeKey := schema.OutcomePrefix + "j-000001"
	for _, tc := range []struct {
		name       string
		outcome    commitOutcome
		failedKeys []string
		status     int // HTTP status of the answer; 0: not answered
		pending    int
	}{
		{name: "applied", outcome: commitApplied, status: http.StatusCreated},
		{name: "refused", outcome: commitRefused, status: http.StatusServiceUnavailable},
		{name: "throttled", outcome: commitThrottled, pending: 1},
		{name: "shard changed", outcome: commitConflict, failedKeys: []string{"shard"}, pending: 1},
		{name: "over already", outcome: commitConflict, failedKeys: []string{outcomeKey}, status: http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, writer := newTestAccepts()
			submit(c, 1, "j-000001")
			if writer.commits != 1 || len(c.effects) != 0 {
				t.Fatalf("%d transactions, %d answers before one is completed", writer.commits, len(c.effects))
			}
			shardKey := c.replica.jobShardOf("j-000001").key
			conditions := []kv.Condition{{Key: shardKey}, {Key: outcomeKey}}
			if !slices.Equal(writer.txn.Conditions, conditions) || !writer.inFlight[shardKey] {
				t.Errorf("conditions %v, in flight %v", writer.txn.Conditions, writer.inFlight)
			}
			writer.settle(commitResult{outcome: tc.outcome, revision: 9, failedKeys: tc.failedKeys})
			reply, _ := replyTo(1, c.effects)
			if reply.Status != tc.status || len(c.accepts.pending) != tc.pending || writer.inFlight[shardKey] {
				t.Errorf("answered %d, %d pending, in flight %v", reply.Status, len(c.accepts.pending), writer.inFlight)
			}
		})
	}
}

// TestAcceptWaits checks that the next submissions are not stored while a transaction is in flight, before
// the replica shows the change that failed the last one, or too soon after a throttled one.
func TestAcceptWaits(t *testing.T) {
	c, writer := newTestAccepts()
	submit(c, 1, "j-000001")
	submit(c, 2, "j-000002")
	if writer.commits != 1 {
		t.Fatalf("%d transactions at once", writer.commits)
	}
	writer.settle(commitResult{outcome: commitConflict, revision: 9})
	c.accepts.storePending()
	if writer.commits != 1 {
		t.Error("stored before the replica has caught up")
	}
	c.replica.watchRevision = 9
	c.accepts.storePending()
	if writer.commits != 2 {
		t.Fatal("not stored after the replica has caught up")
	}
	writer.settle(commitResult{outcome: commitThrottled})
	c.accepts.storePending()
	if writer.commits != 2 {
		t.Error("stored without a delay after the store has throttled")
	}
	c.now += throttledRetry
	c.accepts.storePending()
	if writer.commits != 3 {
		t.Error("not stored after the retry delay")
	}
}

// TestAcceptSameJobTwice submits a job twice: it is stored once, and the second submission stays queued.
func TestAcceptSameJobTwice(t *testing.T) {
	c, writer := newTestAccepts()
	c.accepts.inFlight = true
	submit(c, 1, "j-000001")
	submit(c, 2, "j-000001")
	c.accepts.inFlight = false
	c.accepts.storePending()
	writer.settle(commitResult{outcome: commitApplied, revision: 9})
	if first, _ := replyTo(1, c.effects); first.Status != http.StatusCreated {
		t.Errorf("the first is answered %d", first.Status)
	}
	if second, ok := replyTo(2, c.effects); ok || len(c.accepts.pending) != 1 {
		t.Errorf("the second is answered %d, %d pending", second.Status, len(c.accepts.pending))
	}
}

// TestShardsByUrgency checks that job shards are ordered by the number and waiting time of their submissions.
func TestShardsByUrgency(t *testing.T) {
	c, _ := newTestAccepts()
	c.now = 10 * units.Second
	shards := c.replica.jobShards.all()
	pending := map[*jobShard][]pendingSubmission{
		shards[0]: {{requestedAt: 10 * units.Second}},
		shards[1]: {{requestedAt: 8 * units.Second}},
		shards[2]: {{requestedAt: 10 * units.Second}, {requestedAt: 10 * units.Second}},
		shards[3]: {{requestedAt: 10 * units.Second}},
	}
	want := []*jobShard{shards[1], shards[2], shards[0], shards[3]}
	if got := c.accepts.shardsByUrgency(pending); !slices.Equal(got, want) {
		t.Errorf("wrong order of job shards: %v", got)
	}
}
