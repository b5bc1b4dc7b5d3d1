package controller

import "frostdock.example/frostdock/internal/schema"

// finals remembers how jobs ended, the latest ones only: the state service
// holds them all.
type finals struct {
	most int
	m    map[string]schema.Final
	ring []string
	at   int
}

func newFinals(most int) *finals {
	return &finals{most: most, m: map[string]schema.Final{}}
}

func (f *finals) put(id string, v schema.Final) {
	if _, ok := f.m[id]; ok {
		return // an end never changes
	}
	if len(f.ring) < f.most {
		f.ring = append(f.ring, id)
	} else {
		delete(f.m, f.ring[f.at])
		f.ring[f.at] = id
		f.at = (f.at + 1) % f.most
	}
	f.m[id] = v
}

func (f *finals) get(id string) (schema.Final, bool) {
	v, ok := f.m[id]
	return v, ok
}
