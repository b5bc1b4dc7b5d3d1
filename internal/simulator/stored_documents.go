package simulator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// unreadableDocument is a stored value that no version of a controller can decode as a shard.
var unreadableDocument = json.RawMessage(`{"of":-1}`)

// checkDocument returns why some version of a controller could not decode a document that another one has
// stored, or nil.
func checkDocument(key string, value json.RawMessage) error {
	switch {
	case strings.HasPrefix(key, schema.MachineShardPrefix):
		var shard schema.MachineShard
		return errors.Join(json.Unmarshal(value, &shard), checkCount(shard.ShardCount))
	case strings.HasPrefix(key, schema.JobShardPrefix):
		var shard schema.JobShard
		return errors.Join(json.Unmarshal(value, &shard), checkCount(shard.ShardCount))
	case strings.HasPrefix(key, schema.ProgressPrefix):
		return json.Unmarshal(value, new(schema.ProgressSegment))
	case strings.HasPrefix(key, schema.PartitionPrefix):
		return json.Unmarshal(value, new(schema.Partition))
	case key == schema.LayoutKey:
		return json.Unmarshal(value, new(schema.Layout))
	}
	return nil
}

// errLargeCount is the error for a shard count that earlier versions cannot read.
var errLargeCount = errors.New("shard count too large for earlier versions")

func checkCount(shardCount int) error {
	if shardCount > schema.MaxShardCount {
		return errLargeCount
	}
	return nil
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
