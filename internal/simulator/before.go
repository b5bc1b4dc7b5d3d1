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

// asBefore is a call as the version before would make it.
func asBefore(e controller.StateCall) controller.StateCall {
	if e.Req.Kind != kv.Commit || e.Req.Txn == nil {
		return e
	}
	txn := *e.Req.Txn
	txn.Apply = make([]kv.Op, len(e.Req.Txn.Apply))
	for i, op := range e.Req.Txn.Apply {
		if op.Set != "" {
			op.Value = withoutNews(op.Set, op.Value)
		}
		txn.Apply[i] = op
	}
	e.Req.Txn = &txn
	return e
}

// shownBefore is an answer as the version before reads it.
func shownBefore(d controller.StateDone) controller.StateDone {
	if d.Resp.Key != "" {
		d.Resp.Value = withoutNews(d.Resp.Key, d.Resp.Value)
	}
	items := make([]kv.Item, len(d.Resp.Items))
	for i, it := range d.Resp.Items {
		it.Value = withoutNews(it.Key, it.Value)
		items[i] = it
	}
	news := make([]kv.Event, len(d.Resp.News))
	for i, ev := range d.Resp.News {
		if ev.Set != "" {
			ev.Value = withoutNews(ev.Set, ev.Value)
		}
		news[i] = ev
	}
	d.Resp.Items, d.Resp.News = items, news
	return d
}

// withoutNews is a document without what the version before does not know.
func withoutNews(key string, val json.RawMessage) json.RawMessage {
	switch {
	case strings.HasPrefix(key, schema.Nodes):
		return rewritten(val, func(r *schema.Registration) { r.Format = schema.FormatBefore })
	case strings.HasPrefix(key, schema.MachineShards):
		return rewritten(val, func(g *schema.MachineShard) { g.Spread = 0 })
	case strings.HasPrefix(key, schema.JobShards):
		return rewritten(val, func(s *schema.JobShard) {
			s.Spread = 0
			for i := range s.Jobs {
				s.Jobs[i].Needs = nil
			}
		})
	case strings.HasPrefix(key, schema.Finals):
		return rewritten(val, func(f *schema.Final) { f.At, f.Because = 0, "" })
	}
	return val
}

func rewritten[T any](val json.RawMessage, drop func(*T)) json.RawMessage {
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
