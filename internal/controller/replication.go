package controller

import (
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// load reads everything under schema.Active, then watches. It is the way in at
// the start and whenever the watch has lost its place (410).
func (c *Controller) load() {
	c.replica.synced = false
	c.replica.watchID++
	seen := map[string]bool{}
	var base uint64
	var page func(since string)
	page = func(since string) {
		c.store.call(kv.Request{Kind: kv.List, Key: schema.ActivePrefix, After: since}, func(resp kv.Response) {
			if resp.Status != kv.StatusOK {
				c.after(300*units.Millisecond, func() { page(since) })
				return
			}
			if base == 0 {
				base = resp.Revision
			}
			c.replica.completeRevision = max(c.replica.completeRevision, resp.Revision)
			for _, it := range resp.Items {
				seen[it.Key] = true
				c.replica.apply(it.Key, it.Value, it.ModRevision, false)
			}
			if resp.Truncated && len(resp.Items) > 0 {
				page(resp.Items[len(resp.Items)-1].Key)
				return
			}
			// What the list no longer has, and was not written since, is gone.
			for key, stamp := range c.replica.revisions {
				if !seen[key] && stamp <= base {
					c.replica.apply(key, nil, base, true)
				}
			}
			if !c.replica.layoutKnown {
				c.writeLayout(base)
				return
			}
			c.loaded(base)
		})
	}
	page("")
}

// loaded begins to follow the store from the revision as of which the copy is complete.
func (c *Controller) loaded(rev uint64) {
	c.replica.watchRevision = rev
	c.replica.synced = true
	c.log.Info("replica loaded", "revision", rev, "complete_revision", c.replica.completeRevision, "jobs", len(c.replica.jobs), "machines", len(c.replica.machines))
	c.watch()
}

// newLayout is the layout of a store that has none yet: one that fits what the state service
// will allow.
func (c *Controller) newLayout() schema.Layout {
	settings := &c.cfg.Settings
	tighter := settings.KVStore.Min(settings.NextKVLimits())
	return schema.NewLayout(tighter.ValueKB, settings.TotalCPUQuota())
}

// writeLayout settles the layout of a store that has none. If another was first, or the
// copy was loaded by another layout, it is loaded anew.
func (c *Controller) writeLayout(rev uint64) {
	layout := c.newLayout()
	for key := range c.replica.revisions {
		if strings.HasPrefix(key, schema.MachineShardPrefix) {
			layout = schema.InitialLayout(c.cfg.Settings.KVStore.ValueKB)
		}
	}
	c.log.Info("creating store layout", "machine_shards", layout.MachineShards, "job_shards", layout.JobShards)
	txn := &kv.Txn{
		Conditions: []kv.Condition{{Key: schema.LayoutKey}},
		Operations: []kv.Operation{{Set: schema.LayoutKey, Value: encode(layout)}},
	}
	asLoaded := layout == c.replica.layout
	c.store.call(kv.Request{Kind: kv.Transact, Txn: txn}, func(r kv.Response) {
		if r.Status != kv.StatusOK || !asLoaded {
			c.after(100*units.Millisecond, c.load)
			return
		}
		c.replica.apply(schema.LayoutKey, txn.Operations[0].Value, r.Revision, false)
		c.loaded(rev)
	})
}

// staleAfter is how long the watch may lag behind what other answers show.
const staleAfter = units.Second

// checkWatch opens a new watch when the present one has fallen behind: after a
// cut its connection may be dead without an error, and when this node alone
// was refused it waits as in an outage.
func (c *Controller) checkWatch() {
	r := c.replica
	if !r.synced || c.store.seenRevision <= r.watchRevision {
		r.behindSince = 0
		return
	}
	if r.behindSince == 0 {
		r.behindSince = c.now
	}
	if c.now-r.behindSince > staleAfter {
		r.behindSince = c.now + staleAfter // give the new one time before the next
		c.log.Info("watch lagging, reopening", "revision", r.watchRevision, "seen", c.store.seenRevision)
		c.watch()
	}
}

func (c *Controller) watch() {
	c.replica.watchID++
	n := c.replica.watchID
	opened := c.now
	c.store.call(kv.Request{Kind: kv.Watch, Key: schema.RootPrefix, Revision: c.replica.watchRevision, WaitMillis: 10000}, func(resp kv.Response) {
		if n != c.replica.watchID {
			return
		}
		switch {
		case resp.Status == kv.StatusOK:
			for _, e := range resp.Events {
				if e.Set != "" {
					c.replica.apply(e.Set, e.Value, e.ModRevision, false)
				} else {
					c.replica.apply(e.Delete, nil, e.ModRevision, true)
				}
			}
			if resp.Revision > c.replica.watchRevision {
				c.replica.watchRevision = resp.Revision
			}
			for k, rev := range c.replica.tombstones {
				if rev <= c.replica.watchRevision {
					delete(c.replica.tombstones, k)
				}
			}
			c.releaseCurrent()
			if len(resp.Events) == 0 && resp.Revision < c.store.seenRevision {
				c.after(100*units.Millisecond, func() { c.rewatch(n) }) // refused: it tells nothing
				return
			}
			// While much changes, one answer should tell several changes.
			c.after(max(0, opened+c.requestInterval(0.4)-c.now), func() { c.rewatch(n) })
		case resp.Status == kv.StatusCompacted:
			c.log.Warn("watch revision compacted, reloading replica")
			c.load()
		default:
			c.after(200*units.Millisecond, func() { c.rewatch(n) })
		}
	})
}

// rewatch goes on after watch n unless another has been opened.
func (c *Controller) rewatch(n int) {
	if n == c.replica.watchID && c.replica.synced {
		c.watch()
	}
}
