package controller

import (
	"encoding/json"
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// eventOrders are the orders in which a watch may list the same events: the protocol states none, and its example has
// the newest first.
func eventOrders(events []kv.Event) map[string][]kv.Event {
	newestFirst := slices.Clone(events)
	slices.Reverse(newestFirst)
	middleFirst := append(slices.Clone(events[len(events)/2:]), events[:len(events)/2]...)
	return map[string][]kv.Event{"oldest first": events, "newest first": newestFirst, "middle first": middleFirst}
}

// setEvent and deleteEvent are changes as a watch shows them.
func setEvent(key string, document any, revision uint64) kv.Event {
	return kv.Event{Set: key, Value: encode(document), ModRevision: revision}
}

func deleteEvent(key string, revision uint64) kv.Event {
	return kv.Event{Delete: key, ModRevision: revision}
}

// TestDeletedKeyStaysDeleted guards against a document that a controller shows until it restarts, although it was
// deleted: one answer of the watch has a set and a delete of the key, the delete first. A registration that comes back
// lets a dead process count as a live one, a cancellation a record of a job that is over. A key that was deleted and
// set again is shown.
func TestDeletedKeyStaysDeleted(t *testing.T) {
	registration := registered("b", 0)
	cancellation := schema.CancellationPrefix + "j-000009"
	segment := schema.ProgressKey(0, 3)
	progress := schema.ProgressSegment{Jobs: map[string]schema.JobProgress{"j-000008": {DoneRanges: "0-3"}}}
	story := []kv.Event{
		{Set: registration.Key, Value: registration.Value, ModRevision: 11},
		setEvent(cancellation, cancellationDocument{}, 12),
		setEvent(segment, progress, 13),
		deleteEvent(registration.Key, 14),
		deleteEvent(cancellation, 15),
		deleteEvent(segment, 16),
	}
	setAgain := []kv.Event{
		{Set: registration.Key, Value: registration.Value, ModRevision: 17},
		setEvent(cancellation, cancellationDocument{}, 18),
		setEvent(segment, progress, 19),
	}
	for _, known := range []bool{false, true} { // the keys were shown before
		for name, events := range eventOrders(story) {
			c, replica := newWatchTest()
			if known {
				takeAnswer(c, 13, story[:3])
			}
			takeAnswer(c, 16, events)
			if len(replica.registeredSince) > 0 || len(replica.jobs) > 0 || len(replica.progressSegments) > 0 || len(replica.tombstones) > 0 {
				t.Errorf("%s, known before: %v: shown: %v, %v, %v", name, known, replica.registeredSince, replica.jobs, replica.progressSegments)
			}
		}
		for name, events := range eventOrders(slices.Concat(story, setAgain)) {
			c, replica := newWatchTest()
			if known {
				takeAnswer(c, 13, story[:3])
			}
			takeAnswer(c, 19, events)
			if len(replica.registeredSince) != 1 || !replica.jobs["j-000009"].cancellationShown || len(replica.progressSegments) != 1 {
				t.Errorf("%s, known before: %v: not shown again: %v, %v, %v", name, known, replica.registeredSince, replica.jobs, replica.progressSegments)
			}
		}
	}
}

// newWatchTest returns a controller that follows the store from revision 10 on.
func newWatchTest() (*Controller, *replica) {
	c, _ := newTestAccepts()
	c.replica.beginSync(revisionBefore)
	return c, c.replica
}

// takeAnswer shows a controller an answer to its watch.
func takeAnswer(c *Controller, revision uint64, events []kv.Event) {
	call := &watchCall{replicator: c.replicator, id: c.replicator.watchID}
	call.takeChanges(kv.Response{Status: kv.StatusOK, Revision: revision, Events: events})
}

// TestDeletionAheadOfOlderState shows a replica the deletion of a key before an older state of the key, in calls of
// their own, as pages and the watch after them may. The older state is ignored until the watch has passed the deletion;
// a newer one never is.
func TestDeletionAheadOfOlderState(t *testing.T) {
	_, replica := newWatchTest()
	key := schema.CancellationPrefix + "j-000009"
	shown := func() bool { j := replica.jobs["j-000009"]; return j != nil && j.cancellationShown }
	replica.apply(key, nil, 20, true)
	replica.apply(key, json.RawMessage(`{}`), 15, false)
	if shown() {
		t.Error("an older state is shown after the deletion")
	}
	replica.apply(key, json.RawMessage(`{}`), 25, false)
	if !shown() {
		t.Error("a newer state is not shown")
	}
	replica.apply(key, nil, 26, true)
	replica.advance(30)
	replica.apply(key, json.RawMessage(`{}`), 31, false)
	if !shown() || len(replica.tombstones) > 0 {
		t.Errorf("shown %v, tombstones %v after the watch has passed the deletion", shown(), replica.tombstones)
	}
}

// TestReleaseShownWithEntry guards against a story of which a controller sees only the end: another controller's
// machine fails a task and releases it within one answer of the watch. In any order of the changes the task is unbound
// and its job backs off; a task that is still entered stays bound, and its job does not back off.
func TestReleaseShownWithEntry(t *testing.T) {
	for name, released := range map[string]bool{"released": true, "still entered": false} {
		for order := range eventOrders(make([]kv.Event, 2)) {
			p := placeTask(t)
			entered, release := p.events()
			story := []kv.Event{setEvent(schema.CancellationPrefix+"j-000009", cancellationDocument{}, revisionEntered), entered}
			if released {
				story = []kv.Event{entered, release}
			}
			p.watch(revisionRelease, eventOrders(story)[order]...)
			bound := len(p.job.bindings) > 0
			if backsOff := p.job.retryAt > p.c.now; bound == released || backsOff != released {
				t.Errorf("%s, %s: bound %v, backs off %v", name, order, bound, backsOff)
			}
		}
	}
}
