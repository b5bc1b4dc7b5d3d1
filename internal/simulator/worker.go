package simulator

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

// worker is one machine's agent.
type worker struct {
	w    *World
	name string
	l    cloud.Listed
	t    *cloud.Type
	up   bool

	session, seq, token uint64
	answered            units.Micros // when the last answered report was sent
	tasks               map[string]*task
	cache               map[string]bool
	node                int
	inFlight            bool
	sentAt              units.Micros
	nextAt              units.Micros
	changed             bool
	tokenAt             units.Micros
	hungTo              units.Micros
	late                []func() // commands that came while it hung
	sick                bool
	slow                float64
	notice              *float64
}

type task struct {
	job     string
	num     int
	attempt uint64
	state   string
	cause   string
	saved   bool
	ready   units.Micros // when its image is there
	ends    units.Micros // when it completes
	begun   units.Micros
}

func (t *task) id() string { return t.job + "/" + strconv.Itoa(t.num) }

func (w *World) addWorker(name string, l cloud.Listed, t *cloud.Type) {
	k := &worker{w: w, name: name, l: l, t: t, up: true, session: 1, tasks: map[string]*task{}, cache: map[string]bool{},
		answered: w.now, slow: 1, node: w.rng.IntN(len(w.nodes))}
	w.workers[name] = k
	w.names = append(w.names, name)
	k.nextAt = w.now + units.Micros(w.rng.Int64N(int64(units.Second)))
	w.every(100*units.Millisecond, k.tick)
}

func (w *World) removeWorker(name string) {
	k := w.workers[name]
	if k == nil || !k.up {
		return
	}
	for _, t := range k.sorted() {
		k.drop(t)
	}
	k.up = false
	delete(w.workers, name)
}

func (k *worker) sorted() []*task {
	var out []*task
	for _, t := range k.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id() < out[b].id() })
	return out
}

// drop ends whatever the task does; the machine forgets it.
func (k *worker) drop(t *task) {
	if t.state == agent.Running || t.state == agent.Flushing {
		k.w.Rules.Off(k.name, t.job, t.num)
	}
	delete(k.tasks, t.id())
}

func (k *worker) exit(t *task, cause string) {
	if t.state == agent.Running || t.state == agent.Flushing {
		k.w.Rules.Off(k.name, t.job, t.num)
	}
	t.state, t.cause = agent.Ended, cause
	k.changed = true
	if cause == agent.CauseDone {
		k.w.Rules.Completed(t.job, t.num)
		if k.w.Rules.AllDone(t.job) {
			k.w.users.ended(t.job)
		}
	}
}

func (k *worker) lease() units.Micros { return k.w.nodes[0].cfg.Settings.Lease() }

func (k *worker) tick() {
	now := k.w.now
	if !k.up {
		return
	}
	k.expire() // also while it hangs: it may go on within its lease only
	if now < k.hungTo {
		return
	}
	for _, f := range k.late {
		f()
	}
	k.late = nil
	due := false
	for _, t := range k.tasks {
		due = due || k.sick || t.state == agent.Pulling && now >= t.ready || (t.state == agent.Running || t.state == agent.Flushing) && now >= t.ends
	}
	if due {
		k.advance()
	}
	if !k.inFlight && (now >= k.nextAt || k.changed && now-k.sentAt >= 500*units.Millisecond) {
		k.send()
	}
}

