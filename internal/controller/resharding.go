package controller

import (
	"encoding/json"
	"slices"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Documents that are long, or longer than a coming limit of the key-value store allows, are split online.
// One transaction, conditional on the document's mod revision, writes all the parts; the first part
// replaces the document. So no entry is ever in two documents or in none, and a crash, a change of
// leadership or a change of the limits leaves either the one document or all the parts.

const (
	splitThreshold = 0.70 // share of the maximum value size above which a document is split
	splitTarget    = 0.45 // share of the maximum value size that each part may take

	machineShardSplitShare = 0.5                     // share of this controller's change rate for splits of machine shards
	jobShardSplitShare     = 0.25                    // share of this controller's change rate for splits of job shards
	jobShardSplitPeriod    = 100 * units.Millisecond // minimum time between two checks for a job shard to split
	unsplittableLogPeriod  = 10 * units.Second       // minimum time between warnings about shards that cannot be split
)

// documentSplitter decides when documents are split, and into how many parts. It keeps no state and
// writes nothing.
type documentSplitter struct {
	*environment
	store   *storeClient
	replica *replica
	writes  *writeBudget
}

// partCount returns how many parts a document of size bytes is to be split into; 1 if it is not to be split.
func (d *documentSplitter) partCount(size int) int {
	maxBytes := float64(d.store.limits.maxValueBytes())
	if !d.replica.dependenciesEnabled() || float64(size) <= splitThreshold*maxBytes {
		return 1
	}
	return max(2, int(float64(size)/(splitTarget*maxBytes)+0.999))
}

// splitDocument is one of the documents that result from a split.
type splitDocument struct {
	key   string
	value json.RawMessage
}

// splittableShard is a shard that can be split: a machine shard that a plan has staged, or a job shard.
type splittableShard interface {
	// nameSet returns the names that the shard lists, and the set of names that it owns.
	nameSet() nameSet
	// split returns the shard's document in the given number of parts.
	split(parts int) []splitDocument
}

// nameSet is the names of a shard's entries, with the number of the shard and its shard count.
type nameSet struct {
	names             []string
	shard, shardCount int
}

// part returns which of the given number of parts a name falls into, from 0.
func (s nameSet) part(name string, parts int) int {
	return (schema.ShardIndex(name, s.shardCount*parts) - s.shard) / s.shardCount
}

// isDividedInto reports whether a split into that many parts leaves less than all entries in each part. One
// that does not divide them would be as long as before, and would be split again without end.
func (s nameSet) isDividedInto(parts int) bool {
	return slices.ContainsFunc(s.names, func(name string) bool { return s.part(name, parts) != s.part(s.names[0], parts) })
}

// encodeParts returns the documents of the shards into which a shard with the given names is split.
func encodeParts[S any](shards []S, names nameSet, key func(n int) string) []splitDocument {
	documents := make([]splitDocument, len(shards))
	for i := range shards {
		documents[i] = splitDocument{key(names.shard + i*names.shardCount), encode(shards[i])}
	}
	return documents
}

// maxParts returns into how many parts a shard may be split: as many as one transaction can write, and not
// so many that their shard count would be above the one that every version of this program can read.
func (d *documentSplitter) maxParts(shardCount int) int {
	return min(d.store.limits.TxnOps, schema.MaxShardCount/shardCount)
}

// partCounts returns the numbers of parts, ascending from minParts, into which a split divides the entries; if
// there is none, the largest smaller one. With fewer parts than that, none would be shorter.
func (d *documentSplitter) partCounts(minParts int, names nameSet) []int {
	var counts []int
	for parts := d.maxParts(names.shardCount); parts >= 2; parts-- {
		if parts < minParts && len(counts) > 0 {
			break
		}
		if names.isDividedInto(parts) {
			counts = append(counts, parts)
		}
	}
	slices.Reverse(counts)
	return counts
}

// splitToFit splits a shard into the fewest parts, but at least minParts if possible, that all fit the limits
// that this controller applies. If no split makes them fit, it returns the one into most parts as a first
// step, provided that the store still accepts it under its present limits. If not, or if no split divides
// the shard's entries, it returns nil.
func (d *documentSplitter) splitToFit(minParts int, shard splittableShard) []splitDocument {
	var firstStep []splitDocument
	for _, parts := range d.partCounts(minParts, shard.nameSet()) {
		documents := shard.split(parts)
		if longestDocument(documents) <= d.store.limits.maxValueBytes() {
			return documents
		}
		firstStep = documents
	}
	if longestDocument(firstStep) > d.store.limits.acceptedValueBytes() {
		return nil
	}
	return firstStep
}

// longestDocument returns the length of the longest value, in bytes.
func longestDocument(documents []splitDocument) int {
	longest := 0
	for _, document := range documents {
		longest = max(longest, len(document.value))
	}
	return longest
}

// creditPeriod returns how long it takes to earn the credit for changes with the given share of this
// controller's change rate.
func (d *documentSplitter) creditPeriod(changes int, share float64) units.Micros {
	return units.FromSeconds(float64(changes) / (d.writes.rate() * share))
}
