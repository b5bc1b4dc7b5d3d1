package controller

import "frostdock.example/frostdock/internal/schema"

// outcomeCache keeps the latest outcomes of jobs, up to its capacity. An outcome never changes, so a
// cached one is always valid; one that is not cached must be read from the store.
type outcomeCache struct {
	capacity int
	byJob    map[string]schema.Outcome
	order    []string // job ids in a ring buffer; the oldest is at index oldest
	oldest   int
}

func newOutcomeCache(capacity int) *outcomeCache {
	return &outcomeCache{capacity: capacity, byJob: map[string]schema.Outcome{}}
}

func (c *outcomeCache) put(id string, outcome schema.Outcome) {
	if _, ok := c.byJob[id]; ok {
		return
	}
	if len(c.order) < c.capacity {
		c.order = append(c.order, id)
	} else {
		delete(c.byJob, c.order[c.oldest])
		c.order[c.oldest] = id
		c.oldest = (c.oldest + 1) % c.capacity
	}
	c.byJob[id] = outcome
}

func (c *outcomeCache) get(id string) (schema.Outcome, bool) {
	outcome, ok := c.byJob[id]
	return outcome, ok
}
