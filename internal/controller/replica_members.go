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

// applyRegistration applies a controller's registration, or its deletion. A process whose registration is not
// readable counts as one of the first version, so that the format is not raised.
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
	if !r.env.decode(key, value, &doc) {
		doc.Format = schema.FormatInitial
	}
	r.registeredFormats[key] = doc.Format
}

// applyPartition applies a partition's document, which names its leader, and reports whether it is readable.
// If it is not, the leader is unknown: the process that led the partition may have been replaced.
func (r *replica) applyPartition(key string, value json.RawMessage, revision uint64, deleted bool) bool {
	n, ok := numberAfterPrefix(key, schema.PartitionPrefix, math.MaxInt)
	if !ok || deleted {
		return deleted
	}
	var doc schema.Partition
	readable := r.env.decode(key, value, &doc)
	if readable {
		r.partitions[n] = &partitionDoc{revision: revision, doc: doc}
	} else {
		delete(r.partitions, n)
	}
	r.observer.partitionChanged(n)
	return readable
}
