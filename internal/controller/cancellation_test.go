package controller

import (
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/schema"
)

// TestOutcomeStoredBesideEntry loads a store in which a job is among the accepted ones and has an outcome
// as well: two controllers accepted it at the moment at which what it needs was cancelled. The
// leader, whose replica does not have that outcome, must not try to write one for ever: that fails,
// and with it all that is in the same transaction.
func TestOutcomeStoredBesideEntry(t *testing.T) {
	c, store := storeWithDependencies(schema.Outcome{State: StageCancelled, RecordedAt: 77})
	store.put(schema.OutcomePrefix+"j-000002", schema.Outcome{State: StageCancelled, RecordedAt: 78, CancelledBy: "j-000001"})
	store.guarded = true
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
