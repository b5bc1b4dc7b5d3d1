package controller

import "slices"

// shardTable holds the known shards of one kind by their numbers: those of the layout, and those that have been
// shown. What it holds does not depend on the shard counts that documents state, which a split multiplies.
type shardTable[S any] struct {
	newShard func(number int) *S
	numbers  []int // ascending
	shards   []*S  // in the order of numbers
}

// all returns the shards in the order of their numbers.
func (t *shardTable[S]) all() []*S { return t.shards }

// find returns the shard with a number, or nil if it is not known.
func (t *shardTable[S]) find(number int) *S {
	if i, known := slices.BinarySearch(t.numbers, number); known {
		return t.shards[i]
	}
	return nil
}

// findOrAdd returns the shard with a number, which becomes known, without a document, if it was not.
func (t *shardTable[S]) findOrAdd(number int) *S {
	i, known := slices.BinarySearch(t.numbers, number)
	if !known {
		t.numbers = slices.Insert(t.numbers, i, number)
		t.shards = slices.Insert(t.shards, i, t.newShard(number))
	}
	return t.shards[i]
}

// useLayout makes the shards below a count known, and forgets all others.
func (t *shardTable[S]) useLayout(count int) {
	for number := range count {
		t.findOrAdd(number)
	}
	t.numbers, t.shards = t.numbers[:count], t.shards[:count]
}
