package soak

import (
	"encoding/json"
	"net/http"
	"slices"

	"frostdock.example/frostdock/internal/kv"
)

const (
	// maxTxnBytes is the size of the largest transaction that the store accepts.
	maxTxnBytes = 64 << 10
	// conditionsPerOperation is how many conditions a transaction may have per allowed operation.
	conditionsPerOperation = 4
)

// revisionBody is the response to a transaction, or to a read of a key that does not exist.
type revisionBody struct {
	Revision   uint64   `json:"ledgerRev"`
	FailedKeys []string `json:"failed,omitempty"`
}

// commit applies a transaction if it is within the limits and its conditions are met.
func (s *fakeStore) commit(body []byte) response {
	var txn kv.Txn
	if json.Unmarshal(body, &txn) != nil || len(body) > maxTxnBytes || !s.limits.allow(txn) {
		return response{status: http.StatusBadRequest}
	}
	if !s.operationBudget.take(s.limits.operationsPerSecond, float64(len(txn.Operations))) {
		return response{status: http.StatusTooManyRequests}
	}
	if failed := s.failedConditions(txn); len(failed) > 0 {
		return response{http.StatusConflict, revisionBody{Revision: s.revision, FailedKeys: failed}}
	}
	if !s.leasesExist(txn) {
		return response{status: http.StatusBadRequest}
	}
	if len(txn.Operations) > 0 {
		s.apply(txn.Operations)
	}
	return response{http.StatusOK, revisionBody{Revision: s.revision}}
}

// allow reports whether a transaction is within the limits on its size.
func (l *storeLimits) allow(txn kv.Txn) bool {
	if len(txn.Operations) > l.operations || len(txn.Conditions) > conditionsPerOperation*l.operations {
		return false
	}
	return !slices.ContainsFunc(txn.Operations, func(operation kv.Operation) bool { return len(operation.Value) > l.valueBytes })
}

// failedConditions lists the keys that were changed since the transaction's sender read them.
func (s *fakeStore) failedConditions(txn kv.Txn) []string {
	var failed []string
	for _, condition := range txn.Conditions {
		if s.values[condition.Key].revision != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// leasesExist reports whether all leases that a transaction attaches to keys exist.
func (s *fakeStore) leasesExist(txn kv.Txn) bool {
	return !slices.ContainsFunc(txn.Operations, func(operation kv.Operation) bool {
		return operation.LeaseID > 0 && s.leases[operation.LeaseID] == nil
	})
}

// apply executes operations at one new revision.
func (s *fakeStore) apply(operations []kv.Operation) {
	s.revision++
	for _, operation := range operations {
		if operation.Set != "" {
			s.set(operation.Set, slices.Clone(operation.Value), operation.LeaseID)
		} else {
			s.delete(operation.Delete)
		}
	}
	s.notifyWatches()
}