// advance moves every task on whose time has come.
func (k *worker) advance() {
	now := k.w.now
	for _, t := range k.sorted() {
		switch {
		case t.state == agent.Pulling && now >= t.ready:
			j := k.w.users.job(t.job)
			k.cache[j.spec.Image] = true
			t.state = agent.Running
			k.changed = true
			k.w.Rules.On(k.name, k.l, t.job, t.num)
			t.begun = now
			run := units.FromSeconds(j.runS * k.slow)
			switch {
			case k.w.Rules.IsDone(t.job, t.num):
				run = 0 // the result is kept
			case k.sick || j.broken:
				run = 2 * units.Second
			}
			t.ends = now + run
		case t.state == agent.Running && now >= t.ends && !k.w.users.job(t.job).spec.Service:
			if (k.sick || k.w.users.job(t.job).broken) && !k.w.Rules.IsDone(t.job, t.num) {
				k.exit(t, agent.CauseError)
			} else {
				k.exit(t, agent.CauseDone)
			}
		case t.state == agent.Running && k.sick && now >= t.begun+2*units.Second:
			k.exit(t, agent.CauseError)
		case t.state == agent.Flushing && now >= t.ends:
			t.saved = true
			k.exit(t, agent.CauseHalted)
		}
	}
}

// expire ends the session when the last answered report is too old.
func (k *worker) expire() {
	if k.w.now-k.answered > k.lease() {
		for _, t := range k.sorted() {
			k.drop(t)
		}
		k.session++
		k.answered = k.w.now
		k.changed = true
	}
}

