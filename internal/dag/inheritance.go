package dag

import "frostdock.example/frostdock/internal/units"

// updateInherited recomputes the priority and the deadline of a node, and propagates changes to the
// jobs that it needs.
func (g *Graph) updateInherited(first *Node) {
	queue := []*Node{first}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		g.visited++
		priority, dueAt := node.inherit()
		if priority == node.priority && dueAt == node.dueAt {
			continue
		}
		node.priority, node.dueAt = priority, dueAt
		queue = append(queue, node.needs...)
	}
}

// inherit returns the highest priority and the earliest deadline of a job and of its pending
// dependents.
func (n *Node) inherit() (priority int, dueAt units.Micros) {
	priority, dueAt = n.job.Priority, n.job.DueAt
	for dependent := range n.dependents {
		if dependent.outcome.State != Pending {
			continue
		}
		priority = max(priority, dependent.priority)
		if dependent.dueAt > 0 && (dueAt == 0 || dependent.dueAt < dueAt) {
			dueAt = dependent.dueAt
		}
	}
	return priority, dueAt
}

// withdrawInherited updates a node after a dependent has been removed or cancelled. It does nothing if
// the dependent determined neither the priority nor the deadline.
func (g *Graph) withdrawInherited(node, dependent *Node) {
	if node.outcome.State == Pending && (dependent.priority == node.priority || dependent.dueAt == node.dueAt) {
		g.updateInherited(node)
	}
}
