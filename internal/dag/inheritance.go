package dag

import "frostdock.example/frostdock/internal/units"

// updateInherited derives the priority and the deadline of a node anew, and passes changes on to
// the jobs that it needs.
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

// inherit returns the highest priority and the earliest deadline of a job and of its dependents
// that are not over.
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

// withdrawInherited takes from a node what it inherited from a dependent that no longer counts. A
// dependent that gave neither the priority nor the deadline costs nothing.
func (g *Graph) withdrawInherited(node, dependent *Node) {
	if node.outcome.State == Pending && (dependent.priority == node.priority || dependent.dueAt == node.dueAt) {
		g.updateInherited(node)
	}
}
