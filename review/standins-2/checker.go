package main

import (
	"fmt"
	"sync"
	"time"
)

// jobSpec is a submission, with what only the stand-ins know.
type jobSpec struct {
	UID      string   `json:"uid"`
	Lot      string   `json:"lot"`
	Crew     string   `json:"crew"`
	Cut      string   `json:"cut"`
	Grade    string   `json:"grade"`
	Pieces   int      `json:"pieces"`
	CPUs     float64  `json:"cpus"`
	Cards    float64  `json:"cards"`
	MemoryGB float64  `json:"memoryGb"`
	Pattern  string   `json:"pattern"`
	SizeGB   float64  `json:"sizeGb"`
	Stocks   []string `json:"stocks"`
	Yard     *string  `json:"yard"`
	Same     bool     `json:"samePlace"`
	Spread   bool     `json:"spread"`
	Loaners  bool     `json:"loaners"`
	SawS     float64  `json:"sawS"`
	StackS   float64  `json:"stackS"`
	StowS    float64  `json:"stowS"`
	DueS     *float64 `json:"dueS"`

	broken bool
	runOf  func(n int) float64 // real run time of a task; nil: sawS
}

func (j *jobSpec) runS(n int) float64 {
	if j.runOf != nil {
		return j.runOf(n)
	}
	return j.SawS
}

// checker records what happens to tasks, and which rules are broken.
type checker struct {
	w         *world
	mu        sync.Mutex
	jobs      map[string]*jobSpec
	on        map[string]string // machine of each task that is on one
	done      map[string]bool
	starts    map[string]int
	cancelled map[string]time.Time // when the user was told
	usage     map[string]float64
	broken    []string
}

func newChecker(w *world) *checker {
	return &checker{w: w, jobs: map[string]*jobSpec{}, on: map[string]string{}, done: map[string]bool{}, starts: map[string]int{}, cancelled: map[string]time.Time{}, usage: map[string]float64{}}
}

func (c *checker) spec(id string) *jobSpec {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

func (c *checker) know(j *jobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.UID] = j
}

// breach records that a rule was broken.
func (c *checker) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.w.note("BROKEN: %s", text)
	c.broken = append(c.broken, text)
}

func (c *checker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breach(format, args...)
}

func (c *checker) launched(b *bench, o order) {
	c.w.note("%s executes launch %s pass %d", b.name, o.Piece, o.Pass)
}

func (c *checker) started(b *bench, task string, pass uint64) {
	id, _ := jobOf(task)
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	c.w.note("%s starts %s pass %d", b.name, task, pass)
	c.starts[task]++
	if other, ok := c.on[task]; ok {
		c.breach("ran_twice: %s starts on %s while it is on %s", task, b.name, other)
	}
	c.on[task] = b.name
	c.usage[j.Crew] += j.CPUs
	if limit := c.w.quota[j.Crew]; limit > 0 && c.usage[j.Crew] > limit+1e-6 {
		c.breach("quota: %s uses %g CPUs of %g when %s starts", j.Crew, c.usage[j.Crew], limit, task)
	}
	if at, ok := c.cancelled[id]; ok && time.Since(at).Seconds() > cancelS {
		c.breach("ran_cancelled: %s starts %.1f s after its user was told", task, time.Since(at).Seconds())
	}
	if j.Yard != nil && *j.Yard != b.yard || b.loaners && !j.Loaners {
		c.breach("wrong_place: %s starts on %s", task, b.name)
	}
}

func (c *checker) stopped(b *bench, task string) {
	id, _ := jobOf(task)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.on[task] == b.name {
		delete(c.on, task)
		c.usage[c.jobs[id].Crew] -= c.jobs[id].CPUs
	}
	c.w.note("%s leaves %s", task, b.name)
}

func (c *checker) completed(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done[task] = true
}

func (c *checker) isDone(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done[task]
}

func (c *checker) running(id string) (tasks []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.on {
		if of, _ := jobOf(task); of == id {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

func (c *checker) doneCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task := range c.done {
		if of, _ := jobOf(task); of == id {
			n++
		}
	}
	return n
}

// startCount returns how many starts of the job's tasks there were.
func (c *checker) startCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task, starts := range c.starts {
		if of, _ := jobOf(task); of == id {
			n += starts
		}
	}
	return n
}

// checkDeadlines finds tasks of cancelled jobs that are on a machine for too long.
func (c *checker) checkDeadlines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, machine := range c.on {
		id, _ := jobOf(task)
		if at, ok := c.cancelled[id]; ok && time.Since(at).Seconds() > cancelS {
			c.breach("ran_cancelled: %s is on %s %.1f s after its user was told", task, machine, time.Since(at).Seconds())
			delete(c.cancelled, id)
		}
	}
}
