package soak

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
)

// worker is one machine's agent.
type worker struct {
	w      *world
	listed cloud.Listed
	server *fasthttp.Server

	mu                  sync.Mutex
	gone                bool
	session, seq, token uint64
	answered            time.Time // when the last answered report was sent
	tasks               map[string]*workerTask
	node                int
	nextReport          time.Time
	inFlight            bool      // a report has no answer yet
	sent                time.Time // when it was sent
	changed             bool
	hungUntil           time.Time
	deafUntil           time.Time // answers and commands do not reach it
	muteUntil           time.Time // its reports reach nobody
	lateCommands        float64   // share of commands that are held up
}

type workerTask struct {
	id      string
	job     string
	num     int
	attempt uint64
	state   string
	cause   string
	due     time.Time // when its image is there, or it completes
}

func newWorker(w *world, listed cloud.Listed) (*worker, error) {
	k := &worker{w: w, listed: listed, session: 1, answered: time.Now(), tasks: map[string]*workerTask{}, node: w.rng.intN(controllers)}
	k.nextReport = time.Now().Add(w.rng.between(0, reportEvery))
	k.server = &fasthttp.Server{Handler: k.handle, Logger: quiet{}}
	if err := serve(w, k.server, listed.Addr); err != nil {
		return nil, err
	}
	w.run(k.live)
	return k, nil
}

// live moves the machine's time on until it is gone.
func (k *worker) live() {
	for k.w.sleep(25 * time.Millisecond) {
		if !k.step() {
			break
		}
	}
	k.remove()
}

// step does what is due, and reports whether the machine is still there.
func (k *worker) step() bool {
	k.mu.Lock()
	if k.gone {
		k.mu.Unlock()
		return false
	}
	now := time.Now()
	k.expire(now)
	if now.Before(k.hungUntil) {
		k.mu.Unlock()
		return true
	}
	for _, t := range k.tasks {
		k.advance(t, now)
	}
	due := !now.Before(k.nextReport) || k.changed && now.Sub(k.sent) >= leastBetweenReports
	if k.inFlight || !due {
		k.mu.Unlock()
		return true
	}
	k.changed, k.inFlight, k.sent = false, true, now
	k.nextReport = now.Add(k.w.rng.between(reportEvery*3/4, reportEvery*5/4))
	report, session, node := k.report(), k.session, k.node
	mute, deaf := now.Before(k.muteUntil), now.Before(k.deafUntil)
	k.mu.Unlock()
	k.w.run(func() { k.send(report, session, node, mute, deaf) })
	return true
}

// leastBetweenReports is how soon a change is reported after the report before.
const leastBetweenReports = 250 * time.Millisecond

// expire ends the session when the last answered report is too old.
func (k *worker) expire(now time.Time) {
	if now.Sub(k.answered) <= workerLease {
		return
	}
	if len(k.tasks) > 0 {
		k.w.events.add("machine %s: session %d ends with %d tasks", k.listed.Name, k.session, len(k.tasks))
	}
	k.dropAll()
	k.session++
	k.answered, k.changed = now, true
}

func (k *worker) dropAll() {
	for id, t := range k.tasks {
		k.off(t)
		delete(k.tasks, id)
	}
}

func (k *worker) off(t *workerTask) {
	if t.state == agent.Running || t.state == agent.Flushing {
		k.w.check.Off(k.listed.Name, t.job, t.num)
	}
}

// advance moves a task on if its time has come.
func (k *worker) advance(t *workerTask, now time.Time) {
	if now.Before(t.due) || t.state == agent.Ended {
		return
	}
	job := k.w.users.job(t.job)
	switch t.state {
	case agent.Pulling:
		t.state, k.changed = agent.Running, true
		k.w.check.On(k.listed.Name, k.listed.Zone, k.listed.Spot, t.job, t.num)
		k.w.events.add("task %s pass %d starts on %s", t.id, t.attempt, k.listed.Name)
		t.due = now.Add(job.run)
		if k.w.check.IsDone(t.job, t.num) {
			t.due = now
		}
	case agent.Running:
		if !job.facts.Service {
			k.end(t, agent.CauseDone)
			k.w.check.Completed(t.job, t.num)
		}
	case agent.Flushing:
		k.end(t, agent.CauseHalted)
	}
}

func (k *worker) end(t *workerTask, cause string) {
	k.off(t)
	t.state, t.cause, k.changed = agent.Ended, cause, true
}

func (k *worker) report() agent.Report {
	k.seq++
	r := agent.Report{
		Machine: k.listed.Name, Addr: k.listed.Addr, Type: k.listed.Type, Zone: k.listed.Zone, Spot: k.listed.Spot,
		Session: k.session, Seq: k.seq, Token: k.token, Tasks: []agent.Piece{},
	}
	for _, t := range k.tasks {
		r.Tasks = append(r.Tasks, agent.Piece{Task: t.id, Attempt: t.attempt, State: t.state, Cause: t.cause})
	}
	return r
}

