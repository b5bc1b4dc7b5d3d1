// Package dag keeps the graph of jobs that need other jobs: which of them may start, which are
// cancelled because a job that they need is cancelled, and which priority and deadline each
// inherits from the jobs that need it.
//
// A Graph holds the accepted jobs that are not over, and what those need. Its user tells it of every
// job that is accepted (Add) or over (Remove) and of every stored outcome that it learns of
// (RecordOutcome); the graph answers with what follows. To be told something again changes nothing.
// It never reads or writes the store, has no clock and starts no goroutines, and must not be used by
// two goroutines at once. Answers do not depend on the order of map iteration.
//
// A stored outcome never changes, so what is derived from outcomes is monotone: a job that is
// ready stays ready, and one that is cancelled stays cancelled. A job is accepted only after
// the jobs that it needs, so the graph has no cycles.
//
// Between calls these hold:
//
//   - a job has a node if and only if it is accepted or an accepted job needs it;
//   - edges are known at both ends: b is among the needs of a if and only if a is among the
//     dependents of b, and then a is accepted;
//   - unmet counts the needs of a node that are not known to be done;
//   - unresolved holds the nodes that are not accepted and whose outcome is not known;
//   - an accepted job that needs a cancelled one is cancelled;
//   - a pending node has the highest priority and the earliest deadline of its own job and its
//     pending dependents.
//
// A change costs as much as the edges that it concerns, however many jobs there are.
package dag

import "slices"

// Graph is the graph of all accepted jobs that are not over.
type Graph struct {
	nodes      map[string]*Node
	unresolved map[string]bool // needed jobs that are not accepted and whose outcome is not known
	visited    int             // nodes looked at so far, as a measure of the work done
}

// New returns an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*Node{}, unresolved: map[string]bool{}} }

// Node is the node of a job, or nil.
func (g *Graph) Node(id string) *Node { return g.nodes[id] }

// Add enters an accepted job that is not over. lookup returns the outcome of a needed job, if it is
// known; what it knows must have been given to RecordOutcome as well, when it was learnt, so that
// the jobs that were in the graph by then know it too. Add returns the jobs that are now known to be
// cancelled.
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

// getOrCreate is the node of a job, a new one if there was none.
func (g *Graph) getOrCreate(id string) *Node {
	node := g.nodes[id]
	if node == nil {
		node = &Node{id: id, dependents: map[*Node]bool{}}
		g.nodes[id] = node
	}
	return node
}

// Remove takes out a job that is no longer among the accepted ones: it is over. While another job
// needs it and its outcome is not known, it is among the Unresolved.
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

// removeIfUnreferenced drops a node that is not accepted and that no job needs any more.
func (g *Graph) removeIfUnreferenced(node *Node) {
	if !node.accepted && len(node.dependents) == 0 {
		delete(g.nodes, node.id)
		delete(g.unresolved, node.id)
	}
}

// RecordOutcome takes a stored outcome. It returns the jobs that are now known to be cancelled
// because of it, and those that may now start.
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

// complete marks a job as done. It returns the jobs that may now start.
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

// cancel marks a job and all that need it, directly or through others, as cancelled. It
// returns those that are cancelled because of another: first too, if cancelledBy is not empty.
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

// Unresolved lists needed jobs that are over and whose outcomes have to be looked up: the first
// ones in the order of their ids, at most limit.
func (g *Graph) Unresolved(limit int) []string {
	var ids []string
	for id := range g.unresolved {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[:min(limit, len(ids))]
}

// Resolved reports whether the job's state follows from known outcomes: no job that it needs,
// directly or through others, is among the Unresolved.
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
