package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

var teams = []string{"red", "blue", "green"}

// userJob is a job as its user sees it.
type userJob struct {
	facts JobFacts
	run   time.Duration
	grade string
	body  map[string]any
}

// users submit jobs at all controllers, repeat, ask and cancel.
type users struct {
	w    *world
	mu   sync.Mutex
	next int
	jobs map[string]*userJob
	ids  []string // in order of their submission
}

func newUsers(w *world) *users { return &users{w: w, jobs: map[string]*userJob{}} }

func (u *users) job(id string) *userJob {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[id]
}

// one of some words.
func pick[T any](w *world, from ...T) T { return from[w.rng.intN(len(from))] }

// begin has users at work for some time.
func (u *users) begin(d time.Duration) {
	until := time.Now().Add(d)
	going := func() bool { return time.Now().Before(until) }
	u.w.run(func() {
		for going() && u.w.sleep(u.pause(150*time.Millisecond, 700*time.Millisecond)) {
			u.submit(u.plain())
		}
	})
	u.w.run(func() {
		for going() && u.w.sleep(u.pause(300*time.Millisecond, 1500*time.Millisecond)) {
			if u.w.upgraded.Load() {
				u.w.run(u.pipeline)
			}
		}
	})
	u.w.run(func() {
		for going() && u.w.sleep(u.pause(200*time.Millisecond, time.Second)) {
			u.odd()
		}
	})
	u.w.run(func() {
		for going() && u.w.sleep(u.pause(300*time.Millisecond, 1500*time.Millisecond)) {
			if id := u.any(); id != "" {
				u.w.run(func() { u.cancel(id) })
			}
		}
	})
}

// usualWorkers is the fleet for which the pauses between submissions are meant; a larger one has
// more users.
const usualWorkers = 20

// pause draws a time between two of the users' doings.
func (u *users) pause(low, high time.Duration) time.Duration {
	return u.w.rng.between(low, high) * usualWorkers / time.Duration(max(usualWorkers, u.w.opts.Workers))
}

// any draws one of the latest jobs.
func (u *users) any() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.ids) == 0 {
		return ""
	}
	latest := u.ids[max(0, len(u.ids)-25):]
	return latest[u.w.rng.intN(len(latest))]
}

// plain draws a job that needs none, or now and then an earlier one.
func (u *users) plain() *userJob {
	service := u.w.rng.chance(0.12)
	tasks := 1 + u.w.rng.intN(12)
	if service || u.w.rng.chance(0.4) {
		tasks = 1 + u.w.rng.intN(3)
	}
	j := u.draw(tasks, u.w.rng.between(500*time.Millisecond, 5*time.Second))
	j.facts.Service = service
	if service {
		j.grade = "production"
	} else if u.w.upgraded.Load() && u.w.rng.chance(0.2) {
		j.facts.Needs = u.earlier()
	}
	return j
}

// earlier names an accepted job, which may be over or cancelled.
func (u *users) earlier() []string {
	id := u.any()
	if id == "" || !u.w.check.Accepted(id) || u.job(id).facts.Service || u.job(id).facts.Bad != "" {
		return nil
	}
	return []string{id}
}

// draw makes a job of so many tasks.
func (u *users) draw(tasks int, run time.Duration) *userJob {
	u.mu.Lock()
	u.next++
	id := fmt.Sprintf("j-%06d", u.next)
	u.mu.Unlock()
	return &userJob{
		facts: JobFacts{ID: id, Team: pick(u.w, teams...), Tasks: tasks, CPUs: pick(u.w, 1.0, 1.0, 2.0), Spot: u.w.rng.chance(0.5),
			Zone: pick(u.w, "", "", "", zones[0], zones[1])},
		run: run, grade: pick(u.w, "best_effort", "standard", "urgent"),
	}
}

// pipeline submits a chain, each link as soon as those that it needs are accepted, and may
// cancel one of its links.
func (u *users) pipeline() {
	short := func() time.Duration { return u.w.rng.between(300*time.Millisecond, 2*time.Second) }
	first := u.draw(1+u.w.rng.intN(3), short())
	first.facts.Needs = u.earlier()
	left, right := u.draw(1+u.w.rng.intN(8), short()), u.draw(1+u.w.rng.intN(8), short())
	left.facts.Needs, right.facts.Needs = []string{first.facts.ID}, []string{first.facts.ID}
	join := u.draw(1+u.w.rng.intN(3), short())
	join.facts.Needs = []string{left.facts.ID, right.facts.ID}
	last := u.draw(1, short())
	last.facts.Needs = []string{join.facts.ID, first.facts.ID}
	links := []*userJob{first, left, right, join, last}
	if u.w.rng.chance(0.5) {
		victim := pick(u.w, links[:4]...).facts.ID
		u.w.after(u.w.rng.between(0, 6*time.Second), func() { u.cancel(victim) })
	}
	for _, link := range links {
		if link == last && u.w.rng.chance(0.3) && !u.w.sleep(u.w.rng.between(time.Second, 8*time.Second)) {
			return
		}
		for !u.allAccepted(link.facts.Needs) {
			if !u.w.sleep(20 * time.Millisecond) {
				return
			}
		}
		u.submit(link)
	}
}

