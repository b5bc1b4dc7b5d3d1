package controller

import "frostdock.example/frostdock/internal/schema"

// outcomeCache remembers how jobs ended, the latest ones only: the state service
// holds them all.
type outcomeCache struct {
	capacity int
	byJob    map[string]schema.Outcome
	order    []string
	oldest   int
}

func newOutcomeCache(most int) *outcomeCache {
	return &outcomeCache{capacity: most, byJob: map[string]schema.Outcome{}}
}

func (f *outcomeCache) put(id string, v schema.Outcome) {
	if _, ok := f.byJob[id]; ok {
		return // an end never changes
	}
	if len(f.order) < f.capacity {
		f.order = append(f.order, id)
	} else {
		delete(f.byJob, f.order[f.oldest])
		f.order[f.oldest] = id
		f.oldest = (f.oldest + 1) % f.capacity
	}
	f.byJob[id] = v
}

func (f *outcomeCache) get(id string) (schema.Outcome, bool) {
	v, ok := f.byJob[id]
	return v, ok
}
