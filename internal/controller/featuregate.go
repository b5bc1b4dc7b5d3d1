package controller

import (
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// knownFormat is the latest document format that this version knows.
const knownFormat = schema.FormatDependencies

// formatPeriod is the time between two attempts to raise the format.
const formatPeriod = units.Second

// dependenciesEnabled reports whether the format has been raised, which shows that all members know job
// dependencies and split documents. Until then, nothing may be written that a process of the previous
// version would drop when it rewrites the document.
func (r *replica) dependenciesEnabled() bool { return r.format >= schema.FormatDependencies }

// formatGate raises the format of the store's documents once all controllers know it. The format is
// never lowered.
type formatGate struct {
	*environment

	store     *storeClient
	replica   *replica
	authority *authority
	budget    *writeBudget
	commits   *committer

	period period
}

// raise raises the format once every configured member is registered as knowing it and no process is
// registered with an earlier one. Each of these registrations is a condition of the transaction, which
// fails if one of them has since expired or been replaced. A process of the previous version may
// still have writes in flight when it is killed: each of them is conditional on the revisions of the
// documents that it replaces, and fails if a later write was applied first.
func (g *formatGate) raise() {
	if g.replica.dependenciesEnabled() || !g.authority.mayAct() || !g.replica.allReadable() || g.store.failing || !g.budget.hasCredit() || g.commits.isInFlight(schema.LayoutKey) {
		return
	}
	conditions, ok := g.memberRegistrations()
	if !ok || !g.period.due(g.now, formatPeriod) {
		return
	}
	layout := g.replica.layout
	layout.Format = knownFormat
	txn := &kv.Txn{
		Conditions: append(conditions, kv.Condition{Key: schema.LayoutKey, ModRevision: g.replica.revisions[schema.LayoutKey]}),
		Operations: []kv.Operation{{Set: schema.LayoutKey, Value: encode(layout)}},
	}
	g.log.Info("raising format version", "format", knownFormat)
	g.commits.markInFlight(txn)
	g.commits.commit(txn, "", func(result commitResult) {
		g.commits.clearInFlight(txn)
		if result.outcome != commitApplied {
			g.log.Info("raising format version failed", "failed", result.failedKeys)
		}
	})
}

// memberRegistrations returns the conditions that all registrations are unchanged, and reports whether
// each member has one and all registered processes know the format.
func (g *formatGate) memberRegistrations() ([]kv.Condition, bool) {
	members := map[string]bool{}
	var conditions []kv.Condition
	for key, format := range g.replica.registeredFormats {
		if format < knownFormat {
			return nil, false
		}
		process := processID(strings.TrimPrefix(key, schema.RegistrationPrefix))
		members[process.member()] = true
		conditions = append(conditions, kv.Condition{Key: key, ModRevision: g.replica.revisions[key]})
	}
	missing := slices.ContainsFunc(g.cfg.Peers, func(p config.Peer) bool { return !members[p.Member] })
	if missing || !members[g.cfg.Member] || len(members) < g.cfg.Settings.Size {
		return nil, false
	}
	slices.SortFunc(conditions, func(a, b kv.Condition) int { return strings.Compare(a.Key, b.Key) })
	return conditions, true
}