func (u *users) allAccepted(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return !u.w.check.Accepted(id) })
}

// odd sends what no user should: questions about nothing, repeats, and jobs that can't run.
func (u *users) odd() {
	switch u.w.rng.intN(4) {
	case 0:
		u.ask("poll", fmt.Sprintf("j-9%05d", u.w.rng.intN(1000)), "GET", nil)
	case 1:
		if id := u.any(); id != "" && u.w.check.Accepted(id) {
			u.ask("submit", id, "POST", u.job(id).body)
		}
	case 2:
		j := u.draw(1, time.Second)
		j.facts.CPUs, j.facts.Bad = 1000, "fits no machine"
		u.submit(j)
	case 3:
		j := u.draw(1, time.Second)
		j.facts.Bad = "lacks a field"
		u.submit(j)
	}
}

// submit registers a job and sends it until it is accepted or refused, and asks about it from then on.
func (u *users) submit(j *userJob) {
	j.body = bodyOf(j)
	if j.facts.Bad == "lacks a field" {
		delete(j.body, "crew")
	}
	u.mu.Lock()
	u.jobs[j.facts.ID] = j
	if j.facts.Bad == "" {
		u.ids = append(u.ids, j.facts.ID)
	}
	u.mu.Unlock()
	u.w.check.Submitted(j.facts)
	u.w.run(func() {
		for {
			status, _ := u.ask("submit", j.facts.ID, "POST", j.body)
			if status == 400 || status == 422 {
				if j.facts.Bad == "" {
					u.w.events.add("BROKEN %s is refused with %d", j.facts.ID, status)
				}
				return
			}
			if status == 200 || status == 201 || !u.w.sleep(500*time.Millisecond) {
				break
			}
		}
		for u.w.sleep(u.w.rng.between(700*time.Millisecond, 1500*time.Millisecond)) {
			if _, stage := u.ask("poll", j.facts.ID, "GET", nil); stage == "done" || stage == "cancelled" {
				u.w.sleep(3 * time.Second) // they may ask again
			}
		}
	})
}

func bodyOf(j *userJob) map[string]any {
	f := j.facts
	cut := "array"
	if f.Service {
		cut = "daemon"
	}
	body := map[string]any{
		"uid": f.ID, "lot": "soak", "crew": f.Team, "cut": cut, "grade": j.grade, "pieces": f.Tasks, "cpus": f.CPUs, "cards": 0.0,
		"memoryGb": f.CPUs, "pattern": "image", "sizeGb": 0.1, "stocks": nil, "yard": nil, "samePlace": false, "spread": false,
		"loaners": f.Spot, "sawS": j.run.Seconds(), "stackS": 0.0, "stowS": 0.0, "dueS": nil,
	}
	if f.Zone != "" {
		body["yard"] = f.Zone
	}
	if len(f.Needs) > 0 {
		body["waitsOn"] = f.Needs
	}
	return body
}

// cancel asks to cancel a job until it is told that the job is over.
func (u *users) cancel(id string) {
	for !u.w.check.Accepted(id) {
		if !u.w.sleep(50 * time.Millisecond) {
			return
		}
	}
	u.w.check.Cancelling(id)
	for {
		if status, _ := u.ask("abort", id, "POST", nil); status == 200 || !u.w.sleep(500*time.Millisecond) {
			return
		}
	}
}

// ask sends a request to a controller that is ready, and tells the checker.
func (u *users) ask(kind, id, method string, body any) (status int, stage string) {
	path := map[string]string{"submit": "/submissions", "poll": "/submissions/" + id, "abort": "/submissions/" + id + "/abort"}[kind]
	node := u.someReady()
	if node == nil {
		return 0, ""
	}
	asked := u.w.check.Asking(id)
	var told struct {
		Stage string `json:"stage"`
	}
	within := 5 * time.Second
	if kind == "poll" {
		within = 2 * time.Second
	}
	status = node.call(method, path, body, within, &told)
	if u.w.links.cut(linkUsers, node.index) {
		return 0, ""
	}
	if status != 0 {
		u.w.check.Answered(kind, id, status, told.Stage, asked)
	}
	if (status == 200 || status == 201) && kind != "poll" {
		u.w.events.add("%s of %s at %s: %s", kind, id, node.name, told.Stage)
	}
	return status, told.Stage
}

func (u *users) someReady() *process {
	var ready []*process
	for _, n := range u.w.nodes {
		if n.isReady() {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return pick(u.w, ready...)
}

// finish cancels the services and waits until all jobs are over; it lists those that are not
// in time.
func (u *users) finish(within time.Duration) []string {
	u.mu.Lock()
	ids := slices.Clone(u.ids)
	u.mu.Unlock()
	for _, id := range ids {
		if u.job(id).facts.Service {
			u.w.run(func() { u.cancel(id) })
		}
	}
	deadline := time.Now().Add(within)
	for {
		var open []string
		for _, id := range ids {
			if u.w.check.Final(id) == "" {
				open = append(open, id)
			}
		}
		if len(open) == 0 {
			u.w.sleep(cancelIn + time.Second) // what was cancelled last must be gone as well
			u.w.check.Closing()
			return nil
		}
		if time.Now().After(deadline) || !u.w.sleep(200*time.Millisecond) {
			return open
		}
	}
}
