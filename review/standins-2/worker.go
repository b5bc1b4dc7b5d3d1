package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type piece struct {
	Piece string `json:"piece"`
	Pass  uint64 `json:"pass"`
	Stage string `json:"stage"`
	Cause string `json:"cause,omitempty"`
	Kept  bool   `json:"kept,omitempty"`

	due    time.Time // next change of its state
	onside bool      // counted as on the machine
}

type report struct {
	Bench    string   `json:"bench"`
	Endpoint string   `json:"endpoint"`
	Stock    string   `json:"stock"`
	Yard     string   `json:"yard"`
	Loaners  bool     `json:"loaners"`
	Shift    uint64   `json:"shift"`
	Tally    uint64   `json:"tally"`
	Baton    uint64   `json:"baton"`
	RecallS  *float64 `json:"recallS"`
	Pieces   []piece  `json:"pieces"`
}

type order struct {
	Order     string  `json:"order"`
	Piece     string  `json:"piece"`
	Pass      uint64  `json:"pass"`
	WinddownS float64 `json:"winddownS"`
}

type orders struct {
	Baton  *uint64 `json:"baton"`
	Shift  *uint64 `json:"shift"`
	Orders []order `json:"orders"`
}

// reportAction is what the network does with a report.
type reportAction struct {
	lost       bool          // the report does not arrive
	answerLost bool          // its answer does not arrive
	wait       time.Duration // it arrives after this time
}

// bench stands in for a machine with its worker.
type bench struct {
	w        *world
	name     string
	endpoint string
	stock    *machineType
	yard     string
	loaners  bool
	stage    string // in the cloud's list
	hired    time.Time

	mu      sync.Mutex
	up      bool
	gone    bool
	shift   uint64
	tally   uint64
	baton   uint64
	renewed time.Time // when the last answered report was sent
	pieces  map[string]*piece
	images  map[string]time.Time // when the image is complete
	node    int
	next    time.Time
	changed bool
	tokenAt time.Time
	lastRep time.Time
	recall  time.Time
	hung    time.Time // until when it hangs
	sick    bool      // fails every task

	// Faults of the network; called without the lock. nil: none.
	onReport  func(node int) reportAction
	onCommand func(body []byte) time.Duration // negative: lost
}

func newBench(w *world, name string, stock *machineType, yard string, loaners bool) *bench {
	b := &bench{w: w, name: name, stock: stock, yard: yard, loaners: loaners, pieces: map[string]*piece{}, images: map[string]time.Time{}, shift: 1}
	b.endpoint = w.listen(b.serve)
	return b
}

func (b *bench) start() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.up, b.renewed, b.next = true, time.Now(), time.Now().Add(time.Duration(b.w.rnd(1000))*time.Millisecond)
	b.node = b.w.rnd(b.w.nodeCount)
	go b.run()
	go b.reports()
}

func (b *bench) remove() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gone = true
	b.drop()
}

// die stops the machine with all that is on it. The cloud lists it as running for 30 s more.
func (b *bench) die() {
	b.w.note("%s dies", b.name)
	b.remove()
	go func() {
		time.Sleep(30 * time.Second)
		b.w.cloud.mu.Lock()
		defer b.w.cloud.mu.Unlock()
		b.stage = "failed"
	}()
}

// answeredBy returns the node that the worker reports to.
func (b *bench) answeredBy() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.node
}

// setSick makes the machine fail every task that it starts.
func (b *bench) setSick(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sick = on
	b.w.note("%s fails every task: %v", b.name, on)
}

// commanded reports whether a controller has answered the worker.
func (b *bench) commanded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.baton > 0
}

func (b *bench) drop() {
	for key, p := range b.pieces {
		b.leave(p)
		delete(b.pieces, key)
	}
}

func (b *bench) leave(p *piece) {
	if p.onside {
		p.onside = false
		b.w.check.stopped(b, p.Piece)
	}
}

func (b *bench) end(p *piece, cause string) {
	b.leave(p)
	p.Stage, p.Cause, b.changed = "ended", cause, true
}

// hang stops the worker and its tasks for a time.
func (b *bench) hang(length time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hung = time.Now().Add(length)
	for _, p := range b.pieces {
		p.due = p.due.Add(length)
	}
	for image := range b.images {
		b.images[image] = b.images[image].Add(length)
	}
	b.w.note("%s hangs for %v", b.name, length)
}

func (b *bench) isHung() bool { return time.Now().Before(b.hung) }

