// Package dag keeps the graph of jobs that wait for other jobs: which of them may
// start, which are cancelled because a job that they need is, and which priority and
// deadline each takes over from the jobs that need it. It is pure, and each change costs
// as much as the edges that it concerns.
//
// An end is durable and never changes, so everything that is derived from ends is
// monotone: a job that is ready stays ready, and one that is cancelled stays cancelled.
package dag

import (
	"cmp"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// State is how a job ended, as far as is known.
type State int

// Outcomes of a job.
const (
	Pending   State = iota // not over, or its end is not known here
	Done                   // all of its tasks are done, and that is stored
	Cancelled              // cancelled itself, or because of a job that it needs
)

// Outcome is a durable end of a job.
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

// Node is one job of the graph. It is there while the job is accepted and not over, or
// while another job needs it.
type Node struct {
	id          string
	accepted    bool // an accepted job that is not over
	job         Job
	needs       []*Node
	dependents  map[*Node]bool
	outcome     Outcome
	cancelledBy string       // the needed job whose cancellation cancelled this one; empty: none
	unmet       int          // of needs, those that are not known to be done
	readyAt     units.Micros // when the latest of the needs was done
	priority    int          // the highest of its own and those of all that need it
	dueAt       units.Micros // the earliest of its own and those of all that need it; 0: none
}

// Graph is the graph of all accepted jobs that are not over.
type Graph struct {
	nodes      map[string]*Node
	unresolved map[string]bool // needed, not accepted jobs that are not over, end not known
	visited    int             // nodes looked at so far: the work done, counted
}

// New returns an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*Node{}, unresolved: map[string]bool{}} }

// Node is the node of a job, or nil.
func (g *Graph) Node(id string) *Node { return g.nodes[id] }

// Visited counts the nodes that have been looked at since the graph was made.
func (g *Graph) Visited() int { return g.visited }

// Ready reports whether all jobs that this one needs are done. A nil node needs none.
func (n *Node) Ready() bool { return n == nil || n.unmet == 0 && n.outcome.State != Cancelled }

// Cancelled reports whether the job is cancelled, itself or because of another.
func (n *Node) Cancelled() bool { return n != nil && n.outcome.State == Cancelled }

// CancelledBy names the needed job whose cancellation cancelled this one; empty if none did.
func (n *Node) CancelledBy() string {
	if n == nil {
		return ""
	}
	return n.cancelledBy
}

// ReadyAt is the time of day at which the last needed job was done; 0: nothing was needed.
func (n *Node) ReadyAt() units.Micros {
	if n == nil {
		return 0
	}
	return n.readyAt
}

// Priority is the highest priority of the job and all that need it.
func (n *Node) Priority() int { return n.priority }

// DueAt is the earliest deadline, as a time of day, of the job and all that need it; 0: none.
func (n *Node) DueAt() units.Micros {
	if n == nil {
		return 0
	}
	return n.dueAt
}

// HasDependents reports whether another job needs this one.
func (n *Node) HasDependents() bool { return n != nil && len(n.dependents) > 0 }

// UnmetNeeds lists the needed jobs that are not known to be done.
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

func (g *Graph) getOrCreate(id string) *Node {
	node := g.nodes[id]
	if node == nil {
		node = &Node{id: id, dependents: map[*Node]bool{}}
		g.nodes[id] = node
	}
	return node
}

// Add enters an accepted job that is not over. ends tells the ends that are known of jobs
// which are not in the graph. It returns the jobs that are now known to be cancelled.
func (g *Graph) Add(job Job, lookup func(id string) (Outcome, bool)) []string {
	node := g.getOrCreate(job.ID)
	if node.accepted {
		return nil
	}
	node.accepted, node.job = true, job
	delete(g.unresolved, job.ID)
	for _, id := range job.Needs {
		need := g.getOrCreate(id)
		if need.dependents[node] { // named twice
			continue
		}
		node.needs = append(node.needs, need)
		need.dependents[node] = true
		if need.outcome.State == Pending && !need.accepted {
			if outcome, ok := lookup(id); ok {
				need.outcome = outcome
			} else {
				g.unresolved[id] = true
			}
		}
		switch need.outcome.State {
		case Done:
			node.readyAt = max(node.readyAt, need.outcome.At)
		default:
			node.unmet++
		}
	}
	g.updateInherited(node)
	for _, need := range node.needs {
		if need.outcome.State == Cancelled {
			return g.cancel(node, need.id)
		}
	}
	return nil
}

// Remove takes a job out that is no longer among the accepted ones: it is over. Its end
// must be given to Ended, or is to be read, while another job needs it.
func (g *Graph) Remove(id string) {
	node := g.nodes[id]
	if node == nil || !node.accepted {
		return
	}
	node.accepted = false
	for _, need := range node.needs {
		delete(need.dependents, node)
		g.withdrawInherited(need, node)
		g.removeIfUnreferenced(need)
	}
	node.needs, node.unmet = nil, 0
	if len(node.dependents) > 0 && node.outcome.State == Pending {
		g.unresolved[id] = true
	}
	g.removeIfUnreferenced(node)
}

// removeIfUnreferenced drops a node that nothing refers to any more.
func (g *Graph) removeIfUnreferenced(node *Node) {
	if !node.accepted && len(node.dependents) == 0 {
		delete(g.nodes, node.id)
		delete(g.unresolved, node.id)
	}
}

// RecordOutcome takes a durable end. It returns the accepted jobs that are now known to be
// cancelled because of it, and those that may now start.
func (g *Graph) RecordOutcome(id string, outcome Outcome) (cancelled, ready []string) {
	node := g.nodes[id]
	if node == nil || node.outcome.State != Pending || outcome.State == Pending {
		return nil, nil
	}
	delete(g.unresolved, id)
	if outcome.State == Cancelled {
		return g.cancel(node, ""), nil
	}
	node.outcome = outcome
	for _, dependent := range node.sortedDependents() {
		g.visited++
		dependent.unmet--
		dependent.readyAt = max(dependent.readyAt, outcome.At)
		if dependent.unmet == 0 && dependent.outcome.State == Pending {
			ready = append(ready, dependent.id)
		}
	}
	return nil, ready
}

// cancel marks a job and all that need it, directly or through others, as cancelled. It
// returns those that are so because of another.
func (g *Graph) cancel(first *Node, cancelledBy string) []string {
	var cancelled []string
	first.outcome, first.cancelledBy = Outcome{State: Cancelled}, cancelledBy
	if cancelledBy != "" {
		cancelled = append(cancelled, first.id)
	}
	queue := []*Node{first}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		for _, dependent := range node.sortedDependents() {
			g.visited++
			if dependent.outcome.State == Cancelled {
				continue
			}
			dependent.outcome, dependent.cancelledBy = Outcome{State: Cancelled}, node.id
			cancelled = append(cancelled, dependent.id)
			queue = append(queue, dependent)
		}
		for _, need := range node.needs {
			g.withdrawInherited(need, node)
		}
	}
	return cancelled
}

