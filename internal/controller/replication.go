package controller

import (
	"strings"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

const (
	loadRetryDelay     = 300 * units.Millisecond // before a page is read again
	layoutRetryDelay   = 100 * units.Millisecond // before all is loaded again by the layout that now is stored
	watchWait          = 10 * units.Second       // that the store may wait with its answer for a change
	watchRetryDelay    = 200 * units.Millisecond
	watchRefusalDelay  = 100 * units.Millisecond
	watchRequestsShare = 0.4 // the part of the permitted requests that the watch may take

	unlocatedLogPeriod = units.Second

	// maxWatchLag is how long the watch may lag behind what other answers show.
	maxWatchLag = units.Second
)

// complete reports whether the replica is loaded and its watch has passed every page that was loaded.
func (r *replica) complete() bool {
	return r.synced && r.watchRevision >= r.completeRevision
}

// beginLoad notes that the replica is not to be relied on until it has been loaded anew.
func (r *replica) beginLoad() { r.synced = false }

// notePage notes the revision of a page. Pages are read at different moments, and what went from one
// document to another meanwhile may stand in neither: the replica is complete only when the watch has
// passed the latest page.
func (r *replica) notePage(revision uint64) { r.completeRevision = max(r.completeRevision, revision) }

// beginSync notes that the replica follows the store from a revision as of which it was loaded.
func (r *replica) beginSync(revision uint64) {
	r.watchRevision, r.synced = revision, true
}

// advance notes that the replica shows all changes up to a revision.
func (r *replica) advance(revision uint64) {
	r.watchRevision = max(r.watchRevision, revision)
	for key, deletedAt := range r.tombstones {
		if deletedAt <= r.watchRevision {
			delete(r.tombstones, key)
		}
	}
	r.noteUnlocated()
	r.machineDirectory.advance(r.watchRevision)
	r.jobDirectory.advance(r.watchRevision)
}

// noteUnlocated tells of jobs and machines whose shard, since a split, was not shown at the end of an answer.
// The watch shows it later; that it does not within an answer is unusual.
func (r *replica) noteUnlocated() {
	if count := len(r.unlocatedJobs) + len(r.unlocatedMachines); count > 0 && r.unlocatedLog.due(r.env.now, unlocatedLogPeriod) {
		r.env.log.Info("shards after a split not shown yet", "jobs", len(r.unlocatedJobs), "machines", len(r.unlocatedMachines), "revision", r.watchRevision)
	}
}

// noteDeleted notes that a key was deleted by a commit of this process: until the watch has come so far
// it may still show the key as it was before.
func (r *replica) noteDeleted(key string, revision uint64) {
	if revision > r.watchRevision {
		r.tombstones[key] = revision
	}
}

// replicator loads the replica from the store and keeps it up to date by one watch.
//
// It promises that the replica is synced only while every change that the store made after the load
// reaches it. What the store no longer has it loads anew from the start. It decides nothing on what it
// shows, and does not say whether the replica is recent: that is freshness.
type replicator struct {
	*environment

	store     *storeClient
	replica   *replica
	freshness *freshness

	watchID     int          // the watch that counts; answers to older ones are passed over
	behindSince units.Micros // since when other answers show later changes than the watch; 0: they do not
}

// load reads everything under schema.ActivePrefix, then watches. It is the way in at the start and
// whenever the watch has lost its place.
func (r *replicator) load() {
	r.replica.beginLoad()
	r.watchID++ // an answer to the present watch counts no more
	l := &replicaLoad{replicator: r, seen: map[string]bool{}}
	l.readPage("")
}

// replicaLoad reads the store page by page.
type replicaLoad struct {
	*replicator
	seen         map[string]bool // keys that the pages have
	baseRevision uint64          // of the first page: later changes are shown by the watch
}

// readPage reads the page after a key, until the store gives it.
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

// finish follows the last page.
func (l *replicaLoad) finish() {
	l.removeUnlisted()
	if l.replica.layoutKnown {
		l.beginWatch(l.baseRevision)
	} else {
		l.writeLayout(l.baseRevision)
	}
}

// removeUnlisted removes from the replica what the pages do not have and was not written since.
func (l *replicaLoad) removeUnlisted() {
	for key, revision := range l.replica.revisions {
		if !l.seen[key] && revision <= l.baseRevision {
			l.replica.apply(key, nil, l.baseRevision, true)
		}
	}
}

// beginWatch begins to follow the store from the revision as of which the replica was loaded.
func (r *replicator) beginWatch(revision uint64) {
	r.replica.beginSync(revision)
	r.log.Info("replica loaded", "revision", revision, "complete_revision", r.replica.completeRevision, "jobs", len(r.replica.jobs), "machines", len(r.replica.machines))
	r.watch()
}

// newLayout is the layout of a store that has none yet: one that fits what the store will permit.
func newLayout(settings *config.Settings) schema.Layout {
	tighter := settings.KVStore.Min(settings.NextKVLimits())
	return schema.NewLayout(tighter.ValueKB, settings.TotalCPUQuota())
}

// writeLayout stores the layout of a store that has none. If another controller was first, or the
// replica was loaded by another layout, all is loaded anew.
func (r *replicator) writeLayout(loadedRevision uint64) {
	layout := newLayout(&r.cfg.Settings)
	for key := range r.replica.revisions {
		if strings.HasPrefix(key, schema.MachineShardPrefix) { // of a version without layouts
			layout = schema.InitialLayout(r.cfg.Settings.KVStore.ValueKB)
		}
	}
	r.log.Info("creating store layout", "machine_shards", layout.MachineShards, "job_shards", layout.JobShards)
	value := encode(layout)
	txn := &kv.Txn{
		Conditions: []kv.Condition{{Key: schema.LayoutKey}},
		Operations: []kv.Operation{{Set: schema.LayoutKey, Value: value}},
	}
	asLoaded := layout == r.replica.layout
	r.store.call(kv.Request{Kind: kv.Transact, Txn: txn}, func(response kv.Response) {
		if response.Status != kv.StatusOK || !asLoaded {
			r.after(layoutRetryDelay, r.load)
			return
		}
		r.replica.apply(schema.LayoutKey, value, response.Revision, false)
		r.beginWatch(loadedRevision)
	})
}

// checkLag opens a new watch when the present one has fallen behind: after a cut its connection may be
// dead without an error, and when this controller alone was refused it waits as in an outage.
func (r *replicator) checkLag() {
	if !r.replica.synced || r.store.seenRevision <= r.replica.watchRevision {
		r.behindSince = 0
		return
	}
	if r.behindSince == 0 {
		r.behindSince = r.now
	}
	if r.now-r.behindSince > maxWatchLag {
		r.behindSince = r.now + maxWatchLag // give the new one time before the next
		r.log.Info("watch lagging, reopening", "revision", r.replica.watchRevision, "seen", r.store.seenRevision)
		r.watch()
	}
}

// watch asks for the changes after those that the replica shows; it takes the place of any other watch.
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

// watchCall is a request for changes that is under way, or has been answered and is to be followed by
// the next.
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

func (w *watchCall) takeChanges(answer kv.Response) {
	for _, event := range answer.Events {
		if event.Set != "" {
			w.replica.apply(event.Set, event.Value, event.ModRevision, false)
		} else {
			w.replica.apply(event.Delete, nil, event.ModRevision, true)
		}
	}
	w.replica.advance(answer.Revision)
	w.freshness.releaseWaiters()
}

// delay is how long the next request waits after an answer.
func (w *watchCall) delay(answer kv.Response) units.Micros {
	if len(answer.Events) == 0 && answer.Revision < w.store.seenRevision {
		return watchRefusalDelay // the watch was refused: the answer tells nothing
	}
	// While much changes, one answer should tell several changes.
	return max(0, w.openedAt+w.store.requestInterval(watchRequestsShare)-w.now)
}

// continueWatch asks for further changes unless another watch has been opened.
func (w *watchCall) continueWatch() {
	if w.id == w.watchID && w.replica.synced {
		w.watch()
	}
}