func (b *bench) checkLease() {
	if time.Since(b.renewed).Seconds() > leaseS {
		if len(b.pieces) > 0 {
			b.w.note("%s: lease of shift %d ends with %d pieces", b.name, b.shift, len(b.pieces))
		}
		b.drop()
		b.shift++
		b.renewed, b.changed = time.Now(), true
	}
}

func (b *bench) run() {
	for {
		time.Sleep(10 * time.Millisecond)
		b.mu.Lock()
		if b.gone {
			b.mu.Unlock()
			return
		}
		if !b.isHung() {
			b.checkLease()
			now := time.Now()
			for _, p := range b.pieces {
				b.advance(p, now)
			}
		}
		b.mu.Unlock()
	}
}

func jobOf(task string) (string, int) {
	id, number, _ := strings.Cut(task, "/")
	n, _ := strconv.Atoi(number)
	return id, n
}

func (b *bench) advance(p *piece, now time.Time) {
	id, n := jobOf(p.Piece)
	j := b.w.check.spec(id)
	switch p.Stage {
	case "pulling":
		if ready := b.images[j.Pattern]; now.Before(ready) {
			return
		}
		p.Stage, p.onside, b.changed = "running", true, true
		b.w.check.started(b, p.Piece, p.Pass)
		p.due = now.Add(time.Duration(j.runS(n) * float64(time.Second)))
		if b.w.check.isDone(p.Piece) {
			p.due = now
		}
		if b.sick || j.broken {
			p.due = now.Add(300 * time.Millisecond)
		}
	case "running":
		switch {
		case now.Before(p.due):
		case b.sick || j.broken:
			b.end(p, "error")
		case j.Cut == "array":
			b.w.check.completed(p.Piece)
			b.end(p, "done")
		}
	case "flushing":
		if !now.Before(p.due) {
			p.Kept = true
			b.end(p, "halted")
		}
	}
}

func (b *bench) execute(list []order) {
	for _, o := range list {
		key := o.Piece + "~" + strconv.FormatUint(o.Pass, 10)
		p := b.pieces[key]
		switch o.Order {
		case "launch":
			if p == nil {
				b.launch(o, key)
			}
		case "kill":
			if p == nil || p.Stage == "ended" {
				continue
			}
			id, _ := jobOf(p.Piece)
			j := b.w.check.spec(id)
			if p.Stage == "running" && j.StackS > 0 && o.WinddownS >= j.StowS {
				p.Stage, p.due, b.changed = "flushing", time.Now().Add(time.Duration(j.StowS*float64(time.Second))), true
				continue
			}
			if p.Stage == "flushing" && o.WinddownS > 0 {
				continue
			}
			b.end(p, "halted")
		case "reap":
			if p != nil && p.Stage == "ended" {
				delete(b.pieces, key)
				b.changed = true
			}
		}
	}
}

func (b *bench) launch(o order, key string) {
	id, n := jobOf(o.Piece)
	p := &piece{Piece: o.Piece, Pass: o.Pass, Stage: "pulling"}
	b.w.check.launched(b, o)
	b.changed = true
	j := b.w.check.spec(id)
	refuse := func(cause string) { p.Stage, p.Cause = "ended", cause }
	cpus, memory := 0.0, 0.0
	for _, other := range b.pieces {
		if other.Stage == "ended" {
			continue
		}
		if other.Piece == o.Piece {
			refuse("busy")
		}
		otherID, _ := jobOf(other.Piece)
		if spec := b.w.check.spec(otherID); spec != nil {
			cpus, memory = cpus+spec.CPUs, memory+spec.MemoryGB
		}
	}
	switch {
	case j == nil || n >= j.Pieces:
		refuse("no_such")
	case cpus+j.CPUs > b.stock.CPUs+1e-9 || memory+j.MemoryGB > b.stock.MemoryGB+1e-9:
		refuse("no_room")
	}
	if j != nil && b.images[j.Pattern].IsZero() {
		b.images[j.Pattern] = time.Now().Add(time.Duration(j.SizeGB / b.stock.FetchGBPerS * float64(time.Second)))
	}
	b.pieces[key] = p
	if ready := b.images[j.Pattern]; b.sick && p.Stage == "pulling" && !time.Now().Before(ready) {
		b.end(p, "error") // the image is there, and the task fails as it starts
	}
}

// message returns the worker's report.
func (b *bench) message() report {
	b.tally++
	r := report{Bench: b.name, Endpoint: b.endpoint, Stock: b.stock.Name, Yard: b.yard, Loaners: b.loaners, Shift: b.shift, Tally: b.tally, Baton: b.baton, Pieces: []piece{}}
	if !b.recall.IsZero() {
		left := time.Until(b.recall).Seconds()
		r.RecallS = &left
	}
	for _, p := range b.pieces {
		r.Pieces = append(r.Pieces, *p)
	}
	sort.Slice(r.Pieces, func(i, j int) bool { return r.Pieces[i].Piece < r.Pieces[j].Piece })
	return r
}

