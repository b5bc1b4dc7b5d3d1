package controller

import (
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// load reads everything under schema.Active, then watches. It is the way in at
// the start and whenever the watch has lost its place (410).
func (c *Core) load() {
	c.replica.synced = false
	c.replica.watchN++
	seen := map[string]bool{}
	var base uint64
	var page func(since string)
	page = func(since string) {
		c.callState(kv.Request{Kind: kv.List, Key: schema.Active, Since: since}, func(resp kv.Response) {
			if resp.Status != 200 {
				c.after(300*units.Millisecond, func() { page(since) })
				return
			}
			if base == 0 {
				base = resp.Rev
			}
			c.replica.completeAt = max(c.replica.completeAt, resp.Rev)
			for _, it := range resp.Items {
				seen[it.Key] = true
				c.apply(it.Key, it.Value, it.Stamp, false)
			}
			if resp.Truncated && len(resp.Items) > 0 {
				page(resp.Items[len(resp.Items)-1].Key)
				return
			}
			// What the list no longer has, and was not written since, is gone.
			for key, stamp := range c.replica.stamps {
				if !seen[key] && stamp <= base {
					c.apply(key, nil, base, true)
				}
			}
			if !c.replica.laidOut {
				c.writeLayout(base)
				return
			}
			c.loaded(base)
		})
	}
	page("")
}

// loaded begins to follow the store from the revision as of which the copy is complete.
func (c *Core) loaded(rev uint64) {
	c.replica.watchRev = rev
	c.replica.synced = true
	c.log.Info("replica loaded", "rev", rev, "complete_at", c.replica.completeAt, "jobs", len(c.replica.jobs), "machines", len(c.replica.machines))
	c.watch()
}

// newLayout is the layout of a store that has none yet: one that fits what the state service
// will allow.
func (c *Core) newLayout() schema.Layout {
	settings := &c.cfg.Settings
	tighter := settings.State.Tighter(settings.NextState())
	return schema.LayoutFor(tighter.ValueKB, settings.MostCPUs())
}

// writeLayout settles the layout of a store that has none. If another was first, or the
// copy was loaded by another layout, it is loaded anew.
func (c *Core) writeLayout(rev uint64) {
	layout := c.newLayout()
	for key := range c.replica.stamps {
		if strings.HasPrefix(key, schema.MachineShards) {
			layout = schema.LayoutBefore(c.cfg.Settings.State.ValueKB)
		}
	}
	c.log.Info("lay out the store", "machine_shards", layout.Groups, "job_shards", layout.Shelves)
	txn := &kv.Txn{
		Guards: []kv.Guard{{Key: schema.LayoutOf}},
		Apply:  []kv.Op{{Set: schema.LayoutOf, Value: encode(layout)}},
	}
	asLoaded := layout == c.replica.layout
	c.callState(kv.Request{Kind: kv.Commit, Txn: txn}, func(r kv.Response) {
		if r.Status != 200 || !asLoaded {
			c.after(100*units.Millisecond, c.load)
			return
		}
		c.apply(schema.LayoutOf, txn.Apply[0].Value, r.Rev, false)
		c.loaded(rev)
	})
}

// staleAfter is how long the watch may lag behind what other answers show.
const staleAfter = units.Second

// checkWatch opens a new watch when the present one has fallen behind: after a
// cut its connection may be dead without an error, and when this node alone
// was refused it waits as in an outage.
func (c *Core) checkWatch() {
	r := c.replica
	if !r.synced || r.seenRev <= r.watchRev {
		r.behind = 0
		return
	}
	if r.behind == 0 {
		r.behind = c.now
	}
	if c.now-r.behind > staleAfter {
		r.behind = c.now + staleAfter // give the new one time before the next
		c.log.Info("watch is behind, opening a new one", "rev", r.watchRev, "seen", r.seenRev)
		c.watch()
	}
}

func (c *Core) watch() {
	c.replica.watchN++
	n := c.replica.watchN
	opened := c.now
	c.callState(kv.Request{Kind: kv.Watch, Key: schema.Root, Rev: c.replica.watchRev, HoldMs: 10000}, func(resp kv.Response) {
		if n != c.replica.watchN {
			return
		}
		switch {
		case resp.Status == 200:
			for _, e := range resp.News {
				if e.Set != "" {
					c.apply(e.Set, e.Value, e.Stamp, false)
				} else {
					c.apply(e.Delete, nil, e.Stamp, true)
				}
			}
			if resp.Rev > c.replica.watchRev {
				c.replica.watchRev = resp.Rev
			}
			for k, rev := range c.replica.tombs {
				if rev <= c.replica.watchRev {
					delete(c.replica.tombs, k)
				}
			}
			c.caughtUp()
			if len(resp.News) == 0 && resp.Rev < c.replica.seenRev {
				c.after(100*units.Millisecond, func() { c.rewatch(n) }) // refused: it tells nothing
				return
			}
			// While much changes, one answer should tell several changes.
			c.after(max(0, opened+c.pace(0.4)-c.now), func() { c.rewatch(n) })
		case resp.Status == 410:
			c.log.Warn("watch lost its place, loading anew")
			c.load()
		default:
			c.after(200*units.Millisecond, func() { c.rewatch(n) })
		}
	})
}

// rewatch goes on after watch n unless another has been opened.
func (c *Core) rewatch(n int) {
	if n == c.replica.watchN && c.replica.synced {
		c.watch()
	}
}
