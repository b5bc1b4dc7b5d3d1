package simulator

import (
	"encoding/json"
	"strings"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// A controller of the previous version drops from a document what it does not know, when it reads the
// document and when it writes it anew. It is simulated by a present controller whose documents lose what
// is new in both directions.

// previousVersionCall is a call as the previous version would make it.
func previousVersionCall(call controller.StoreCall) controller.StoreCall {
	if call.Request.Kind != kv.Transact || call.Request.Txn == nil {
		return call
	}
	txn := *call.Request.Txn
	txn.Operations = make([]kv.Operation, len(call.Request.Txn.Operations))
	for i, op := range call.Request.Txn.Operations {
		if op.Set != "" {
			op.Value = previousVersionDocument(op.Set, op.Value)
		}
		txn.Operations[i] = op
	}
	call.Request.Txn = &txn
	return call
}

// previousVersionResult is an answer as the previous version reads it.
func previousVersionResult(result controller.StoreResult) controller.StoreResult {
	if result.Response.Key != "" {
		result.Response.Value = previousVersionDocument(result.Response.Key, result.Response.Value)
	}
	items := make([]kv.KeyValue, len(result.Response.Items))
	for i, item := range result.Response.Items {
		item.Value = previousVersionDocument(item.Key, item.Value)
		items[i] = item
	}
	events := make([]kv.Event, len(result.Response.Events))
	for i, change := range result.Response.Events {
		if change.Set != "" {
			change.Value = previousVersionDocument(change.Set, change.Value)
		}
		events[i] = change
	}
	result.Response.Items, result.Response.Events = items, events
	return result
}

// previousVersionDocument is a document without what the previous version does not know.
func previousVersionDocument(key string, value json.RawMessage) json.RawMessage {
	switch {
	case strings.HasPrefix(key, schema.RegistrationPrefix):
		return rewriteDocument(value, func(registration *schema.Registration) { registration.Format = schema.FormatInitial })
	case strings.HasPrefix(key, schema.MachineShardPrefix):
		return rewriteDocument(value, func(shard *schema.MachineShard) { shard.ShardCount = 0 })
	case strings.HasPrefix(key, schema.JobShardPrefix):
		return rewriteDocument(value, func(shard *schema.JobShard) {
			shard.ShardCount = 0
			for i := range shard.Jobs {
				shard.Jobs[i].Needs = nil
			}
		})
	case strings.HasPrefix(key, schema.OutcomePrefix):
		return rewriteDocument(value, func(outcome *schema.Outcome) { outcome.RecordedAt, outcome.CancelledBy = 0, "" })
	}
	return value
}

// rewriteDocument drops something from a document. One that can't be read stays as it is.
func rewriteDocument[T any](value json.RawMessage, drop func(*T)) json.RawMessage {
	var doc T
	if json.Unmarshal(value, &doc) != nil {
		return value
	}
	drop(&doc)
	rewritten, err := json.Marshal(doc)
	if err != nil {
		return value
	}
	return rewritten
}
