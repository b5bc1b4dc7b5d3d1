package simulator

import (
	"encoding/json"
	"strings"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// A controller of the version before drops from a document what it does not know, when it
// reads it and when it writes it anew. Towards other processes it is simulated by a present
// controller whose documents lose, in both directions, what is new.

// previousVersionCall is a call as the version before would make it.
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

// previousVersionResult is an answer as the version before reads it.
func previousVersionResult(result controller.StoreResult) controller.StoreResult {
	if result.Response.Key != "" {
		result.Response.Value = previousVersionDocument(result.Response.Key, result.Response.Value)
	}
	items := make([]kv.KeyValue, len(result.Response.Items))
	for i, item := range result.Response.Items {
		item.Value = previousVersionDocument(item.Key, item.Value)
		items[i] = item
	}
	news := make([]kv.Event, len(result.Response.Events))
	for i, updated := range result.Response.Events {
		if updated.Set != "" {
			updated.Value = previousVersionDocument(updated.Set, updated.Value)
		}
		news[i] = updated
	}
	result.Response.Items, result.Response.Events = items, news
	return result
}

// previousVersionDocument is a document without what the version before does not know.
func previousVersionDocument(key string, val json.RawMessage) json.RawMessage {
	switch {
	case strings.HasPrefix(key, schema.RegistrationPrefix):
		return rewriteDocument(val, func(registration *schema.Registration) { registration.Format = schema.FormatInitial })
	case strings.HasPrefix(key, schema.MachineShardPrefix):
		return rewriteDocument(val, func(shard *schema.MachineShard) { shard.ShardCount = 0 })
	case strings.HasPrefix(key, schema.JobShardPrefix):
		return rewriteDocument(val, func(shard *schema.JobShard) {
			shard.ShardCount = 0
			for i := range shard.Jobs {
				shard.Jobs[i].Needs = nil
			}
		})
	case strings.HasPrefix(key, schema.OutcomePrefix):
		return rewriteDocument(val, func(outcome *schema.Outcome) { outcome.RecordedAt, outcome.CancelledBy = 0, "" })
	}
	return val
}

func rewriteDocument[T any](val json.RawMessage, drop func(*T)) json.RawMessage {
	var doc T
	if json.Unmarshal(val, &doc) != nil {
		return val
	}
	drop(&doc)
	out, err := json.Marshal(doc)
	if err != nil {
		return val
	}
	return out
}
