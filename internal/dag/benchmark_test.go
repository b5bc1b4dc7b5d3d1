package dag

import (
	"fmt"
	"testing"
)

// BenchmarkChain adds a chain of jobs, completes them in order and removes them.
func BenchmarkChain(b *testing.B) {
	const length = 200
	ids := make([]string, length)
	for i := range ids {
		ids[i] = fmt.Sprintf("j-%06d", i)
	}
	b.ReportAllocs()
	for b.Loop() {
		g := New()
		for i, id := range ids {
			job := Job{ID: id, Priority: i % 4}
			if i > 0 {
				job.Needs = ids[i-1 : i]
			}
			g.Add(job, noOutcome)
		}
		for _, id := range ids {
			g.RecordOutcome(id, Outcome{Done, 1})
			g.Remove(id)
		}
	}
}