func (b *bench) seeToken(token uint64) {
	if token > b.baton {
		b.baton = token
		if time.Since(b.tokenAt).Seconds() > leaseS/2 {
			b.changed, b.tokenAt = true, time.Now()
		}
	}
}

// serve answers a controller's direct request.
func (b *bench) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if b.onCommand != nil {
		wait := b.onCommand(body)
		if wait < 0 {
			hang(r)
			return
		}
		time.Sleep(wait)
	}
	for {
		b.mu.Lock()
		if b.gone || !b.up {
			b.mu.Unlock()
			hang(r)
			return
		}
		if !b.isHung() {
			break
		}
		b.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	defer b.mu.Unlock()
	b.checkLease()
	status := 200
	if r.Method == http.MethodPost && r.URL.Path == "/commands" {
		var request orders
		switch {
		case len(body) > 64<<10 || json.Unmarshal(body, &request) != nil || request.Baton == nil || request.Shift == nil:
			reply(rw, 400, map[string]string{"error": "malformed"})
			return
		case *request.Baton < b.baton || *request.Shift != b.shift:
			status = 409
		default:
			b.seeToken(*request.Baton)
			b.execute(request.Orders)
		}
	}
	reply(rw, status, b.message())
}

// reports sends the worker's reports, one at a time.
func (b *bench) reports() {
	client := &http.Client{Transport: &http.Transport{}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for {
		time.Sleep(10 * time.Millisecond)
		b.mu.Lock()
		if b.gone {
			b.mu.Unlock()
			return
		}
		now := time.Now()
		due := !now.Before(b.next) || b.changed && now.Sub(b.lastRep) >= 500*time.Millisecond
		if b.isHung() || !due {
			b.mu.Unlock()
			continue
		}
		b.checkLease()
		b.changed, b.lastRep = false, now
		b.next = now.Add(time.Duration(reportS * (0.75 + float64(b.w.rnd(500))/1000) * float64(time.Second)))
		message, node := b.message(), b.node
		b.mu.Unlock()
		b.send(client, message, node, now)
	}
}

func (b *bench) send(client *http.Client, message report, node int, sentAt time.Time) {
	var act reportAction
	if b.onReport != nil {
		act = b.onReport(node)
	}
	encoded, _ := json.Marshal(message)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	tryNext := func() {
		b.mu.Lock()
		b.node = (node + 1) % b.w.nodeCount
		b.next, b.changed = time.Now().Add(time.Second), false
		b.lastRep = time.Now().Add(500 * time.Millisecond)
		b.mu.Unlock()
	}
	if act.lost {
		<-ctx.Done()
		tryNext()
		return
	}
	if act.wait > 0 {
		go func() {
			time.Sleep(act.wait)
			b.copyOf(encoded, node)
		}()
		<-ctx.Done()
		tryNext()
		return
	}
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.w.nodes[node].workerAddr()+"/v1/report", bytes.NewReader(encoded))
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if err == nil && act.answerLost {
		<-ctx.Done()
		err = ctx.Err()
	}
	if err != nil {
		tryNext()
		return
	}
	switch response.StatusCode {
	case 200:
		for b.hungNow() {
			time.Sleep(10 * time.Millisecond)
		}
		var answer orders
		if time.Since(sentAt) > 4*time.Second || json.Unmarshal(body, &answer) != nil || len(body) > 64<<10 {
			tryNext()
			return
		}
		b.mu.Lock()
		if !b.gone && message.Shift == b.shift && answer.Baton != nil && *answer.Baton >= b.baton {
			b.seeToken(*answer.Baton)
			b.renewed = sentAt
			b.execute(answer.Orders)
		}
		b.mu.Unlock()
	case 421:
		var redirect struct{ Foreman string }
		_ = json.Unmarshal(body, &redirect)
		for i, n := range b.w.nodes {
			if n.member == redirect.Foreman && i != node {
				client.CloseIdleConnections()
				b.mu.Lock()
				b.node, b.next = i, time.Now()
				b.mu.Unlock()
				return
			}
		}
		tryNext()
	default:
		tryNext()
	}
}

func (b *bench) hungNow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isHung()
}

// copyOf delivers a report whose sender has given up.
func (b *bench) copyOf(encoded []byte, node int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.w.nodes[node].workerAddr()+"/v1/report", bytes.NewReader(encoded))
	if response, err := http.DefaultClient.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
