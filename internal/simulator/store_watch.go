package simulator

import (
	"slices"
	"sort"
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/units"
)

// changeOrder is the order of the changes in an answer to a watch. The protocol states none.
type changeOrder int

const (
	oldestFirst changeOrder = iota
	newestFirst             // as in the example of the protocol
	shuffled
)

// watch is a request that waits for changes under a prefix.
type watch struct {
	prefix string
	since  uint64 // the caller knows all changes up to this revision
	caller string
	answer func(kv.Response)
}

// watch answers at the next change under a prefix, or when the request's waiting time is up.
func (s *fakeStore) watch(caller string, request *kv.Request, answer func(kv.Response)) {
	if request.Revision < s.compactedRev {
		answer(kv.Response{Status: kv.StatusCompacted})
		return
	}
	waiting := &watch{request.Key, request.Revision, caller, answer}
	s.watches = append(s.watches, waiting)
	s.world.after(units.Micros(request.WaitMillis)*units.Millisecond, func() { s.answerWatch(waiting, true) })
	s.notifyWatches()
}

// notifyWatches answers all watches that have new changes.
func (s *fakeStore) notifyWatches() {
	for _, waiting := range slices.Clone(s.watches) {
		s.answerWatch(waiting, false)
	}
}

// answerWatch answers a watch that has not been answered before, if it has new changes or its time is up.
func (s *fakeStore) answerWatch(waiting *watch, timeUp bool) {
	unavailable := s.unavailable(waiting.caller)
	if unavailable && !timeUp || s.world.now < s.watchesLostUntil[waiting.caller] {
		return // a lost watch is like a connection that broke without an error
	}
	index := slices.Index(s.watches, waiting)
	if index < 0 {
		return
	}
	response := kv.Response{Status: kv.StatusOK, Revision: s.revision}
	switch {
	case unavailable:
		response.Revision = waiting.since // no progress is reported
	case waiting.since < s.compactedRev:
		response = kv.Response{Status: kv.StatusCompacted}
	default:
		response.Events = s.changesFor(waiting)
	}
	if response.Status == kv.StatusOK && len(response.Events) == 0 && !timeUp {
		return
	}
	s.watches = slices.Delete(s.watches, index, index+1)
	waiting.answer(response)
}

// changesFor returns the changes that the caller of a watch does not know yet.
func (s *fakeStore) changesFor(waiting *watch) []kv.Event {
	var changes []kv.Event
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].ModRevision > waiting.since })
	for i := first; i < len(s.log); i++ {
		change := &s.log[i]
		if strings.HasPrefix(change.Set+change.Delete, waiting.prefix) {
			changes = append(changes, *change)
		}
	}
	if s.world.now < s.coalesceUntil {
		return s.coalesced(changes)
	}
	s.reorder(changes)
	return changes
}

// reorder puts the changes of an answer into the store's order.
func (s *fakeStore) reorder(changes []kv.Event) {
	switch s.changeOrder {
	case oldestFirst:
	case newestFirst:
		slices.Reverse(changes)
	case shuffled:
		s.world.rng.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	}
}

// coalesced returns only the newest change of each key, in random order.
func (s *fakeStore) coalesced(changes []kv.Event) []kv.Event {
	var newest []kv.Event
	seen := map[string]bool{}
	for _, change := range slices.Backward(changes) {
		if key := change.Set + change.Delete; !seen[key] {
			seen[key] = true
			newest = append(newest, change)
		}
	}
	s.world.rng.Shuffle(len(newest), func(i, j int) { newest[i], newest[j] = newest[j], newest[i] })
	return newest
}
