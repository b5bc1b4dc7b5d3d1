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
const knownFormat = schema.FormatDependencies

// chainsEnabled is the feature gate: whether all members know jobs that need others and
// documents that are split. Once raised it is never lowered. Until then nothing may be
// written that a process of the version before would lose when it writes the document anew.
func (c *Controller) chainsEnabled() bool { return c.replica.format >= schema.FormatDependencies }

// raiseFormat raises the gate once every configured member is registered with a format that
// allows it and no process with an earlier one is. The transaction guards every registration
// that it rests on, so that it fails if one of them has ended or been replaced meanwhile. A
// process of the version before may still have writes under way when it was killed: each
// guards the documents that it writes, and fails if a later one was first.
func (c *Controller) raiseFormat() {
	if c.chainsEnabled() || !c.mayAct() || c.store.failing || !c.hasWriteCredit() || c.commits.keysInFlight[schema.LayoutKey] {
		return
	}
	guards, ok := c.memberRegistrations()
	if !ok || !c.scheduling.formatPeriod.due(c.now, units.Second) {
		return
	}
	layout := c.replica.layout
	layout.Format = knownFormat
	txn := &kv.Txn{
		Conditions: append(guards, kv.Condition{Key: schema.LayoutKey, ModRevision: c.replica.revisions[schema.LayoutKey]}),
		Operations: []kv.Operation{{Set: schema.LayoutKey, Value: encode(layout)}},
	}
	c.log.Info("raising format version", "format", knownFormat)
	c.setKeysInFlight(txn, true)
	c.commit(txn, "", func(res commitOutcome, _ uint64, failed []string) {
		c.setKeysInFlight(txn, false)
		if res != commitApplied {
			c.log.Info("raising format version failed", "failed", failed)
		}
	})
}

// memberRegistrations guards the registrations of all members, and reports whether each member
// has one and all of them know the format.
func (c *Controller) memberRegistrations() ([]kv.Condition, bool) {
	members := map[string]bool{}
	var guards []kv.Condition
	for key, format := range c.replica.registeredFormats {
		if format < knownFormat {
			return nil, false
		}
		member, _, _ := strings.Cut(strings.TrimPrefix(key, schema.RegistrationPrefix), "/")
		members[member] = true
		guards = append(guards, kv.Condition{Key: key, ModRevision: c.replica.revisions[key]})
	}
	missing := slices.ContainsFunc(c.cfg.Peers, func(p config.Peer) bool { return !members[p.Member] })
	if missing || !members[c.cfg.Member] || len(members) < c.cfg.Settings.Size {
		return nil, false
	}
	slices.SortFunc(guards, func(a, b kv.Condition) int { return strings.Compare(a.Key, b.Key) })
	return guards, true
}
