package simulator

import (
	"encoding/json"
	"strings"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// A controller of the previous version drops unknown fields when it reads a document and when it writes
// the document back. It is simulated by a controller of the present version, whose documents lose the new
// fields in both directions.

// previousVersionCall returns a call as the previous version would make it.
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

// previousVersionResult returns a result as the previous version would read it.
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

// previousVersionDocument returns a document without the fields that the previous version does not know.
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

// rewriteDocument applies drop to a document. One that can't be decoded is returned unchanged.
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
