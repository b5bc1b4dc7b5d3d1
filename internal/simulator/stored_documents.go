package simulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// unreadableDocument is a stored value that no version of a controller can decode as a shard.
var unreadableDocument = json.RawMessage(`{"of":-1}`)

// checkDocument returns why a controller could not decode a document that another one has stored, or nil.
func checkDocument(key string, value json.RawMessage) error {
	var document any
	switch {
	case strings.HasPrefix(key, schema.MachineShardPrefix):
		document = new(schema.MachineShard)
	case strings.HasPrefix(key, schema.JobShardPrefix):
		document = new(schema.JobShard)
	case strings.HasPrefix(key, schema.ProgressPrefix):
		document = new(schema.ProgressSegment)
	case strings.HasPrefix(key, schema.PartitionPrefix):
		document = new(schema.Partition)
	case key == schema.LayoutKey:
		document = new(schema.Layout)
	default:
		return nil
	}
	return json.Unmarshal(value, document)
}

// checkStored reports documents of a transaction that a controller could not decode, and unreadable documents
// that the transaction overwrites.
func (s *fakeStore) checkStored(operations []kv.Operation) {
	for _, op := range operations {
		if stored := s.keys[op.Set+op.Delete]; stored != nil && bytes.Equal(stored.value, unreadableDocument) {
			s.world.checker.violate(RuleReadable, "%s is changed although no controller can read it", op.Set+op.Delete)
		}
		if err := checkDocument(op.Set, op.Value); err != nil {
			s.world.checker.violate(RuleReadable, "%s is stored and cannot be read: %v", op.Set, err)
		}
	}
}

// corruptShard makes the shard that lists a machine or a job unreadable for a duration.
type corruptShard struct {
	name     string
	duration units.Micros
}

func (f corruptShard) apply(w *World) error {
	key := w.store.shardListing(f.name)
	if key == "" {
		return fmt.Errorf("no shard lists %q", f.name)
	}
	original := w.store.keys[key].value
	w.store.commit([]kv.Operation{{Set: key, Value: unreadableDocument}})
	w.after(f.duration, func() { w.store.commit([]kv.Operation{{Set: key, Value: original}}) })
	return nil
}

// shardListing returns the key of the shard that lists a machine or a job, or "".
func (s *fakeStore) shardListing(name string) string {
	quoted := []byte(`"` + name + `"`)
	for _, key := range s.sortedKeys() {
		isShard := strings.HasPrefix(key, schema.MachineShardPrefix) || strings.HasPrefix(key, schema.JobShardPrefix)
		if isShard && bytes.Contains(schema.PlainJSON(s.keys[key].value), quoted) {
			return key
		}
	}
	return ""
}
