package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// jobFacts is what a worker must know of a job; users upload it.
type jobFacts struct {
	cpus, memoryGB float64
	image          string
	imageGB        float64
	daemon         bool
	runsOf         func(piece string) time.Duration // how long a task really runs
	stackS, stowS  float64
}

// region is everything around the controllers, and the checker of what can be seen from outside.
type region struct {
	record       *recorder
	nodes        []*node
	lease        time.Duration
	cancelWithin time.Duration
	reportPeriod time.Duration

	mu        sync.Mutex
	jobs      map[string]*jobFacts
	on        map[string]map[string]bool // machines that each task is on
	done      map[string]bool            // completed tasks
	cancelled map[string]time.Time       // when the user was told that the job is cancelled
	broken    map[string][]string        // what broke each rule
	starts    int
}

func newRegion(record *recorder, lease, cancelWithin, reportPeriod time.Duration) *region {
	return &region{
		record: record, lease: lease, cancelWithin: cancelWithin, reportPeriod: reportPeriod,
		jobs: map[string]*jobFacts{}, on: map[string]map[string]bool{}, done: map[string]bool{},
		cancelled: map[string]time.Time{}, broken: map[string][]string{},
	}
}

func (r *region) nodeNamed(name string) int {
	for i, n := range r.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

func (r *region) upload(id string, facts *jobFacts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id] = facts
}

func (r *region) jobOf(piece string) *jobFacts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[jobIDOf(piece)]
}

// breaks notes that a rule is broken. The caller holds the lock.
func (r *region) breaks(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.broken[rule] = append(r.broken[rule], text)
	r.record.add("RULE BROKEN: %s: %s", rule, text)
}

// breaksRule is breaks for a caller without the lock.
func (r *region) breaksRule(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks(rule, format, args...)
}

// started notes that a task holds its image on a machine.
func (r *region) started(w *worker, piece string, pass uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.record.add("%s: %s pass %d runs", w.name, piece, pass)
	if others := r.on[piece]; len(others) > 0 && !others[w.name] {
		var names []string
		for name := range others {
			names = append(names, name)
		}
		sort.Strings(names)
		r.breaks("ran_twice", "%s starts on %s while it is on %s", piece, w.name, strings.Join(names, ", "))
	}
	if at, ok := r.cancelled[jobIDOf(piece)]; ok && time.Since(at) > r.cancelWithin {
		r.breaks("ran_cancelled", "%s starts on %s %.1f s after its user was told that the job is cancelled", piece, w.name, time.Since(at).Seconds())
	}
	if r.on[piece] == nil {
		r.on[piece] = map[string]bool{}
	}
	r.on[piece][w.name] = true
}

// stopped notes that a task is no longer on a machine.
func (r *region) stopped(machine, piece string, pass uint64, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.add("%s: %s pass %d ends: %s", machine, piece, pass, cause)
	delete(r.on[piece], machine)
}

func (r *region) completed(piece string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[piece] = true
}

// usage returns the CPUs that the tasks of a job use on machines.
func (r *region) usage(id string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	cpus := 0.0
	for piece, machines := range r.on {
		if jobIDOf(piece) == id {
			cpus += float64(len(machines)) * r.jobs[id].cpus
		}
	}
	return cpus
}

func (r *region) isCompleted(piece string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[piece]
}

// toldCancelled notes that a user was told that a job is cancelled.
func (r *region) toldCancelled(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.cancelled[id]; !ok {
		r.cancelled[id] = time.Now()
	}
}

// checkCancelled notes tasks of cancelled jobs that are still on machines after the time allowed.
func (r *region) checkCancelled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for piece, machines := range r.on {
		at, ok := r.cancelled[jobIDOf(piece)]
		if ok && len(machines) > 0 && time.Since(at) > r.cancelWithin {
			r.breaks("ran_cancelled", "%s is on a machine %.1f s after its user was told that the job is cancelled", piece, time.Since(at).Seconds())
		}
	}
}

// verdict returns what broke a rule, and which other rules were broken.
func (r *region) verdict(rule string) (broken []string, others []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.broken {
		if name != rule {
			others = append(others, fmt.Sprintf("%s (%d)", name, len(r.broken[name])))
		}
	}
	sort.Strings(others)
	return r.broken[rule], others
}