// send sends one report and obeys its answer.
func (k *worker) send(report agent.Report, session uint64, node int, mute, deaf bool) {
	sent := time.Now()
	if share := k.w.lateReports.Load(); share > 0 && k.w.rng.chance(float64(share)/100) {
		other := k.w.rng.intN(controllers)
		k.w.after(k.w.rng.between(time.Second, 2*workerLease), func() {
			k.w.nodes[other].post("/v1/report", report, time.Second, nil)
		})
	}
	var body struct {
		agent.Answer
		agent.Redirect
	}
	status := 0
	if !mute && !k.w.links.cut(linkWorkers, node) {
		status = k.w.nodes[node].post("/v1/report", report, 4*time.Second, &body)
	} else {
		k.w.sleep(200 * time.Millisecond)
	}
	if deaf || k.w.links.cut(linkAnswers, node) {
		status = 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.inFlight = false
	k.expire(now)
	switch {
	case k.gone || now.Before(k.hungUntil):
	case status != 200:
		k.elsewhere(status, body.To, node)
	case k.session == session && body.Token >= k.token:
		k.raise(body.Token)
		k.answered = sent
		k.obey(body.Orders)
	}
}

// elsewhere chooses the controller for the next report.
func (k *worker) elsewhere(status int, to string, node int) {
	if status == 421 && to != "" {
		for i, n := range k.w.nodes {
			if n.name == to && i != node {
				k.node, k.nextReport = i, time.Now().Add(k.w.rng.between(0, 300*time.Millisecond))
				return
			}
		}
	}
	k.node = (node + 1) % controllers
	k.nextReport = time.Now().Add(500 * time.Millisecond)
}

func (k *worker) raise(token uint64) {
	if token > k.token {
		k.token, k.changed = token, true
	}
}

func (k *worker) obey(orders []agent.Order) {
	for _, o := range orders {
		t := k.tasks[o.Task]
		same := t != nil && t.attempt == o.Attempt
		switch o.Op {
		case agent.Launch:
			if !same {
				k.launch(o, t)
			}
		case agent.Kill:
			if same && t.state != agent.Ended {
				k.end(t, agent.CauseHalted)
			}
		case agent.Reap:
			if same && t.state == agent.Ended {
				delete(k.tasks, o.Task)
				k.changed = true
			}
		}
	}
}

func (k *worker) launch(o agent.Order, old *workerTask) {
	if old != nil && old.state != agent.Ended {
		return
	}
	job, digits, _ := strings.Cut(o.Task, "/")
	num, err := strconv.Atoi(digits)
	if err != nil {
		return
	}
	t := &workerTask{id: o.Task, job: job, num: num, attempt: o.Attempt, state: agent.Pulling}
	t.due = time.Now().Add(k.w.rng.between(20*time.Millisecond, 300*time.Millisecond))
	used := 0.0
	for _, other := range k.tasks {
		if other.state != agent.Ended {
			used += k.w.users.job(other.job).facts.CPUs
		}
	}
	j := k.w.users.job(job)
	switch {
	case j == nil || num >= j.facts.Tasks:
		t.state, t.cause = agent.Ended, "no_such"
	case used+j.facts.CPUs > bigCPUs+1e-9:
		t.state, t.cause = agent.Ended, "no_room"
	}
	k.tasks[o.Task] = t
	k.changed = true
}

func (k *worker) handle(ctx *fasthttp.RequestCtx) {
	for { // what comes while the machine hangs is carried out when it goes on
		k.mu.Lock()
		hung, deaf := time.Until(k.hungUntil), time.Now().Before(k.deafUntil)
		late := k.lateCommands
		k.mu.Unlock()
		if deaf {
			k.w.sleep(2 * time.Second)
			ctx.SetConnectionClose()
			ctx.SetStatusCode(503)
			return
		}
		if hung > 0 {
			if !k.w.sleep(hung) {
				return
			}
			continue
		}
		if late > 0 && ctx.IsPost() && k.w.rng.chance(late) && !k.w.sleep(k.w.rng.between(2*time.Second, 8*time.Second)) {
			return
		}
		break
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone {
		ctx.SetConnectionClose()
		ctx.SetStatusCode(503)
		return
	}
	k.expire(time.Now())
	status := 200
	if ctx.IsPost() {
		var cmd agent.Command
		if json.Unmarshal(ctx.PostBody(), &cmd) != nil {
			ctx.SetStatusCode(400)
			return
		}
		if cmd.Token < k.token || cmd.Session != k.session {
			status = 409
		} else {
			k.raise(cmd.Token)
			k.obey(cmd.Orders)
		}
	}
	respond(ctx, answer{status, k.report()})
}

// remove takes the machine away with all that is on it.
func (k *worker) remove() {
	k.mu.Lock()
	if k.gone {
		k.mu.Unlock()
		return
	}
	k.gone = true
	k.dropAll()
	k.mu.Unlock()
	go func() { _ = k.server.Shutdown() }()
}

// reboot starts the machine again at once, with nothing on it and its counts begun anew.
func (k *worker) reboot() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropAll()
	k.session, k.seq, k.token = 1, 0, 0
	k.answered, k.changed = time.Now(), true
}

// trouble changes a fault of the machine.
func (k *worker) trouble(change func(k *worker)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k)
}
