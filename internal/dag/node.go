package dag

import (
	"cmp"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// State is how a job ended, as far as is known.
type State int

// States of a job.
const (
	Pending   State = iota // not over, or its outcome is not known here
	Done                   // all of its tasks are done, and that is stored
	Cancelled              // cancelled by a user, or because of a job that it needs
)

// Outcome is the stored outcome of a job.
type Outcome struct {
	State State
	At    units.Micros // time of day at which it was stored; 0: not known
}

// Job is what the graph has to know of an accepted job.
type Job struct {
	ID       string
	Needs    []string // jobs that must be done before it starts
	Priority int
	DueAt    units.Micros // time of day of its deadline; 0: it has none
}

// Node is one job of a graph. Methods that allow a nil Node take it for a job that needs no other
// and is needed by none.
type Node struct {
	id          string
	accepted    bool // and not over; false: it is here only because another job needs it
	job         Job  // as accepted
	needs       []*Node
	dependents  map[*Node]bool
	outcome     Outcome
	cancelledBy string       // the needed job whose cancellation cancelled this one; empty: none
	unmet       int          // how many of needs are not known to be done
	readyAt     units.Micros // when the latest of needs was done
	priority    int          // the highest of its own and those of all that need it
	dueAt       units.Micros // the earliest of its own and those of all that need it; 0: none
}

// Ready reports whether all jobs that this one needs are done. A nil Node is ready.
func (n *Node) Ready() bool { return n == nil || n.unmet == 0 && n.outcome.State != Cancelled }

// Cancelled reports whether the job is cancelled, by a user or because of another job. A nil Node
// is not.
func (n *Node) Cancelled() bool { return n != nil && n.outcome.State == Cancelled }

// CancelledBy names the needed job whose cancellation cancelled this one; empty if none did. The
// Node may be nil.
func (n *Node) CancelledBy() string {
	if n == nil {
		return ""
	}
	return n.cancelledBy
}

// ReadyAt is the time of day at which the last needed job was done; 0: nothing was needed. The
// Node may be nil.
func (n *Node) ReadyAt() units.Micros {
	if n == nil {
		return 0
	}
	return n.readyAt
}

// Priority is the highest priority of the job and of all that need it. The Node must not be nil.
func (n *Node) Priority() int { return n.priority }

// DueAt is the earliest deadline, as a time of day, of the job and of all that need it; 0: none.
// The Node may be nil.
func (n *Node) DueAt() units.Micros {
	if n == nil {
		return 0
	}
	return n.dueAt
}

// UnmetNeeds lists the needed jobs that are not known to be done, in the order in which the job
// names them. The Node may be nil.
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

// markCancelled makes the job cancelled, because of cancelledBy if that is not empty.
func (n *Node) markCancelled(cancelledBy string) {
	n.outcome, n.cancelledBy = Outcome{State: Cancelled}, cancelledBy
}

// sortedDependents lists the jobs that need this one in the order of their ids, so that the order
// of map iteration decides nothing.
func (n *Node) sortedDependents() []*Node {
	return slices.SortedFunc(maps.Keys(n.dependents), func(a, b *Node) int { return cmp.Compare(a.id, b.id) })
}
