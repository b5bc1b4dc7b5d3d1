package controller

import (
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// knownFormat is the latest format of documents that this version knows.
const knownFormat = schema.FormatChains

// chainsEnabled is the feature gate: whether all members know jobs that need others and
// documents that are split. Once raised it is never lowered. Until then nothing may be
// written that a process of the version before would lose when it writes the document anew.
func (c *Core) chainsEnabled() bool { return c.replica.format >= schema.FormatChains }

// raiseFormat raises the gate once every configured member is registered with a format that
// allows it and no process with an earlier one is. The transaction guards every registration
// that it rests on, so that it fails if one of them has ended or been replaced meanwhile. A
// process of the version before may still have writes under way when it was killed: each
// guards the documents that it writes, and fails if a later one was first.
func (c *Core) raiseFormat() {
	if c.chainsEnabled() || !c.entitled() || c.stateBad || !c.mayBorrow() || c.writing[schema.LayoutOf] {
		return
	}
	guards, ok := c.registrations()
	if !ok || !c.every("raise format", units.Second) {
		return
	}
	layout := c.replica.layout
	layout.Format = knownFormat
	txn := &kv.Txn{
		Guards: append(guards, kv.Guard{Key: schema.LayoutOf, Stamp: c.replica.stamps[schema.LayoutOf]}),
		Apply:  []kv.Op{{Set: schema.LayoutOf, Value: encode(layout)}},
	}
	c.log.Info("all members know the new format, raising it", "format", knownFormat)
	c.writeKeys(txn, true)
	c.commit(txn, "", func(res outcome, _ uint64, failed []string) {
		c.writeKeys(txn, false)
		if res != committed {
			c.log.Info("format not raised", "failed", failed)
		}
	})
}

// registrations guards the registrations of all members, and reports whether each member
// has one and all of them know the format.
func (c *Core) registrations() ([]kv.Guard, bool) {
	members := map[string]bool{}
	var guards []kv.Guard
	for key, format := range c.replica.formats {
		if format < knownFormat {
			return nil, false
		}
		member, _, _ := strings.Cut(strings.TrimPrefix(key, schema.Nodes), "/")
		members[member] = true
		guards = append(guards, kv.Guard{Key: key, Stamp: c.replica.stamps[key]})
	}
	missing := slices.ContainsFunc(c.cfg.Others, func(p config.Peer) bool { return !members[p.Member] })
	if missing || !members[c.cfg.Member] || len(members) < c.cfg.Settings.Size {
		return nil, false
	}
	slices.SortFunc(guards, func(a, b kv.Guard) int { return strings.Compare(a.Key, b.Key) })
	return guards, true
}
