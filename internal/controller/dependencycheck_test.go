package controller

import (
	"errors"
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// TestDependencyCheck checks the dependencies of submissions of j-000009. The store has the outcomes of
// j-000001 (done) and j-000002 (cancelled); j-000003 and the service j-000004 are accepted.
func TestDependencyCheck(t *testing.T) {
	for _, tc := range []struct {
		name        string
		needs       []string
		unmet       []string
		cancelledBy string
		cause       error
		text        string
	}{
		{name: "done", needs: []string{"j-000001"}},
		{name: "open", needs: []string{"j-000001", "j-000003"}, unmet: []string{"j-000003"}},
		{name: "cancelled", needs: []string{"j-000002", "j-000003"}, unmet: []string{"j-000003"}, cancelledBy: "j-000002"},
		{name: "itself", needs: []string{"j-000009"}, cause: errDependsOnItself, text: "waitsOn: j-000009: a job can't wait for itself"},
		{name: "service", needs: []string{"j-000004"}, cause: errDependsOnService, text: "waitsOn: j-000004: a service is never done"},
		{name: "unknown", needs: []string{"j-000005"}, cause: errUnknownDependency, text: "waitsOn: j-000005: no such job was accepted"},
		{
			name: "unknown after many", needs: []string{"j-000001", "j-000001", "j-000001", "j-000001", "j-000005"},
			cause: errUnknownDependency, text: "waitsOn: j-000005: no such job was accepted",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			result := checkDependenciesOf(t, tc.needs, (*fakeStore).answer)
			if !slices.Equal(result.unmet, tc.unmet) || result.cancelledBy != tc.cancelledBy || result.undecided {
				t.Errorf("found %+v", result)
			}
			if !errors.Is(result.rejection, tc.cause) {
				t.Errorf("rejected: %v, want %v", result.rejection, tc.cause)
			}
			if tc.cause != nil && result.rejection.Error() != tc.text {
				t.Errorf("error text %q, want %q", result.rejection, tc.text)
			}
		})
	}
}

// TestDependencyCheckUndecided checks a dependency whose outcome can't be read: the store is unavailable.
func TestDependencyCheckUndecided(t *testing.T) {
	unavailable := func(_ *fakeStore, effect Effect) []Message {
		call, ok := effect.(StoreCall)
		if !ok {
			return nil
		}
		return []Message{StoreResult{CallID: call.CallID, Response: kv.Response{Status: kv.StatusUnavailable}}}
	}
	if result := checkDependenciesOf(t, []string{"j-000001"}, unavailable); !result.undecided || result.rejection != nil {
		t.Errorf("found %+v", result)
	}
}

// checkDependenciesOf returns the result of checking the dependencies of a submission of j-000009; answer
// gives the store's answers.
func checkDependenciesOf(t *testing.T, needs []string, answer func(*fakeStore, Effect) []Message) dependencyResult {
	t.Helper()
	c, store := storeWithDependencies(schema.Outcome{State: StageDone})
	store.put(schema.OutcomePrefix+"j-000002", schema.Outcome{State: StageCancelled})
	for _, spec := range []schema.Job{{ID: "j-000003", Team: "red", Tasks: 1}, {ID: "j-000004", Team: "red", Tasks: 1, Service: true}} {
		j := c.replica.job(spec.ID)
		j.spec, j.accepted = spec, true
	}
	submission := UserRequest{JobID: "j-000009", Job: &schema.Job{ID: "j-000009", Needs: needs}}
	var results []dependencyResult
	checkDependencies(c.replica, c.outcomeReads, submission, func(result dependencyResult) { results = append(results, result) })
	for len(c.effects) > 0 {
		effects := c.effects
		c.effects = nil
		for _, effect := range effects {
			for _, message := range answer(store, effect) {
				c.handle(message)
			}
		}
	}
	if len(results) != 1 {
		t.Fatalf("done was called %d times, want once", len(results))
	}
	return results[0]
}
