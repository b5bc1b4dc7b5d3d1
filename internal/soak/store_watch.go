package soak

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/kv"
)

// historyLength is how many changes the key-value store keeps for watches: few, so that controllers that were cut off
// from the store reload their replicas.
const historyLength = 300

// watchOrder is which changes the response to a watch has, and in which order: the protocol states no order.
type watchOrder int

const (
	latestShuffled watchOrder = iota // the latest change of each key
	newestFirst                      // all changes, as in the protocol's example
	oldestFirst                      // all changes
	allShuffled                      // all changes
)

// watchOrderOf returns the order for a run. Runs that begin with the version in production, which does not take every
// order for the same, keep to the latest change of each key.
func watchOrderOf(options Options) watchOrder {
	switch {
	case options.PreviousBinary != "" || options.Seed%3 == 0:
		return latestShuffled
	case options.Seed%3 == 1:
		return newestFirst
	case options.Seed%2 == 0:
		return allShuffled
	default:
		return oldestFirst
	}
}

// record adds a change to the log, which drops the oldest.
func (s *fakeStore) record(change kv.Event) {
	s.log = append(s.log, change)
	if excess := len(s.log) - historyLength; excess > 0 {
		s.compacted = s.log[excess-1].ModRevision
		s.log = slices.Clone(s.log[excess:])
	}
}

// changesSince returns the changes under a prefix after a revision, as the store's order has them.
func (s *fakeStore) changesSince(prefix string, revision uint64) []kv.Event {
	first, _ := slices.BinarySearchFunc(s.log, revision+1, func(change kv.Event, target uint64) int {
		return cmp.Compare(change.ModRevision, target)
	})
	changes := []kv.Event{}
	for _, change := range s.log[first:] {
		if strings.HasPrefix(changedKey(change), prefix) {
			changes = append(changes, change)
		}
	}
	switch s.order {
	case latestShuffled:
		changes = latestOfEachKey(changes)
		s.world.rng.shuffle(changes)
	case newestFirst:
		slices.Reverse(changes)
	case oldestFirst:
	case allShuffled:
		s.world.rng.shuffle(changes)
	}
	return changes
}

// latestOfEachKey returns the last change of each key.
func latestOfEachKey(changes []kv.Event) []kv.Event {
	latest := []kv.Event{}
	seen := map[string]bool{}
	for _, change := range slices.Backward(changes) {
		if key := changedKey(change); !seen[key] {
			seen[key] = true
			latest = append(latest, change)
		}
	}
	return latest
}

// changedKey returns the key of an event, which is in one of two fields while the other is empty.
func changedKey(change kv.Event) string { return change.Set + change.Delete }

// watchBody is the response to a watch: the changes, and the revision up to which it has them.
type watchBody struct {
	Revision uint64     `json:"ledgerRev"`
	Events   []kv.Event `json:"news"`
}

// watch responds when a key has changed or the timeout in the request is over; with 410 if the log lacks changes that
// the response needs.
func (s *fakeStore) watch(ctx *fasthttp.RequestCtx, client int) {
	query := ctx.QueryArgs()
	prefix := string(query.Peek("under"))
	since, err := strconv.ParseUint(string(query.Peek("since")), 10, 64)
	if err != nil {
		since = 0 // from the beginning
	}
	until := time.Now().Add(time.Duration(query.GetUintOrZero("holdMs")) * time.Millisecond)
	for {
		answer, changed := s.answerWatch(prefix, since, client)
		if answer.status != http.StatusOK || len(answer.body.Events) > 0 || time.Now().After(until) || s.world.isStopped() {
			respond(ctx, response{answer.status, answer.body})
			return
		}
		s.awaitChange(changed, until)
	}
}

// watchAnswer is the response to a watch, if it were to be answered now.
type watchAnswer struct {
	status int
	body   watchBody
}

// answerWatch returns the response with what a controller sees now, and a channel that is closed at the next change. A
// controller whose requests are refused or lost sees no changes.
func (s *fakeStore) answerWatch(prefix string, since uint64, client int) (watchAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isUnavailable(client) || s.faults.requestsLost[client]:
		return watchAnswer{http.StatusOK, watchBody{Revision: since, Events: []kv.Event{}}}, s.changed
	case since < s.compacted:
		return watchAnswer{http.StatusGone, watchBody{Revision: s.revision, Events: []kv.Event{}}}, s.changed
	}
	return watchAnswer{http.StatusOK, watchBody{Revision: s.revision, Events: s.changesSince(prefix, since)}}, s.changed
}

// awaitChange waits for a change, at most until a given time or the end of the run.
func (s *fakeStore) awaitChange(changed <-chan struct{}, until time.Time) {
	timer := time.NewTimer(time.Until(until) + time.Millisecond)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-s.world.ctx.Done():
	}
}
