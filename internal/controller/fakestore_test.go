package controller

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

// fakeStore answers a controller's requests immediately and without errors, and counts them.
type fakeStore struct {
	keys              map[string]kv.KeyValue
	revision          uint64
	openWatches       []StoreCall
	heartbeatSequence uint64
	requestCounts     map[kv.RequestKind]int
	agentCalls        int
	agentTokens       map[string]uint64 // by address: highest fencing token that the agent has seen

	checkConditions bool // the conditions of transactions are checked

	maxValueBytes, maxTxnOps int      // longest value in bytes and most operations of a transaction; 0: no limit
	oversized                []string // what was over these limits
	operationCount           int
}

// noteOversized records a transaction that the key-value store would refuse as too large.
func (o *fakeStore) noteOversized(txn *kv.Txn) {
	if o.maxTxnOps == 0 {
		return
	}
	if len(txn.Operations) > o.maxTxnOps || len(txn.Conditions) > 4*o.maxTxnOps {
		o.oversized = append(o.oversized, fmt.Sprintf("%d changes, %d conditions", len(txn.Operations), len(txn.Conditions)))
	}
	for _, op := range txn.Operations {
		if len(op.Value) > o.maxValueBytes {
			o.oversized = append(o.oversized, fmt.Sprintf("%s: %d bytes", op.Set, len(op.Value)))
		}
	}
}

// failedConditions returns the keys of a transaction's conditions that do not hold.
func (o *fakeStore) failedConditions(txn *kv.Txn) []string {
	var failed []string
	for _, condition := range txn.Conditions {
		if o.checkConditions && o.keys[condition.Key].ModRevision != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// newTestController returns a controller with the default policy and a log that is discarded.
func newTestController(cfg *config.Config) *Controller {
	return New(cfg, policy.Default(), slog.New(slog.NewTextHandler(io.Discard, nil)), "test")
}

// stepper returns a function that drives a controller: each call is one step, 25 ms after the one before,
// with the answers to the effects of that one as its messages.
func (o *fakeStore) stepper(c *Controller) func() {
	now := units.Second
	var msgs []Message
	return func() {
		now += 25 * units.Millisecond
		var next []Message
		for _, e := range c.Step(now, now+units.Micros(1e15), msgs) {
			next = append(next, o.answer(e)...)
		}
		msgs = next
	}
}

// pageBytes is the maximum size of one page of a list.
const pageBytes = 512 << 10

func (o *fakeStore) put(key string, doc any) {
	o.revision++
	o.keys[key] = kv.KeyValue{Key: key, Value: encode(doc), ModRevision: o.revision}
}

func (o *fakeStore) list(request kv.Request) kv.Response {
	r := kv.Response{Status: kv.StatusOK, Revision: o.revision}
	var names []string
	for k := range o.keys {
		if strings.HasPrefix(k, request.Key) && k > request.After {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	size := 0
	for _, k := range names {
		size += len(o.keys[k].Value) + len(k) + 40
		if size > pageBytes || len(r.Items) == 1000 {
			r.Truncated = true
			break
		}
		r.Items = append(r.Items, o.keys[k])
	}
	return r
}

// answer returns the messages that an effect results in.
func (o *fakeStore) answer(e Effect) []Message {
	switch e := e.(type) {
	case StoreCall:
		return o.answerStore(e)
	case CloudCall:
		return []Message{answerCloud(e)}
	case AgentCall:
		return []Message{o.answerAgent(e)}
	case Reply, BroadcastHeartbeat: // get no answer
	}
	return nil
}

// answerStore answers a request to the store; an open watch is answered when a transaction is applied.
func (o *fakeStore) answerStore(call StoreCall) []Message {
	o.requestCounts[call.Request.Kind]++
	r := kv.Response{Status: kv.StatusOK, Revision: o.revision}
	switch call.Request.Kind {
	case kv.Get:
		item, ok := o.keys[call.Request.Key]
		r.Key, r.Value, r.ModRevision = item.Key, item.Value, item.ModRevision
		if !ok {
			r.Status = kv.StatusNotFound
		}
	case kv.List:
		r = o.list(call.Request)
	case kv.GrantLease:
		r.LeaseID = 1
	case kv.RenewLease: // the status is the whole answer
	case kv.Watch:
		if call.Request.Revision >= o.revision {
			o.openWatches = append(o.openWatches, call)
			return nil
		}
	case kv.Transact:
		return o.transact(call)
	}
	return []Message{StoreResult{CallID: call.CallID, Response: r}}
}

// transact applies a transaction and answers it, and then the open watches.
func (o *fakeStore) transact(call StoreCall) []Message {
	txn := call.Request.Txn
	o.noteOversized(txn)
	if failed := o.failedConditions(txn); len(failed) > 0 {
		return []Message{StoreResult{CallID: call.CallID, Response: kv.Response{Status: kv.StatusConflict, Revision: o.revision, FailedKeys: failed}}}
	}
	o.operationCount += len(txn.Operations)
	o.revision++
	for _, op := range txn.Operations {
		if op.Set != "" {
			o.keys[op.Set] = kv.KeyValue{Key: op.Set, Value: op.Value, ModRevision: o.revision}
		} else {
			delete(o.keys, op.Delete)
		}
	}
	shown := kv.Response{Status: kv.StatusOK, Revision: o.revision}
	out := []Message{StoreResult{CallID: call.CallID, Response: shown}}
	for _, w := range o.openWatches { // the controller has applied its own commit already
		out = append(out, StoreResult{CallID: w.CallID, Response: shown})
	}
	o.openWatches = nil
	return out
}

// answerCloud offers a catalog of one machine type and refuses all other operations.
func answerCloud(call CloudCall) CloudResult {
	result := CloudResult{CallID: call.CallID, Status: cloud.StatusRefused}
	if call.Op == CloudCatalog {
		result.Status = cloud.StatusOK
		result.Catalog.Types = []cloud.MachineType{{Name: "big", CPUs: 32, MemGB: 256, FetchGBPerSecond: 1, HourlyPrice: 1, BootSeconds: 30, Zones: []string{"a"}}}
	}
	return result
}

// answerAgent answers as an agent without tasks that accepts all commands.
func (o *fakeStore) answerAgent(call AgentCall) AgentResult {
	o.agentCalls++
	o.heartbeatSequence++
	r := &agent.Heartbeat{Machine: call.Address, Addr: call.Address, Type: "big", Zone: "a", Epoch: 1, Sequence: o.heartbeatSequence}
	if call.Commands != nil {
		if o.agentTokens == nil {
			o.agentTokens = map[string]uint64{}
		}
		o.agentTokens[call.Address] = max(o.agentTokens[call.Address], call.Commands.FencingToken)
	}
	r.FencingToken = o.agentTokens[call.Address]
	return AgentResult{CallID: call.CallID, Heartbeat: r}
}
