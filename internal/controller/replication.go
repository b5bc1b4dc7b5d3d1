package controller

import (
	"cmp"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

const (
	loadRetryDelay     = 300 * units.Millisecond // before a failed read of a page is repeated
	layoutRetryDelay   = 100 * units.Millisecond // before a reload that reads the layout stored by then
	unreadableDelay    = 5 * units.Second        // before a reload after one that found the layout unreadable
	watchWait          = 10 * units.Second       // how long the store may hold a watch open without a change
	watchRetryDelay    = 200 * units.Millisecond // before the next watch after an error
	watchRefusalDelay  = 100 * units.Millisecond // before the next watch after a refused one
	watchRequestsShare = 0.4                     // share of the permitted requests that the watch may use

	unlocatedLogPeriod = units.Second

	// maxWatchLag is how long the watch may lag behind the latest revision in other answers.
	maxWatchLag = units.Second
)

// complete reports whether the replica is loaded and its watch has reached the revision of each page that
// was loaded.
func (r *replica) complete() bool {
	return r.synced && r.watchRevision >= r.completeRevision
}

// beginLoad marks the replica as not synced until it has been reloaded.
func (r *replica) beginLoad() { r.synced = false }

// notePage records the revision of a page. Pages are read at different times, so an entry that moves from
// one document to another during the load may be on no page: the replica is complete only once the watch
// has reached the revision of the latest page.
func (r *replica) notePage(revision uint64) { r.completeRevision = max(r.completeRevision, revision) }

// beginSync records that the replica follows the store from the revision as of which it was loaded.
func (r *replica) beginSync(revision uint64) {
	r.watchRevision, r.synced = revision, true
}

// advance records that the replica shows all changes up to a revision.
func (r *replica) advance(revision uint64) {
	r.watchRevision = max(r.watchRevision, revision)
	for key, deletedAt := range r.tombstones {
		if deletedAt <= r.watchRevision {
			delete(r.tombstones, key)
		}
	}
	r.logUnlocated()
	r.machineDirectory.advance(r.watchRevision)
	r.jobDirectory.advance(r.watchRevision)
}

// logUnlocated logs, after an answer to the watch, how many jobs and machines belong to a part of a split
// shard that was not shown yet. A later answer shows that part; usually one answer shows all parts.
func (r *replica) logUnlocated() {
	if count := len(r.unlocatedJobs) + len(r.unlocatedMachines); count > 0 && r.unlocatedLog.due(r.env.now, unlocatedLogPeriod) {
		r.env.log.Info("shards after a split not shown yet", "jobs", len(r.unlocatedJobs), "machines", len(r.unlocatedMachines), "revision", r.watchRevision)
	}
}

// noteDeleted records that a key was deleted: until the watch has reached that revision, the key may still be shown as
// it was before.
func (r *replica) noteDeleted(key string, revision uint64) {
	if revision > r.watchRevision {
		r.tombstones[key] = revision
	}
}

// applyCommitted applies the operations of a commit of this process, ahead of the watch. If the watch has reached the
// commit's revision, it has shown them already, and perhaps a later deletion, which leaves no revision behind that
// would show that they are outdated. Outcomes never change.
func (r *replica) applyCommitted(operations []kv.Operation, revision uint64) {
	shown := revision <= r.watchRevision
	for _, op := range operations {
		switch {
		case shown && !strings.HasPrefix(op.Set, schema.OutcomePrefix):
		case op.Set != "":
			r.apply(op.Set, op.Value, revision, false)
		default:
			r.apply(op.Delete, nil, revision, true)
		}
	}
}

// replicator loads the replica from the store and keeps it up to date by one watch.
//
// It guarantees that the replica is synced only while every change that the store made after the load
// reaches it. If the store no longer has a change that the watch needs, everything is reloaded. It makes
// no decisions on the contents, and does not track whether the replica is recent: freshness does.
type replicator struct {
	*environment

	store     *storeClient
	replica   *replica
	freshness *freshness

	watchID     int          // of the current watch; answers to older ones are ignored
	behindSince units.Micros // when other answers began to show later revisions than the watch; 0: they do not
}

// load reads everything under schema.ActivePrefix, then opens a watch. It runs at the start, and
// whenever the watch can't continue from its revision.
func (r *replicator) load() {
	r.replica.beginLoad()
	r.watchID++ // an answer to the present watch is ignored from now on
	l := &replicaLoad{replicator: r, seen: map[string]bool{}}
	l.readPage("")
}

// replicaLoad is one load of the replica, which reads the store page by page.
type replicaLoad struct {
	*replicator
	seen         map[string]bool // keys on the pages read so far
	baseRevision uint64          // revision of the first page; the watch starts from it
}

// readPage reads the page after a key, and retries until the store returns it.
func (l *replicaLoad) readPage(after string) {
	l.store.call(kv.Request{Kind: kv.List, Key: schema.ActivePrefix, After: after}, func(page kv.Response) {
		if page.Status != kv.StatusOK {
			l.after(loadRetryDelay, func() { l.readPage(after) })
			return
		}
		l.takePage(page)
	})
}

func (l *replicaLoad) takePage(page kv.Response) {
	if l.baseRevision == 0 {
		l.baseRevision = page.Revision
	}
	l.replica.notePage(page.Revision)
	for _, item := range page.Items {
		l.seen[item.Key] = true
		l.replica.apply(item.Key, item.Value, item.ModRevision, false)
	}
	if page.Truncated && len(page.Items) > 0 {
		l.readPage(page.Items[len(page.Items)-1].Key)
		return
	}
	l.finish()
}

// finish completes the load after the last page, and stores a layout if the store has none. Without a readable
// layout the other documents can't be understood.
func (l *replicaLoad) finish() {
	l.removeUnlisted()
	switch {
	case l.replica.layoutKnown:
		l.beginWatch(l.baseRevision)
	case l.replica.unreadable[schema.LayoutKey]:
		l.replica.logUnreadable()
		l.after(unreadableDelay, l.load)
	default:
		l.writeLayout(l.baseRevision)
	}
}

// removeUnlisted removes the keys that are on no page and were not written after the first page was read.
func (l *replicaLoad) removeUnlisted() {
	for key, revision := range l.replica.revisions {
		if !l.seen[key] && revision <= l.baseRevision {
			l.replica.apply(key, nil, l.baseRevision, true)
		}
	}
}

// beginWatch starts to follow the store from the revision as of which the replica was loaded.
func (r *replicator) beginWatch(revision uint64) {
	r.replica.beginSync(revision)
	r.log.Info("replica loaded", "revision", revision, "complete_revision", r.replica.completeRevision, "jobs", len(r.replica.jobs), "machines", len(r.replica.machines))
	r.watch()
}

// newLayout returns the layout for a store that has none yet: one that fits its present and next limits.
func newLayout(settings *config.Settings) schema.Layout {
	tighter := settings.KVStore.Min(settings.NextKVLimits())
	return schema.NewLayout(tighter.ValueKB, settings.TotalCPUQuota())
}

// writeLayout stores a layout in a store that has none. If another controller was first, or the replica
// was loaded with another layout, everything is reloaded.
func (r *replicator) writeLayout(loadedRevision uint64) {
	layout := newLayout(&r.cfg.Settings)
	for key := range r.replica.revisions {
		if strings.HasPrefix(key, schema.MachineShardPrefix) { // written by a version without layouts
			layout = schema.InitialLayout(r.cfg.Settings.KVStore.ValueKB)
		}
	}
	r.log.Info("creating store layout", "machine_shards", layout.MachineShards, "job_shards", layout.JobShards)
	value := encode(layout)
	txn := &kv.Txn{
		Conditions: []kv.Condition{{Key: schema.LayoutKey}},
		Operations: []kv.Operation{{Set: schema.LayoutKey, Value: value}},
	}
	sameLayout := layout == r.replica.layout
	r.store.call(kv.Request{Kind: kv.Transact, Txn: txn}, func(response kv.Response) {
		if response.Status != kv.StatusOK || !sameLayout {
			r.after(layoutRetryDelay, r.load)
			return
		}
		r.replica.apply(schema.LayoutKey, value, response.Revision, false)
		r.beginWatch(loadedRevision)
	})
}

// checkLag opens a new watch when the present one has fallen behind: after a network partition its
// connection may be dead without an error, and if the store refused only this controller, the watch
// receives no changes, as in an outage.
func (r *replicator) checkLag() {
	if !r.replica.synced || r.store.seenRevision <= r.replica.watchRevision {
		r.behindSince = 0
		return
	}
	if r.behindSince == 0 {
		r.behindSince = r.now
	}
	if r.now-r.behindSince > maxWatchLag {
		r.behindSince = r.now + maxWatchLag // give the new watch time before the next one
		r.log.Info("watch lagging, reopening", "revision", r.replica.watchRevision, "seen", r.store.seenRevision)
		r.watch()
	}
}

// watch requests the changes after those that the replica shows, and replaces any other watch.
func (r *replicator) watch() {
	r.watchID++
	w := &watchCall{replicator: r, id: r.watchID, openedAt: r.now}
	r.store.call(kv.Request{
		Kind:       kv.Watch,
		Key:        schema.RootPrefix,
		Revision:   r.replica.watchRevision,
		WaitMillis: watchWait.Milliseconds(),
	}, w.handleAnswer)
}

// watchCall is a watch request that is in flight, or that was answered and will be followed by the next
// one.
type watchCall struct {
	*replicator
	id       int
	openedAt units.Micros
}

func (w *watchCall) handleAnswer(answer kv.Response) {
	if w.id != w.watchID {
		return
	}
	switch answer.Status {
	case kv.StatusOK:
		w.takeChanges(answer)
		w.after(w.delay(answer), w.continueWatch)
	case kv.StatusCompacted:
		w.log.Warn("watch revision compacted, reloading replica")
		w.load()
	default:
		w.after(watchRetryDelay, w.continueWatch)
	}
}

// takeChanges applies the changes of an answer in the order in which the store made them: an answer may list them in any
// order. In another order a key that was set and deleted since would come back, and observers would not see the changes
// in between, such as an entry that was released again.
func (w *watchCall) takeChanges(answer kv.Response) {
	for _, event := range byRevision(answer.Events) {
		if event.Set != "" {
			w.replica.apply(event.Set, event.Value, event.ModRevision, false)
		} else {
			w.replica.apply(event.Delete, nil, event.ModRevision, true)
		}
	}
	w.replica.advance(answer.Revision)
	w.freshness.releaseWaiters()
}

// byRevision returns events with the oldest first. Those of one transaction, which have the same revision, keep their order.
func byRevision(events []kv.Event) []kv.Event {
	return slices.SortedStableFunc(slices.Values(events), func(a, b kv.Event) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
}

// delay returns how long to wait after an answer before the next request.
func (w *watchCall) delay(answer kv.Response) units.Micros {
	if len(answer.Events) == 0 && answer.Revision < w.store.seenRevision {
		return watchRefusalDelay // the watch was refused: the answer shows nothing
	}
	// While changes are frequent, one answer should carry several of them.
	return max(0, w.openedAt+w.store.requestInterval(watchRequestsShare)-w.now)
}

// continueWatch requests further changes, unless another watch or a reload has replaced this one.
func (w *watchCall) continueWatch() {
	if w.id == w.watchID && w.replica.synced {
		w.watch()
	}
}
