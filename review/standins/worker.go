package main

import (
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker stands in for a machine and its worker, as PROTOCOL-frostdock.md describes it.
type worker struct {
	region *region
	name   string
	addr   string
	kind   machineType
	yard   string
	spot   bool

	mu       sync.Mutex
	removed  bool
	shift    uint64
	tally    uint64
	baton    uint64
	leaseAt  time.Time // when the last answered report was sent, or the session began
	tasks    map[attempt]*task
	images   map[string]time.Time // when each image is, or will be, on the machine
	node     int                  // the node that gets the next report
	nextAt   time.Time            // of the next periodic report, or the retry
	sentAt   time.Time
	heardAt  time.Time // when a report was last answered with 200
	inFlight bool
	changed  bool      // a change is to be reported
	batonAt  time.Time // when a higher token was last treated as a change
	recallAt time.Time // when the cloud takes the machine; zero: no notice

	// cutAt is when the machine loses the network; zero: it does not. From then on nothing that it sends
	// arrives, and nothing reaches it. Connections to it hang without an error.
	cutAt time.Time
	// answerHeld, if not nil, holds up the answer to a direct command that launches a task until it is closed,
	// but not for longer than maxHeld.
	answerHeld chan struct{}
	// onLaunch is called when an order launches a task; answer says that it came in the answer to a report.
	// The caller holds the lock.
	onLaunch func(piece string, answer bool)
}

// isCut reports whether the machine has no network now. The caller holds the lock.
func (w *worker) isCut() bool { return !w.cutAt.IsZero() && !time.Now().Before(w.cutAt) }

// notify gives the worker the cloud's notice.
func (w *worker) notify(left time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recallAt, w.changed = time.Now().Add(left), true
}

type attempt struct {
	piece string
	pass  uint64
}

type task struct {
	attempt
	stage  string
	cause  string
	kept   bool
	job    *jobFacts
	nextAt time.Time // when the stage ends
}

const (
	pulling  = "pulling"
	running  = "running"
	flushing = "flushing"
	ended    = "ended"
)

type pieceReport struct {
	Piece string `json:"piece"`
	Pass  uint64 `json:"pass"`
	Stage string `json:"stage"`
	Cause string `json:"cause,omitempty"`
	Kept  bool   `json:"kept,omitempty"`
}

type report struct {
	Bench    string        `json:"bench"`
	Endpoint string        `json:"endpoint"`
	Stock    string        `json:"stock"`
	Yard     string        `json:"yard"`
	Loaners  bool          `json:"loaners"`
	Shift    uint64        `json:"shift"`
	Tally    uint64        `json:"tally"`
	Baton    uint64        `json:"baton"`
	RecallS  *float64      `json:"recallS"`
	Pieces   []pieceReport `json:"pieces"`
}

type order struct {
	Order     string  `json:"order"`
	Piece     string  `json:"piece"`
	Pass      uint64  `json:"pass"`
	WinddownS float64 `json:"winddownS"`
}

func newWorker(r *region, name string, kind machineType, yard string, spot bool) (*worker, error) {
	w := &worker{
		region: r, name: name, kind: kind, yard: yard, spot: spot, shift: 1, leaseAt: time.Now(),
		tasks: map[attempt]*task{}, images: map[string]time.Time{}, node: rand.Intn(len(r.nodes)),
	}
	w.nextAt = time.Now().Add(time.Duration(rand.Float64() * float64(time.Second)))
	var err error
	if _, w.addr, err = serveOn(w.handle); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

func (w *worker) run() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.removed {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		w.checkLease(now)
		for _, t := range w.tasks {
			w.advance(t, now)
		}
		if !w.inFlight && (!now.Before(w.nextAt) || w.changed && now.Sub(w.sentAt) >= 500*time.Millisecond && !w.sentAt.IsZero()) {
			w.inFlight, w.changed, w.sentAt = true, false, now
			period := w.region.reportPeriod.Seconds() * (0.75 + 0.5*rand.Float64())
			w.nextAt = now.Add(time.Duration(period * float64(time.Second)))
			go w.send(w.report(), w.node, now)
		}
		w.mu.Unlock()
	}
}

// report returns the worker's report. The caller holds the lock.
func (w *worker) report() report {
	w.tally++
	r := report{
		Bench: w.name, Endpoint: w.addr, Stock: w.kind.Name, Yard: w.yard, Loaners: w.spot,
		Shift: w.shift, Tally: w.tally, Baton: w.baton, Pieces: []pieceReport{},
	}
	if !w.recallAt.IsZero() {
		left := max(0, time.Until(w.recallAt).Seconds())
		r.RecallS = &left
	}
	for _, t := range w.tasks {
		r.Pieces = append(r.Pieces, pieceReport{t.piece, t.pass, t.stage, t.cause, t.kept})
	}
	return r
}

func (w *worker) send(body report, node int, sentAt time.Time) {
	status, answer := noStatus, []byte(nil)
	w.mu.Lock()
	cut := w.isCut()
	w.mu.Unlock()
	if cut {
		time.Sleep(4 * time.Second)
	} else {
		status, _, answer = call(http.MethodPost, "http://"+w.region.nodes[node].publicAddr+"/v1/report", body, 4*time.Second)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.isCut() {
		status, answer = noStatus, nil
	}
	w.inFlight = false
	if w.removed {
		return
	}
	w.checkLease(now)
	var decoded struct {
		Baton   *uint64 `json:"baton"`
		Orders  []order `json:"orders"`
		Foreman string  `json:"foreman"`
	}
	if json.Unmarshal(answer, &decoded) != nil {
		decoded.Orders = nil
	}
	switch status {
	case http.StatusOK:
		if w.shift != body.Shift || decoded.Baton == nil || *decoded.Baton < w.baton {
			w.region.record.add("%s: answer to report %d.%d dropped", w.name, body.Shift, body.Tally)
			return
		}
		w.raise(*decoded.Baton, now)
		w.leaseAt, w.heardAt = sentAt, now
		w.execute(decoded.Orders, now, "answer of "+w.region.nodes[node].name)
	case http.StatusMisdirectedRequest:
		if other := w.region.nodeNamed(decoded.Foreman); other >= 0 && other != node {
			w.node, w.nextAt = other, now.Add(time.Duration(rand.Float64()*float64(500*time.Millisecond)))
			return
		}
		fallthrough
	default:
		w.node, w.nextAt, w.sentAt = (node+1)%len(w.region.nodes), now.Add(time.Second), now
	}
}

// raise notes a token. The caller holds the lock.
func (w *worker) raise(baton uint64, now time.Time) {
	if baton > w.baton {
		w.baton = baton
		if now.Sub(w.batonAt) > w.region.lease/2 {
			w.batonAt, w.changed = now, true
		}
	}
}

// checkLease ends the session if the lease is over. The caller holds the lock.
func (w *worker) checkLease(now time.Time) {
	if now.Sub(w.leaseAt) <= w.region.lease {
		return
	}
	w.region.record.add("%s: lease of session %d ends with %d tasks", w.name, w.shift, len(w.tasks))
	w.dropTasks()
	w.shift++
	w.leaseAt, w.changed = now, true
}

func (w *worker) dropTasks() {
	for key, t := range w.tasks {
		w.end(t, "lost", false)
		delete(w.tasks, key)
	}
}

// end ends a task. The caller holds the lock.
func (w *worker) end(t *task, cause string, kept bool) {
	if t.stage == ended {
		return
	}
	if t.stage == running || t.stage == flushing {
		w.region.stopped(w.name, t.piece, t.pass, cause)
	}
	t.stage, t.cause, t.kept = ended, cause, kept
	w.changed = true
}

// advance moves a task to its next stage when that is due. The caller holds the lock.
func (w *worker) advance(t *task, now time.Time) {
	if t.stage == ended || t.nextAt.IsZero() || now.Before(t.nextAt) {
		return
	}
	switch t.stage {
	case pulling:
		if w.region.isCompleted(t.piece) {
			w.end(t, "done", false)
			return
		}
		t.stage, w.changed = running, true
		t.nextAt = time.Time{}
		if !t.job.daemon {
			t.nextAt = now.Add(t.job.runsOf(t.piece))
		}
		w.region.started(w, t.piece, t.pass)
	case running:
		w.region.completed(t.piece)
		w.end(t, "done", false)
	case flushing:
		w.end(t, "halted", true)
	}
}

// execute carries out orders. The caller holds the lock.
func (w *worker) execute(orders []order, now time.Time, from string) {
	for _, o := range orders {
		key := attempt{o.Piece, o.Pass}
		t := w.tasks[key]
		switch o.Order {
		case "launch":
			if t == nil {
				w.region.record.add("%s: launch %s pass %d (%s)", w.name, o.Piece, o.Pass, from)
				w.launch(key, now)
				if w.onLaunch != nil {
					w.onLaunch(o.Piece, from != "command")
				}
			}
		case "kill":
			if t == nil || t.stage == ended {
				break
			}
			w.region.record.add("%s: kill %s pass %d winddown %g (%s)", w.name, o.Piece, o.Pass, o.WinddownS, from)
			switch {
			case t.stage == running && t.job.stackS > 0 && o.WinddownS >= t.job.stowS && o.WinddownS > 0:
				t.stage, w.changed = flushing, true
				t.nextAt = now.Add(time.Duration(t.job.stowS * float64(time.Second)))
			case t.stage == flushing && o.WinddownS > 0: // it goes on saving
			default:
				w.end(t, "halted", false)
			}
		case "reap":
			if t != nil && t.stage == ended {
				delete(w.tasks, key)
				w.changed = true
			}
		}
	}
}

func (w *worker) launch(key attempt, now time.Time) {
	t := &task{attempt: key, stage: pulling, job: w.region.jobOf(key.piece)}
	w.tasks[key] = t
	w.changed = true
	used, memory := 0.0, 0.0
	for other, o := range w.tasks {
		if other == key || o.stage == ended {
			continue
		}
		if other.piece == key.piece {
			t.stage, t.cause = ended, "busy"
			return
		}
		used += o.job.cpus
		memory += o.job.memoryGB
	}
	if t.job == nil {
		t.stage, t.cause = ended, "no_such"
		return
	}
	if used+t.job.cpus > w.kind.CPUs+1e-9 || memory+t.job.memoryGB > w.kind.MemoryGB+1e-9 {
		t.stage, t.cause = ended, "no_room"
		return
	}
	ready, ok := w.images[t.job.image]
	if !ok {
		ready = now.Add(time.Duration(t.job.imageGB / w.kind.FetchGBPerS * float64(time.Second)))
		w.images[t.job.image] = ready
	}
	t.nextAt = ready
	if ready.Before(now) {
		t.nextAt = now
	}
}

// handle serves /commands and /inspect.
func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer, held := w.serve(r, body)
	if status == noStatus { // the machine is silent, or gone
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if held != nil {
		select {
		case <-held:
		case <-time.After(maxHeld):
		}
	}
	reply(rw, status, answer)
}

// maxHeld is how long an answer to a direct command is held up at most.
const maxHeld = 5 * time.Second

// serve carries out a request to the machine. If held is not nil, the answer is held up until it is closed.
func (w *worker) serve(r *http.Request, body []byte) (status int, answer any, held chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed || w.isCut() {
		return noStatus, nil, nil
	}
	now := time.Now()
	w.checkLease(now)
	status = http.StatusOK
	switch {
	case r.URL.Path == "/inspect" && r.Method == http.MethodGet:
	case r.URL.Path == "/commands" && r.Method == http.MethodPost:
		var request struct {
			Baton  *uint64 `json:"baton"`
			Shift  *uint64 `json:"shift"`
			Orders []order `json:"orders"`
		}
		if json.Unmarshal(body, &request) != nil || request.Baton == nil || request.Shift == nil {
			return http.StatusBadRequest, nil, nil
		}
		for _, o := range request.Orders {
			if o.Order == "launch" {
				held = w.answerHeld
			}
		}
		if *request.Baton < w.baton || *request.Shift != w.shift {
			status = http.StatusConflict
			break
		}
		w.raise(*request.Baton, now)
		w.execute(request.Orders, now, "command")
	default:
		return http.StatusNotFound, nil, nil
	}
	return status, w.report(), held
}

// remove takes the machine away with everything on it.
func (w *worker) remove() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed = true
	w.dropTasks()
}

// count returns how many tasks hold their image.
func (w *worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.tasks {
		if t.stage == running || t.stage == flushing {
			n++
		}
	}
	return n
}

func jobIDOf(piece string) string {
	id, _, _ := strings.Cut(piece, "/")
	return id
}

func (w *worker) isRemoved() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.removed
}
