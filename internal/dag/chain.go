// Package chain keeps the graph of jobs that wait for other jobs: which of them may
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

// Outcome is how a job ended, as far as is known.
type Outcome int

// Outcomes of a job.
const (
	Open      Outcome = iota // not over, or its end is not known here
	Done                     // all of its tasks are done, and that is stored
	Cancelled                // cancelled itself, or because of a job that it needs
)

// End is a durable end of a job.
type End struct {
	Outcome Outcome
	At      units.Micros // time of day at which it was stored; 0: not known
}

// Job is what the graph has to know of an accepted job.
type Job struct {
	ID    string
	Needs []string // jobs that must be done before it starts
	Grade int
	DueAt units.Micros // time of day of its deadline; 0: it has none
}

// Node is one job of the graph. It is there while the job is accepted and not over, or
// while another job needs it.
type Node struct {
	id         string
	accepted   bool // an accepted job that is not over
	own        Job
	needs      []*Node
	dependents map[*Node]bool
	end        End
	because    string       // the needed job whose cancellation cancelled this one; empty: none
	open       int          // of needs, those that are not known to be done
	readyAt    units.Micros // when the latest of the needs was done
	grade      int          // the highest of its own and those of all that need it
	dueAt      units.Micros // the earliest of its own and those of all that need it; 0: none
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
func (n *Node) Ready() bool { return n == nil || n.open == 0 && n.end.Outcome != Cancelled }

// Cancelled reports whether the job is cancelled, itself or because of another.
func (n *Node) Cancelled() bool { return n != nil && n.end.Outcome == Cancelled }

// Because names the needed job whose cancellation cancelled this one; empty if none did.
func (n *Node) Because() string {
	if n == nil {
		return ""
	}
	return n.because
}

// ReadyAt is the time of day at which the last needed job was done; 0: nothing was needed.
func (n *Node) ReadyAt() units.Micros {
	if n == nil {
		return 0
	}
	return n.readyAt
}

// Grade is the highest priority of the job and all that need it.
func (n *Node) Grade() int { return n.grade }

// DueAt is the earliest deadline, as a time of day, of the job and all that need it; 0: none.
func (n *Node) DueAt() units.Micros {
	if n == nil {
		return 0
	}
	return n.dueAt
}

// Needed reports whether another job needs this one.
func (n *Node) Needed() bool { return n != nil && len(n.dependents) > 0 }

// WaitsFor lists the needed jobs that are not known to be done.
func (n *Node) WaitsFor() []string {
	if n == nil {
		return nil
	}
	var out []string
	for _, need := range n.needs {
		if need.end.Outcome != Done {
			out = append(out, need.id)
		}
	}
	return out
}

func (g *Graph) node(id string) *Node {
	n := g.nodes[id]
	if n == nil {
		n = &Node{id: id, dependents: map[*Node]bool{}}
		g.nodes[id] = n
	}
	return n
}

// Add enters an accepted job that is not over. ends tells the ends that are known of jobs
// which are not in the graph. It returns the jobs that are now known to be cancelled.
func (g *Graph) Add(j Job, ends func(id string) (End, bool)) []string {
	n := g.node(j.ID)
	if n.accepted {
		return nil
	}
	n.accepted, n.own = true, j
	delete(g.unresolved, j.ID)
	for _, id := range j.Needs {
		need := g.node(id)
		if need.dependents[n] { // named twice
			continue
		}
		n.needs = append(n.needs, need)
		need.dependents[n] = true
		if need.end.Outcome == Open && !need.accepted {
			if end, ok := ends(id); ok {
				need.end = end
			} else {
				g.unresolved[id] = true
			}
		}
		switch need.end.Outcome {
		case Done:
			n.readyAt = max(n.readyAt, need.end.At)
		default:
			n.open++
		}
	}
	g.inherit(n)
	for _, need := range n.needs {
		if need.end.Outcome == Cancelled {
			return g.cancel(n, need.id)
		}
	}
	return nil
}

// Remove takes a job out that is no longer among the accepted ones: it is over. Its end
// must be given to Ended, or is to be read, while another job needs it.
func (g *Graph) Remove(id string) {
	n := g.nodes[id]
	if n == nil || !n.accepted {
		return
	}
	n.accepted = false
	for _, need := range n.needs {
		delete(need.dependents, n)
		g.disinherit(need, n)
		g.collect(need)
	}
	n.needs, n.open = nil, 0
	if len(n.dependents) > 0 && n.end.Outcome == Open {
		g.unresolved[id] = true
	}
	g.collect(n)
}

// collect drops a node that nothing refers to any more.
func (g *Graph) collect(n *Node) {
	if !n.accepted && len(n.dependents) == 0 {
		delete(g.nodes, n.id)
		delete(g.unresolved, n.id)
	}
}

// Ended takes a durable end. It returns the accepted jobs that are now known to be
// cancelled because of it, and those that may now start.
func (g *Graph) Ended(id string, end End) (cancelled, ready []string) {
	n := g.nodes[id]
	if n == nil || n.end.Outcome != Open || end.Outcome == Open {
		return nil, nil
	}
	delete(g.unresolved, id)
	if end.Outcome == Cancelled {
		return g.cancel(n, ""), nil
	}
	n.end = end
	for _, d := range n.inOrder() {
		g.visited++
		d.open--
		d.readyAt = max(d.readyAt, end.At)
		if d.open == 0 && d.end.Outcome == Open {
			ready = append(ready, d.id)
		}
	}
	return nil, ready
}

// cancel marks a job and all that need it, directly or through others, as cancelled. It
// returns those that are so because of another.
func (g *Graph) cancel(first *Node, because string) []string {
	var out []string
	first.end, first.because = End{Outcome: Cancelled}, because
	if because != "" {
		out = append(out, first.id)
	}
	queue := []*Node{first}
	for len(queue) > 0 {
		n := queue[0]
		queue = queue[1:]
		for _, d := range n.inOrder() {
			g.visited++
			if d.end.Outcome == Cancelled {
				continue
			}
			d.end, d.because = End{Outcome: Cancelled}, n.id
			out = append(out, d.id)
			queue = append(queue, d)
		}
		for _, need := range n.needs {
			g.disinherit(need, n)
		}
	}
	return out
}

// inOrder lists the jobs that need this one in the order of their ids, so that runs repeat.
func (n *Node) inOrder() []*Node {
	return slices.SortedFunc(maps.Keys(n.dependents), func(a, b *Node) int { return cmp.Compare(a.id, b.id) })
}

// disinherit takes away what a job took over from a dependent that counts no more.
func (g *Graph) disinherit(n, dependent *Node) {
	if n.end.Outcome == Open && (dependent.grade == n.grade || dependent.dueAt == n.dueAt) {
		g.inherit(n)
	}
}

// inherit works out which priority and deadline a job takes over, and passes changes on to
// the jobs that it needs.
func (g *Graph) inherit(first *Node) {
	queue := []*Node{first}
	for len(queue) > 0 {
		n := queue[0]
		queue = queue[1:]
		g.visited++
		grade, dueAt := n.own.Grade, n.own.DueAt
		for d := range n.dependents {
			if d.end.Outcome != Open {
				continue
			}
			grade = max(grade, d.grade)
			if d.dueAt > 0 && (dueAt == 0 || d.dueAt < dueAt) {
				dueAt = d.dueAt
			}
		}
		if grade == n.grade && dueAt == n.dueAt {
			continue
		}
		n.grade, n.dueAt = grade, dueAt
		queue = append(queue, n.needs...)
	}
}

// Unresolved lists needed jobs that are over and whose ends are not known here, in order,
// at most so many.
func (g *Graph) Unresolved(most int) []string {
	var out []string
	for id := range g.unresolved {
		out = append(out, id)
	}
	slices.Sort(out)
	return out[:min(most, len(out))]
}

// Known reports whether the job's state follows from ends that are known: no job that it
// needs, directly or through others, still has to be looked up.
func (g *Graph) Known(id string) bool {
	first := g.nodes[id]
	if first == nil || len(g.unresolved) == 0 {
		return true
	}
	seen := map[*Node]bool{first: true}
	queue := []*Node{first}
	for len(queue) > 0 {
		n := queue[0]
		queue = queue[1:]
		for _, need := range n.needs {
			if g.unresolved[need.id] {
				return false
			}
			if !seen[need] && need.end.Outcome == Open {
				seen[need] = true
				queue = append(queue, need)
			}
		}
	}
	return true
}
