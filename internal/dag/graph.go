// Package dag keeps the dependency graph of jobs: which jobs may start, which are cancelled
// because a job that they need is cancelled, and which priority and deadline each inherits from
// the jobs that need it.
//
// A Graph holds the accepted jobs that have not ended, and the jobs that those need. The caller
// reports every job that is accepted (Add) or has ended (Remove) and every stored outcome
// (RecordOutcome); Add and RecordOutcome return the resulting changes. A repeated report changes
// nothing. A Graph never reads or writes the store, has no clock and starts no goroutines, and must
// not be used by several goroutines concurrently. Results do not depend on the order of map iteration.
//
// A stored outcome never changes, so the states derived from outcomes are monotone: a job that is
// ready stays ready, and one that is cancelled stays cancelled. A job is accepted only after
// the jobs that it needs, so the graph has no cycles.
//
// Invariants between calls:
//
//   - a job has a node if and only if it is accepted or an accepted job needs it;
//   - edges are stored at both ends: b is among the needs of a if and only if a is among the
//     dependents of b, and then a is accepted;
//   - unmet counts the needs of a node that are not known to be done;
//   - unresolved holds the nodes that are not accepted and whose outcome is not known;
//   - an accepted job that needs a cancelled one is cancelled;
//   - a pending node has the highest priority and the earliest deadline of its own job and its
//     pending dependents.
//
// The cost of a change depends on the number of edges that it concerns, not on the number of jobs.
package dag

import "slices"

// Graph is the graph of all accepted jobs that have not ended.
type Graph struct {
	nodes      map[string]*Node
	unresolved map[string]bool // needed jobs that are not accepted and whose outcome is not known
	visited    int             // nodes visited so far, as a measure of work for tests
}

// New returns an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*Node{}, unresolved: map[string]bool{}} }

// Node returns the node of a job, or nil if the graph has none.
func (g *Graph) Node(id string) *Node { return g.nodes[id] }

// Add adds an accepted job that has not ended. lookup returns the outcome of a needed job, if it is
// known. Each outcome that lookup knows must have been passed to RecordOutcome when it became known,
// so that the jobs that were in the graph by then have it too. Add returns the ids of the jobs that
// are now known to be cancelled.
func (g *Graph) Add(job Job, lookup func(id string) (Outcome, bool)) []string {
	node := g.getOrCreate(job.ID)
	if node.accepted {
		return nil
	}
	node.accepted, node.job = true, job
	delete(g.unresolved, job.ID)
	for _, id := range job.Needs {
		g.addNeed(node, id, lookup)
	}
	g.updateInherited(node)
	for _, need := range node.needs {
		if need.outcome.State == Cancelled {
			return g.cancel(node, need.id)
		}
	}
	return nil
}

// addNeed adds the edge from a node to a job that it needs, unless it is there already.
func (g *Graph) addNeed(node *Node, id string, lookup func(id string) (Outcome, bool)) {
	need := g.getOrCreate(id)
	if need.dependents[node] { // named twice
		return
	}
	node.needs = append(node.needs, need)
	need.dependents[node] = true
	if need.outcome.State == Pending && !need.accepted {
		if outcome, known := lookup(id); known {
			need.outcome = outcome
		} else {
			g.unresolved[id] = true
		}
	}
	if need.outcome.State == Done {
		node.readyAt = max(node.readyAt, need.outcome.At)
	} else {
		node.unmet++
	}
}

// getOrCreate returns the node of a job, and creates it if the graph has none.
func (g *Graph) getOrCreate(id string) *Node {
	node := g.nodes[id]
	if node == nil {
		node = &Node{id: id, dependents: map[*Node]bool{}}
		g.nodes[id] = node
	}
	return node
}

// Remove removes an accepted job that has ended. While another job needs it and its outcome is not
// known, it is among the Unresolved.
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

// removeIfUnreferenced removes a node that is not accepted and that no job needs any more.
func (g *Graph) removeIfUnreferenced(node *Node) {
	if !node.accepted && len(node.dependents) == 0 {
		delete(g.nodes, node.id)
		delete(g.unresolved, node.id)
	}
}

// RecordOutcome records a stored outcome. It returns the ids of the jobs that are now known to be
// cancelled because of it, and of those that may now start.
func (g *Graph) RecordOutcome(id string, outcome Outcome) (cancelled, ready []string) {
	node := g.nodes[id]
	if node == nil || node.outcome.State != Pending || outcome.State == Pending {
		return nil, nil
	}
	delete(g.unresolved, id)
	if outcome.State == Cancelled {
		return g.cancel(node, ""), nil
	}
	return nil, g.complete(node, outcome)
}

// complete marks a job as done. It returns the ids of the jobs that may now start.
func (g *Graph) complete(node *Node, outcome Outcome) []string {
	var ready []string
	node.outcome = outcome
	for _, dependent := range node.sortedDependents() {
		g.visited++
		dependent.unmet--
		dependent.readyAt = max(dependent.readyAt, outcome.At)
		if dependent.unmet == 0 && dependent.outcome.State == Pending {
			ready = append(ready, dependent.id)
		}
	}
	return ready
}

// cancel marks a job and all its direct and transitive dependents as cancelled. It returns the ids of
// the jobs that are cancelled because of another job: of first too, if cancelledBy is not empty.
func (g *Graph) cancel(first *Node, cancelledBy string) []string {
	var cancelled []string
	first.markCancelled(cancelledBy)
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
			dependent.markCancelled(node.id)
			cancelled = append(cancelled, dependent.id)
			queue = append(queue, dependent)
		}
		for _, need := range node.needs {
			g.withdrawInherited(need, node)
		}
	}
	return cancelled
}

// Unresolved returns needed jobs that are not accepted and whose outcomes have to be looked up: the
// first ones in the order of their ids, at most limit.
func (g *Graph) Unresolved(limit int) []string {
	var ids []string
	for id := range g.unresolved {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[:min(limit, len(ids))]
}

// Resolved reports whether the job's state follows from known outcomes: none of its direct and
// transitive dependencies is among the Unresolved.
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