// sortedDependents lists the jobs that need this one in the order of their ids, so that runs repeat.
func (n *Node) sortedDependents() []*Node {
	return slices.SortedFunc(maps.Keys(n.dependents), func(a, b *Node) int { return cmp.Compare(a.id, b.id) })
}

// withdrawInherited takes away what a job took over from a dependent that counts no more.
func (g *Graph) withdrawInherited(node, dependent *Node) {
	if node.outcome.State == Pending && (dependent.priority == node.priority || dependent.dueAt == node.dueAt) {
		g.updateInherited(node)
	}
}

// updateInherited works out which priority and deadline a job takes over, and passes changes on to
// the jobs that it needs.
func (g *Graph) updateInherited(first *Node) {
	queue := []*Node{first}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		g.visited++
		priority, dueAt := node.job.Priority, node.job.DueAt
		for dependent := range node.dependents {
			if dependent.outcome.State != Pending {
				continue
			}
			priority = max(priority, dependent.priority)
			if dependent.dueAt > 0 && (dueAt == 0 || dependent.dueAt < dueAt) {
				dueAt = dependent.dueAt
			}
		}
		if priority == node.priority && dueAt == node.dueAt {
			continue
		}
		node.priority, node.dueAt = priority, dueAt
		queue = append(queue, node.needs...)
	}
}

// Unresolved lists needed jobs that are over and whose ends are not known here, in order,
// at most so many.
func (g *Graph) Unresolved(limit int) []string {
	var ids []string
	for id := range g.unresolved {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[:min(limit, len(ids))]
}

// Resolved reports whether the job's state follows from ends that are known: no job that it
// needs, directly or through others, still has to be looked up.
func (g *Graph) Resolved(id string) bool {
	first := g.nodes[id]
	if first == nil || len(g.unresolved) == 0 {
		return true
	}
	seen := map[*Node]bool{first: true}
	queue := []*Node{first}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		for _, need := range node.needs {
			if g.unresolved[need.id] {
				return false
			}
			if !seen[need] && need.outcome.State == Pending {
				seen[need] = true
				queue = append(queue, need)
			}
		}
	}
	return true
}