func (k *worker) report() agent.Report {
	k.seq++
	r := agent.Report{Machine: k.name, Addr: k.l.Addr, Type: k.l.Type, Zone: k.l.Zone, Spot: k.l.Spot,
		Session: k.session, Seq: k.seq, Token: k.token, NoticeS: k.notice}
	for _, t := range k.sorted() {
		r.Tasks = append(r.Tasks, agent.Piece{Task: t.id(), Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (k *worker) send() {
	w := k.w
	k.inFlight, k.changed = true, false
	k.sentAt = w.now
	period := k.w.nodes[0].cfg.Settings.Report()
	k.nextAt = w.now + units.Micros(float64(period)*(0.75+0.5*w.rng.Float64()))
	r := k.report()
	n, sess, sent := w.nodes[k.node], k.session, w.now
	if w.copies > 0 && w.rng.Float64() < w.copies { // nobody waits for its answer
		o := w.nodes[w.rng.IntN(len(w.nodes))]
		late := units.FromSeconds(1 + w.rng.Float64()*w.rng.Float64()*3*k.lease().Seconds())
		w.after(late, func() {
			o.ask(func(to uint64) controller.Msg { return controller.ReportReq{To: to, Report: r} }, func(controller.Reply) {})
		})
	}
	call(w, k.name, n.name, 4*units.Second, func(answer func(controller.Reply)) {
		n.ask(func(to uint64) controller.Msg { return controller.ReportReq{To: to, Report: r} }, answer)
	}, func(a controller.Reply, ok bool) {
		k.inFlight = false
		if !k.up || w.now < k.hungTo {
			return
		}
		k.expire()
		if !ok || a.Status != 200 {
			k.elsewhere(a)
			return
		}
		ans := a.Body.(agent.Answer)
		if k.session != sess || ans.Token < k.token {
			return
		}
		k.raise(ans.Token)
		k.answered = sent
		k.obey(ans.Orders, w.now)
	})
}

func (k *worker) raise(token uint64) {
	if token > k.token {
		k.token = token
		if k.w.now-k.tokenAt > k.lease()/2 || k.tokenAt == 0 {
			k.changed = true
			k.tokenAt = k.w.now
		}
	}
}

func (k *worker) elsewhere(a controller.Reply) {
	if rd, ok := a.Body.(agent.Redirect); ok && a.Status == 421 && rd.To != "" {
		for i, n := range k.w.nodes {
			if n.name == rd.To && i != k.node {
				k.node = i
				k.nextAt = k.w.now + units.Micros(k.w.rng.Int64N(int64(500*units.Millisecond)))
				return
			}
		}
	}
	k.node = (k.node + 1) % len(k.w.nodes)
	k.nextAt = k.w.now + units.Second
}

// obey carries out orders that were given at a time.
func (k *worker) obey(orders []agent.Order, given units.Micros) {
	for _, o := range orders {
		job, num, _ := strings.Cut(o.Task, "/")
		n, err := strconv.Atoi(num)
		if err != nil {
			continue
		}
		t := k.tasks[o.Task]
		switch o.Op {
		case agent.Launch:
			if t != nil && t.attempt == o.Attempt {
				continue
			}
			k.w.Rules.Ordered(job, n, k.name, given)
			k.launch(job, n, o.Attempt, t)
		case agent.Kill:
			if t == nil || t.attempt != o.Attempt || t.state == agent.Ended {
				continue
			}
			j := k.w.users.job(job)
			if t.state == agent.Running && j.spec.CkptS > 0 && o.GraceS >= j.spec.SaveS {
				t.state, t.ends = agent.Flushing, k.w.now+units.FromSeconds(j.spec.SaveS)
				k.changed = true
			} else if t.state != agent.Flushing || o.GraceS == 0 {
				k.exit(t, agent.CauseHalted)
			}
		case agent.Reap:
			if t != nil && t.attempt == o.Attempt && t.state == agent.Ended {
				delete(k.tasks, o.Task)
				k.changed = true
			}
		}
	}
}

func (k *worker) launch(job string, n int, attempt uint64, old *task) {
	k.changed = true
	t := &task{job: job, num: n, attempt: attempt, state: agent.Ended}
	j := k.w.users.find(job)
	switch {
	case old != nil && old.state != agent.Ended:
		// Shown under a key of its own until it is reaped: a refused start.
		return
	case j == nil || n >= j.spec.Tasks:
		t.cause = "no_such"
	case !k.room(j):
		t.cause = "no_room"
	default:
		t.state = agent.Pulling
		t.ready = k.w.now
		if !k.cache[j.spec.Image] {
			t.ready += units.FromSeconds(j.spec.ImageGB / k.t.FetchGBs)
		}
	}
	k.tasks[t.id()] = t
}

func (k *worker) room(j *userJob) bool {
	cpus, gpus, mem := k.t.CPUs, k.t.GPUs, k.t.MemGB
	for _, t := range k.tasks {
		if t.state != agent.Ended {
			o := k.w.users.job(t.job)
			cpus, gpus, mem = cpus-o.spec.CPUs, gpus-o.spec.GPUs, mem-o.spec.MemGB
		}
	}
	return cpus >= j.spec.CPUs-1e-9 && gpus >= j.spec.GPUs-1e-9 && mem >= j.spec.MemGB-1e-9
}

// commandTo carries a direct command, or a question, to a worker. One that
// arrives while the machine hangs is carried out when it goes on.
func (w *World) commandTo(node string, e controller.WorkerCall, done func(controller.WorkerDone)) {
	name, _, _ := strings.Cut(e.Addr, ":")
	given := w.now
	call(w, node, name, 2*units.Second, func(answer func(controller.WorkerDone)) {
		k := w.workers[name]
		if k == nil {
			return
		}
		do := func() {
			k.expire()
			d := controller.WorkerDone{Status: 200}
			if e.Cmd != nil {
				if e.Cmd.Token < k.token || e.Cmd.Session != k.session {
					d.Status = 409
				} else {
					k.raise(e.Cmd.Token)
					k.obey(e.Cmd.Orders, given)
				}
			}
			r := k.report()
			d.Report = roundTrip(&r)
			answer(d)
		}
		if w.now < k.hungTo {
			k.late = append(k.late, do)
			return
		}
		do()
	}, func(d controller.WorkerDone, ok bool) {
		if !ok {
			d = controller.WorkerDone{}
		}
		d.ID = e.ID
		done(d)
	})
}

// roundTrip encodes and decodes a report, so that the wire form is exercised.
func roundTrip(r *agent.Report) *agent.Report {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	var out agent.Report
	if err := json.Unmarshal(b, &out); err != nil {
		panic(err)
	}
	return &out
}
