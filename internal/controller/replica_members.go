package controller

import (
	"encoding/json"
	"math"

	"frostdock.example/frostdock/internal/schema"
)

// partitionDoc is the document that names a partition's leader. Every write of that leader is
// conditional on the document's revision.
type partitionDoc struct {
	revision uint64
	doc      schema.Partition
}

// applyRegistration applies a controller's registration, or its deletion.
func (r *replica) applyRegistration(key string, value json.RawMessage, deleted bool) {
	if deleted {
		delete(r.registeredSince, key)
		delete(r.registeredFormats, key)
		return
	}
	if _, ok := r.registeredSince[key]; !ok {
		r.registeredSince[key] = r.env.now
	}
	var doc schema.Registration
	if r.env.decode(key, value, &doc) {
		r.registeredFormats[key] = doc.Format
	}
}

// applyPartition applies a partition's document, which names its leader.
func (r *replica) applyPartition(key string, value json.RawMessage, revision uint64, deleted bool) {
	n, ok := numberAfterPrefix(key, schema.PartitionPrefix, math.MaxInt)
	if !ok || deleted {
		return
	}
	var doc schema.Partition
	if r.env.decode(key, value, &doc) {
		r.partitions[n] = &partitionDoc{revision: revision, doc: doc}
		r.observer.partitionChanged(n)
	}
}
