package dag

import (
	"cmp"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// State is the known state of a job: whether and how it has ended.
type State int

// States of a job.
const (
	Pending   State = iota // not ended, or its outcome is not known to the graph
	Done                   // all tasks are done, and the outcome is stored
	Cancelled              // cancelled by a user, or because of a job that it needs
)

// Outcome is the stored outcome of a job.
type Outcome struct {
	State State
	At    units.Micros // Unix time at which it was stored; 0: unknown
}

// Job describes an accepted job to the graph.
type Job struct {
	ID       string
	Needs    []string // jobs that must be done before it starts
	Priority int
	DueAt    units.Micros // deadline as a Unix time; 0: none
}

// Node is one job of a graph. Methods that allow a nil Node treat it as a job without dependencies
// and dependents.
type Node struct {
	id          string
	accepted    bool // and not ended; false: in the graph only because another job needs it
	job         Job  // valid if accepted
	needs       []*Node
	dependents  map[*Node]bool
	outcome     Outcome
	cancelledBy string       // the needed job whose cancellation cancelled this one; empty: none
	unmet       int          // number of needs that are not known to be done
	readyAt     units.Micros // Unix time at which the latest of needs was done
	priority    int          // highest of its own and those of its pending dependents
	dueAt       units.Micros // earliest of its own and those of its pending dependents; 0: none
}

// Ready reports whether the job is not cancelled and all jobs that it needs are done. A nil Node is
// ready.
func (n *Node) Ready() bool { return n == nil || n.unmet == 0 && n.outcome.State != Cancelled }

// Cancelled reports whether the job is cancelled, by a user or because of another job. A nil Node
// is not.
func (n *Node) Cancelled() bool { return n != nil && n.outcome.State == Cancelled }

// CancelledBy returns the needed job whose cancellation cancelled this one; empty if none did. The
// Node may be nil.
func (n *Node) CancelledBy() string {
	if n == nil {
		return ""
	}
	return n.cancelledBy
}

// ReadyAt returns the Unix time at which the last needed job was done; 0 if none was needed. The
// Node may be nil.
func (n *Node) ReadyAt() units.Micros {
	if n == nil {
		return 0
	}
	return n.readyAt
}

// Priority returns the highest priority of the job and its direct and transitive pending dependents.
// The Node must not be nil.
func (n *Node) Priority() int { return n.priority }

// DueAt returns the earliest deadline, as a Unix time, of the job and its direct and transitive
// pending dependents; 0 if there is none. The Node may be nil.
func (n *Node) DueAt() units.Micros {
	if n == nil {
		return 0
	}
	return n.dueAt
}

// UnmetNeeds returns the needed jobs that are not known to be done, in the order of Job.Needs. The
// Node may be nil.
func (n *Node) UnmetNeeds() []string {
	if n == nil {
		return nil
	}
	var unmet []string
	for _, need := range n.needs {
		if need.outcome.State != Done {
			unmet = append(unmet, need.id)
		}
	}
	return unmet
}

// markCancelled marks the job as cancelled, because of the job cancelledBy if that is not empty.
func (n *Node) markCancelled(cancelledBy string) {
	n.outcome, n.cancelledBy = Outcome{State: Cancelled}, cancelledBy
}

// sortedDependents returns the jobs that need this one in the order of their ids, so that results do
// not depend on the order of map iteration.
func (n *Node) sortedDependents() []*Node {
	return slices.SortedFunc(maps.Keys(n.dependents), func(a, b *Node) int { return cmp.Compare(a.id, b.id) })
}
