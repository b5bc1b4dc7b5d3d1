package simulator

import (
	"container/heap"

	"frostdock.example/frostdock/internal/units"
)

// event is an action at a moment of simulated time.
type event struct {
	at       units.Micros
	sequence int // events of one moment run in the order in which they were scheduled
	action   func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

// Len is part of heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap is part of heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) } //nolint:forcetypeassert // only next and at use the heap

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// next removes the next event.
func (q *eventQueue) next() event { return heap.Pop(q).(event) } //nolint:forcetypeassert // Push takes nothing else

// at schedules an action; one for a time in the past runs at the present moment.
func (w *World) at(when units.Micros, action func()) {
	w.scheduled++
	heap.Push(&w.queue, event{max(when, w.now), w.scheduled, action})
}

func (w *World) after(delay units.Micros, action func()) { w.at(w.now+delay, action) }

func (w *World) every(period units.Micros, action func()) {
	w.after(period, func() { action(); w.every(period, action) })
}

// run executes all events until the given time, inclusive.
func (w *World) run(until units.Micros) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := w.queue.next()
		w.now = next.at
		w.checker.advanceTo(w.now)
		next.action()
	}
	w.now = until
}
