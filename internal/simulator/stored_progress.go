package simulator

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// storedProgress is the progress of jobs that the key-value store holds, decoded.
type storedProgress struct {
	segments map[string]map[string]schema.TaskSet // completions by the key of the segment and by job
}

// completions returns the tasks of a job whose completion is stored.
func (p *storedProgress) completions(job string) schema.TaskSet {
	var all schema.TaskSet
	for _, jobs := range p.segments {
		all = all.Union(jobs[job])
	}
	return all
}

// isStored reports whether the completion of a task is stored.
func (p *storedProgress) isStored(job string, number int) bool {
	for _, jobs := range p.segments {
		if jobs[job].Contains(number) {
			return true
		}
	}
	return false
}

// segmentCount returns how many segments have a part of a job's progress.
func (p *storedProgress) segmentCount(job string) int {
	count := 0
	for _, jobs := range p.segments {
		if _, has := jobs[job]; has {
			count++
		}
	}
	return count
}

// apply applies an operation on a progress segment. A document that cannot be decoded is reported by checkStored.
func (p *storedProgress) apply(operation kv.Operation) {
	key := operation.Set + operation.Delete
	delete(p.segments, key)
	var doc schema.ProgressSegment
	if operation.Set == "" || json.Unmarshal(operation.Value, &doc) != nil {
		return
	}
	jobs := map[string]schema.TaskSet{}
	for id, progress := range doc.Jobs {
		if set, err := schema.ParseTaskSet(progress.DoneRanges); err == nil {
			jobs[id] = set
		}
	}
	p.segments[key] = jobs
}

// noteProgress applies the operations on progress segments, and reports stored completions of jobs that are not over and
// that no segment has afterwards: they would be done again after the next change of the leader. Processes of the previous
// version know only one segment of a job, so a job must not be in several before the format is raised.
func (s *fakeStore) noteProgress(operations []kv.Operation) {
	var changed []kv.Operation
	before := map[string]schema.TaskSet{}
	for _, operation := range operations {
		key := operation.Set + operation.Delete
		if !strings.HasPrefix(key, schema.ProgressPrefix) {
			continue
		}
		changed = append(changed, operation)
		for id := range s.progress.segments[key] {
			before[id] = s.progress.completions(id)
		}
	}
	for _, operation := range changed {
		s.progress.apply(operation)
	}
	for _, operation := range changed {
		for _, id := range slices.Sorted(maps.Keys(s.progress.segments[operation.Set])) {
			if count := s.progress.segmentCount(id); count > 1 && !s.formatRaised() {
				s.world.checker.violate(RuleReadable, "progress of %s is in %d segments, of which the previous version knows one", id, count)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		lost := before[id].Without(s.progress.completions(id))
		if !lost.Empty() && s.keys[schema.OutcomePrefix+id] == nil {
			s.world.checker.violate(RuleInvariant, "stored completions of %s are lost: %s", id, lost)
		}
	}
}
