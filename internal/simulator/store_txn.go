package simulator

import (
	"encoding/json"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// maxTxnBytes is the maximum size of a transaction: its keys and values.
const maxTxnBytes = 64 << 10

// transact commits a transaction if its conditions hold and it is within the limits.
func (s *fakeStore) transact(txn *kv.Txn) kv.Response {
	if s.tooLarge(txn) {
		if !s.txnsBeforeFormatRaise[txn] {
			s.oversizedTxns++
		}
		return kv.Response{Status: kv.StatusMalformed}
	}
	if len(txn.Operations) > 0 && !s.writeBudget.take(s.world.now, float64(len(txn.Operations))) {
		return kv.Response{Status: kv.StatusThrottled}
	}
	if failed := s.failedConditions(txn); len(failed) > 0 {
		return kv.Response{Status: kv.StatusConflict, Revision: s.revision, FailedKeys: failed}
	}
	if s.namesExpiredLease(txn) {
		return kv.Response{Status: kv.StatusMalformed}
	}
	if len(txn.Operations) > 0 {
		s.checkStored(txn.Operations)
		s.commit(txn.Operations)
	}
	return kv.Response{Status: kv.StatusOK, Revision: s.revision}
}

// tooLarge reports whether a transaction exceeds a size limit.
func (s *fakeStore) tooLarge(txn *kv.Txn) bool {
	if len(txn.Operations) > s.limits.TxnOps || len(txn.Conditions) > 4*s.limits.TxnOps {
		return true
	}
	size := 0
	for i := range txn.Operations {
		op := &txn.Operations[i]
		size += len(op.Set) + len(op.Delete) + len(op.Value)
		if float64(len(op.Value)) > s.limits.ValueKB*bytesPerKB {
			return true
		}
	}
	return size > maxTxnBytes
}

// failedConditions returns the keys whose revision differs from what the transaction requires.
func (s *fakeStore) failedConditions(txn *kv.Txn) []string {
	var failed []string
	for _, condition := range txn.Conditions {
		var revision uint64
		if stored := s.keys[condition.Key]; stored != nil {
			revision = stored.revision
		}
		if revision != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// namesExpiredLease reports whether a transaction stores a key under an expired lease.
func (s *fakeStore) namesExpiredLease(txn *kv.Txn) bool {
	for i := range txn.Operations {
		if op := &txn.Operations[i]; op.Set != "" && op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return true
		}
	}
	return false
}

// commit applies operations at one new revision.
func (s *fakeStore) commit(operations []kv.Operation) {
	s.revision++
	for _, op := range operations {
		if op.Set != "" {
			s.keys[op.Set] = &storedValue{op.Value, s.revision, op.LeaseID}
			s.log = append(s.log, kv.Event{Set: op.Set, Value: op.Value, ModRevision: s.revision})
		} else if s.keys[op.Delete] != nil {
			delete(s.keys, op.Delete)
			s.log = append(s.log, kv.Event{Delete: op.Delete, ModRevision: s.revision})
		}
	}
	s.noteProgress(operations)
	s.compactLog()
	s.notifyWatches()
}

// compactLog drops the oldest changes beyond historyLength.
func (s *fakeStore) compactLog() {
	excess := len(s.log) - s.historyLength
	if excess > 0 {
		s.compactedRev = s.log[excess-1].ModRevision
		s.log = append([]kv.Event{}, s.log[excess:]...)
	}
}

// formatRaised reports whether documents may have the present format. Once they may, nothing may exceed
// the announced limits.
func (s *fakeStore) formatRaised() bool {
	stored := s.keys[schema.LayoutKey]
	var layout schema.Layout
	return stored != nil && json.Unmarshal(stored.value, &layout) == nil && layout.Format >= schema.FormatDependencies
}
