package controller

import (
	"encoding/json"
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// scriptedStore answers the store requests of a controller one by one, without stepping it.
type scriptedStore struct {
	t        *testing.T
	c        *Controller
	requests []kv.Request
}

// answer answers the one request in flight, then advances the clock and runs the timers.
func (s *scriptedStore) answer(response kv.Response) {
	s.t.Helper()
	if len(s.c.effects) != 1 {
		s.t.Fatalf("%d effects, want one request", len(s.c.effects))
	}
	call, ok := s.c.effects[0].(StoreCall)
	if !ok {
		s.t.Fatalf("%T, want a request", s.c.effects[0])
	}
	s.c.effects = nil
	s.requests = append(s.requests, call.Request)
	s.c.handleStoreResult(StoreResult{CallID: call.CallID, Response: response})
	s.c.now += units.Second
	s.c.runTimers()
}

// commitTag is the write tag of the tested transactions.
const commitTag = "a.1-1"

// commitCase lists the store's answers to a transaction and to the lookups after it, and the expected
// result for the caller.
type commitCase struct {
	answers  []kv.Response
	outcome  commitOutcome
	revision uint64
	failed   []string
}

// TestCommit drives one transaction through every kind of answer: its outcome is reported once and
// correctly, and until it is known the identical transaction is sent again.
func TestCommit(t *testing.T) {
	key := schema.PartitionKey(0)
	written := encode(schema.Partition{Term: 2, Member: "a", Incarnation: "a.1", WriteTag: commitTag})
	foreign := encode(schema.Partition{Term: 2, Member: "b", Incarnation: "b.1", WriteTag: "b.1-7"})
	var (
		applied     = kv.Response{Status: kv.StatusOK, Revision: 21}
		conflict    = kv.Response{Status: kv.StatusConflict, Revision: 30, FailedKeys: []string{key}}
		unknown     = kv.Response{Status: kv.StatusUnknown}
		unavailable = kv.Response{Status: kv.StatusUnavailable}
		throttled   = kv.Response{Status: kv.StatusThrottled}
		malformed   = kv.Response{Status: kv.StatusMalformed}
		found       = kv.Response{Status: kv.StatusOK, Revision: 31, ModRevision: 21, Value: written}
		other       = kv.Response{Status: kv.StatusOK, Revision: 31, ModRevision: 25, Value: foreign}
		absent      = kv.Response{Status: kv.StatusNotFound, Revision: 31}
	)
	for name, tc := range map[string]commitCase{
		"applied":                                   {[]kv.Response{applied}, commitApplied, 21, nil},
		"conflict":                                  {[]kv.Response{conflict}, commitConflict, 30, []string{key}},
		"throttled":                                 {[]kv.Response{throttled}, commitThrottled, 0, nil},
		"unavailable":                               {[]kv.Response{unavailable}, commitRefused, 0, nil},
		"malformed":                                 {[]kv.Response{malformed}, commitRefused, 0, nil},
		"unclear, then applied":                     {[]kv.Response{unknown, unknown, applied}, commitApplied, 21, nil},
		"unclear, refused, then applied":            {[]kv.Response{unknown, throttled, unavailable, applied}, commitApplied, 21, nil},
		"unclear, the first copy was applied":       {[]kv.Response{unknown, conflict, found}, commitApplied, 21, nil},
		"unclear, another was first":                {[]kv.Response{unknown, conflict, other}, commitConflict, 30, []string{key}},
		"unclear, nothing is there":                 {[]kv.Response{unknown, conflict, absent}, commitConflict, 30, []string{key}},
		"unclear, and so is the lookup":             {[]kv.Response{unknown, conflict, unknown, throttled, found}, commitApplied, 21, nil},
		"unclear, limits fell, was applied":         {[]kv.Response{unknown, malformed, found}, commitApplied, 21, nil},
		"unclear, limits fell, was not applied":     {[]kv.Response{unknown, malformed, absent}, commitConflict, 31, nil},
		"unclear, limits fell, another was first":   {[]kv.Response{unknown, malformed, other}, commitConflict, 31, nil},
		"unclear, unavailable, conflict, not there": {[]kv.Response{unknown, unavailable, conflict, absent}, commitConflict, 30, []string{key}},
	} {
		t.Run(name, func(t *testing.T) {
			tc.run(t, &kv.Txn{
				Conditions: []kv.Condition{{Key: key, ModRevision: 20}},
				Operations: []kv.Operation{{Set: key, Value: written}},
			})
		})
	}
}

func (tc *commitCase) run(t *testing.T, txn *kv.Txn) {
	t.Helper()
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.KVStore.ValueKB = 1, 100
	store := &scriptedStore{t: t, c: newTestController(cfg)}
	calls := 0
	store.c.commits.commit(txn, commitTag, func(result commitResult) {
		calls++
		if result.outcome != tc.outcome || result.revision != tc.revision || !slices.Equal(result.failedKeys, tc.failed) {
			t.Errorf("%+v", result)
		}
	})
	for i, answer := range tc.answers {
		if calls != 0 {
			t.Fatalf("outcome reported before answer %d", i)
		}
		store.answer(answer)
	}
	if calls != 1 || len(store.c.effects) != 0 {
		t.Errorf("outcome reported %d times, %d effects after it", calls, len(store.c.effects))
	}
	for _, request := range store.requests {
		if request.Kind == kv.Transact && request.Txn != txn {
			t.Error("a different transaction was sent")
		}
	}
	if shown := store.c.replica.revisions[txn.Operations[0].Set]; (shown != 0) != (tc.outcome == commitApplied) {
		t.Errorf("the replica shows revision %d", shown)
	}
}

// TestCommitOfDeletions checks that a failed repeat counts as a conflict if the transaction only deletes:
// there is no value to look up.
func TestCommitOfDeletions(t *testing.T) {
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.KVStore.ValueKB = 1, 100
	store := &scriptedStore{t: t, c: newTestController(cfg)}
	key := schema.RegistrationKey("a", "a.0")
	var outcomes []commitOutcome
	txn := &kv.Txn{Conditions: []kv.Condition{{Key: key, ModRevision: 3}}, Operations: []kv.Operation{{Delete: key}}}
	store.c.commits.commit(txn, "", func(result commitResult) { outcomes = append(outcomes, result.outcome) })
	store.answer(kv.Response{Status: kv.StatusUnknown})
	store.answer(kv.Response{Status: kv.StatusConflict, Revision: 9})
	if !slices.Equal(outcomes, []commitOutcome{commitConflict}) || len(store.c.effects) != 0 {
		t.Errorf("outcomes %v, %d effects", outcomes, len(store.c.effects))
	}
}

// TestLateAnswerToCommit guards against a document that a controller shows until it restarts, although it was deleted:
// the answer to the commit that wrote it arrives after the watch has shown both. An answer that is ahead of the watch
// counts at once.
func TestLateAnswerToCommit(t *testing.T) {
	const written = 21
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.KVStore.ValueKB = 1, 100
	for name, tc := range map[string]struct {
		watched uint64 // revision that the watch has reached when the answer arrives
		shown   bool
	}{
		"ahead of the watch":  {written - 1, true},
		"behind the deletion": {written + 5, false},
	} {
		t.Run(name, func(t *testing.T) {
			store := &scriptedStore{t: t, c: newTestController(cfg)}
			replica, key := store.c.replica, schema.CancellationPrefix+"j-000001"
			txn := &kv.Txn{Operations: []kv.Operation{{Set: key, Value: json.RawMessage(`{}`)}}}
			applied := false
			store.c.commits.commit(txn, "", func(result commitResult) { applied = result.outcome == commitApplied })
			if tc.watched > written {
				replica.apply(key, txn.Operations[0].Value, written, false)
				replica.apply(key, nil, tc.watched, true)
			}
			replica.advance(tc.watched)
			store.answer(kv.Response{Status: kv.StatusOK, Revision: written})
			j := replica.jobs["j-000001"]
			if shown := j != nil && j.cancellationShown; !applied || shown != tc.shown {
				t.Errorf("applied: %v, cancellation shown: %v, want %v", applied, shown, tc.shown)
			}
		})
	}
}
