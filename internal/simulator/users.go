package simulator

import (
	"fmt"
	"sort"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// users submit jobs, ask about them and cancel some.
type users struct {
	w    *World
	jobs map[string]*userJob

	cancelAtEnd float64 // chance that a job is called off at the moment of its end
	odds        int
}

type userJob struct {
	spec     schema.Job
	runS     float64
	broken   bool // submitted with a mistake: it fails everywhere
	accepted units.Micros
	doneAt   units.Micros
	stage    string
	denied   int
	asked    units.Micros // when it was last submitted
	abort    bool
	bad      string // why it must not be accepted
	atOnce   bool   // it is submitted though the jobs that it names are not known to be accepted
}

func newUsers(w *World) *users { return &users{w: w, jobs: map[string]*userJob{}} }

func (u *users) find(id string) *userJob { return u.jobs[id] }

func (u *users) job(id string) *userJob {
	j := u.jobs[id]
	if j == nil {
		panic("a task of a job that nobody submitted: " + id)
	}
	return j
}

// ask sends a request to a random healthy node; failures to connect are soon
// known, everything else is waited for.
func (u *users) ask(kind controller.UserKind, id string, j *schema.Job, limit units.Micros, got func(status int, body any, was string)) {
	w := u.w
	was := w.Rules.Told(id)
	var up []*process
	for _, n := range w.nodes {
		if n.up && n.healthy {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		w.after(100*units.Millisecond, func() { got(0, nil, was) })
		return
	}
	n := up[w.rng.IntN(len(up))]
	call(w, "users", n.name, limit, func(answer func(controller.Reply)) {
		var copied *schema.Job
		if j != nil {
			c := *j
			copied = &c
			if n.old {
				copied.Needs = nil // it ignores what it doesn't know
			}
		}
		n.ask(func(to uint64) controller.Msg {
			q := controller.UserReq{To: to, Kind: kind, ID: id, Job: copied}
			if copied == nil && kind == controller.Submit {
				q.Why = fmt.Errorf("malformed")
			}
			return q
		}, answer)
	}, func(r controller.Reply, ok bool) {
		if !ok {
			r.Status = 0
		}
		got(r.Status, r.Body, was)
	})
}

func stageOf(body any) string {
	if st, ok := body.(*controller.Status); ok && st != nil {
		return st.Stage
	}
	return ""
}

// submit sends a job until it is accepted or refused for good.
func (u *users) submit(j *userJob) {
	u.jobs[j.spec.ID] = j
	u.w.Rules.Submitted(&j.spec)
	if j.bad != "" {
		u.w.Rules.Bad(j.spec.ID, j.bad)
	}
	spec := &j.spec
	if j.bad == "lacks a field" {
		spec = nil
	}
	first := u.w.now
	var try func()
	try = func() {
		if !j.atOnce && !u.accepted(j.spec.Needs) { // each as soon as those that it needs are accepted
			u.w.after(20*units.Millisecond, try)
			return
		}
		if len(j.spec.Needs) > 0 && j.asked == 0 {
			first = u.w.now
		}
		j.asked = u.w.now
		u.ask(controller.Submit, j.spec.ID, spec, 5*units.Second, func(status int, body any, was string) {
			u.w.Rules.Answer("submit", j.spec.ID, status, stageOf(body), was)
			switch status {
			case 200, 201:
				if j.accepted == 0 {
					j.accepted = u.w.now
				}
				j.stage = stageOf(body)
				u.w.after(u.pause(), func() { u.poll(j) })
			case 400, 422:
				j.denied = status
			default:
				if u.w.now-first < 60*units.Second {
					u.w.after(units.Second, try)
				}
			}
		})
	}
	try()
}

// accepted reports whether users know that all these jobs are accepted.
func (u *users) accepted(ids []string) bool {
	for _, id := range ids {
		if j := u.jobs[id]; j == nil || j.accepted == 0 {
			return false
		}
	}
	return true
}

func (u *users) pause() units.Micros {
	return 4*units.Second + units.Micros(u.w.rng.Int64N(int64(2*units.Second)))
}

func (u *users) poll(j *userJob) {
	u.ask(controller.Poll, j.spec.ID, nil, 2*units.Second, func(status int, body any, was string) {
		u.w.Rules.Answer("poll", j.spec.ID, status, stageOf(body), was)
		if status == 200 {
			j.stage = stageOf(body)
			if j.stage == controller.Done && j.doneAt == 0 {
				j.doneAt = u.w.now
			}
		}
		next := u.pause()
		if j.stage == controller.Done || j.stage == controller.Cancelled {
			next = 30 * units.Second // they may ask again at any later time
		}
		u.w.after(next, func() { u.poll(j) })
	})
}

// repeat submits a known job again, whole or malformed.
func (u *users) repeat(id string, broken bool) {
	j := u.jobs[id]
	spec := &j.spec
	if broken {
		spec = nil
	}
	u.ask(controller.Submit, id, spec, 5*units.Second, func(status int, body any, was string) {
		u.w.Rules.Answer("submit", id, status, stageOf(body), was)
	})
}

// odd sends what no user should send, until then: repeats of unfinished jobs, of
// which some are malformed, cancellations of done ones, and jobs that can't run.
func (u *users) odd(until units.Micros) {
	if u.w.now > until {
		return
	}
	u.w.after(700*units.Millisecond, func() { u.odd(until) })
	all := u.sorted()
	if len(all) == 0 {
		return
	}
	j := all[u.w.rng.IntN(len(all))]
	switch u.w.rng.IntN(4) {
	case 0:
		if j.accepted > 0 {
			u.repeat(j.spec.ID, u.w.rng.IntN(2) == 0)
		}
	case 1:
		if j.stage == controller.Done && !j.abort {
			u.cancel(j.spec.ID)
		}
	default:
		u.odds++
		o := &userJob{runS: 10, spec: j.spec}
		o.spec.ID = fmt.Sprintf("j-%06d", 700000+u.odds)
		switch u.w.rng.IntN(4) {
		case 0:
			o.bad, o.spec.CPUs = "fits no machine", 100000
		case 1:
			o.bad, o.spec.Team = "has no team", "nobody"
		case 2:
			o.bad, o.spec.Zone = "names no zone", "nowhere"
		case 3:
			o.bad = "lacks a field"
		}
		u.submit(o)
	}
}

// ended may call a job off at the moment of its end.
func (u *users) ended(id string) {
	if j := u.jobs[id]; u.cancelAtEnd > 0 && !j.abort && u.w.rng.Float64() < u.cancelAtEnd {
		u.cancel(id)
	}
}

// stranger asks about a job that nobody submitted.
func (u *users) stranger() {
	id := fmt.Sprintf("j-%012d", 900000000000+u.w.rng.Int64N(1000))
	u.ask(controller.Poll, id, nil, 2*units.Second, func(status int, body any, was string) {
		u.w.Rules.Answer("poll", id, status, stageOf(body), was)
	})
}

func (u *users) cancel(id string) {
	j := u.jobs[id]
	j.abort = true
	u.w.Rules.Aborting(id)
	var try func()
	try = func() {
		u.ask(controller.Abort, id, nil, 5*units.Second, func(status int, body any, was string) {
			u.w.Rules.Answer("abort", id, status, stageOf(body), was)
			if status == 200 {
				j.stage = stageOf(body)
				return
			}
			u.w.after(units.Second, try)
		})
	}
	try()
}

func (u *users) sorted() []*userJob {
	var out []*userJob
	for _, j := range u.jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].spec.ID < out[b].spec.ID })
	return out
}
