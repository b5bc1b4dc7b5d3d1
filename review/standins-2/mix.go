package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["mix"] = mix }

func mix() {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	_ = seed
	w := newWorld("mix", 3, []team{{"equipo-cartas", 0, 40}, {"equipo-kiosco", 0, 24}}, mapTypes())
	for _, t := range w.cloud.types {
		t.BootS = 6
	}
	w.cloud.add("ladera-16", zones[0], false, 5)
	w.cloud.add("ladera-16", zones[0], true, 2)
	w.startNodes()
	w.awaitReady()
	stop := time.Now().Add(70 * time.Second)
	var jobs []*jobSpec
	var mu sync.Mutex
	for i := range 40 {
		j := array(fmt.Sprintf("j-%06d", i), w.teams[w.rnd(2)].name, 1+w.rnd(14), []float64{1, 2, 4}[w.rnd(3)], 1+float64(w.rnd(12)))
		if w.rnd(4) == 0 {
			j = service(j.UID, j.Crew, 1+w.rnd(2), 2)
		}
		j.Grade = []string{"standard", "best_effort", "urgent", "production"}[w.rnd(4)]
		j.Pattern, j.SizeGB = fmt.Sprintf("img-%d", w.rnd(3)), 0.1+float64(w.rnd(10))/10
		j.Loaners = w.rnd(2) == 0
		if w.rnd(3) == 0 {
			j.StackS, j.StowS = 2, 1+float64(w.rnd(4))
		}
		go func() {
			time.Sleep(time.Duration(w.rnd(45000)) * time.Millisecond)
			if !w.submit(w.rnd(3), j) {
				return
			}
			mu.Lock()
			jobs = append(jobs, j)
			mu.Unlock()
			last := "pending"
			check := func(got answer) {
				if got.status == 404 {
					w.check.report("forgotten: %s gets 404", j.UID)
				}
				if got.status == 200 {
					if (last == "done" || last == "cancelled") && got.Stage != last {
						w.check.report("went_back: %s was %s and is %s", j.UID, last, got.Stage)
					}
					last = got.Stage
					if last == "done" && w.check.doneCount(j.UID) < j.Pieces {
						w.check.report("not_done: %s", j.UID)
					}
				}
			}
			if w.rnd(3) == 0 || j.Cut == "daemon" {
				go func() {
					time.Sleep(time.Duration(1000+w.rnd(25000)) * time.Millisecond)
					if stage := w.abort(w.rnd(3), j.UID); stage != "" {
						check(answer{status: 200, Stage: stage})
					}
				}()
			}
			for {
				time.Sleep(time.Duration(2000+w.rnd(2000)) * time.Millisecond)
				check(w.poll(w.rnd(3), j.UID))
			}
		}()
	}
	for time.Now().Before(stop.Add(-15 * time.Second)) {
		time.Sleep(time.Duration(w.rnd(6000)) * time.Millisecond)
		length := time.Duration(500+w.rnd(12000)) * time.Millisecond
		n := w.nodes[w.rnd(3)]
		benches := w.cloud.all()
		b := benches[w.rnd(len(benches))]
		kind := w.rnd(13)
		w.note("fault %d for %v on %s %s", kind, length, n.member, b.name)
		down := time.Duration(200+w.rnd(800)) * time.Millisecond
		if w.rnd(2) == 0 {
			down = 6 * time.Second
		}
		switch kind {
		case 0, 1:
			n.crash(down)
		case 2:
			for _, n := range w.nodes {
				n.crash(down + time.Duration(w.rnd(1000))*time.Millisecond)
			}
		case 3:
			w.store.setRefused(n.index, true)
			time.AfterFunc(length, func() { w.store.setRefused(n.index, false) })
		case 4:
			w.store.setOutage(true)
			time.AfterFunc(length, func() { w.store.setOutage(false) })
		case 5, 6:
			w.store.setHook(func(node int, r *http.Request, body []byte) action {
				if node != n.index && kind == 5 {
					return action{}
				}
				if strings.HasPrefix(r.URL.Path, "/changes") || w.rnd(3) > 0 {
					return action{}
				}
				switch w.rnd(4) {
				case 0:
					return action{noAnswer: true}
				case 1:
					return action{applyWait: time.Duration(w.rnd(9000)) * time.Millisecond}
				case 2:
					return action{delay: time.Duration(w.rnd(900)) * time.Millisecond}
				}
				return action{lost: true}
			})
			time.AfterFunc(length, func() { w.store.setHook(nil) })
		case 7, 8:
			b.hang(min(length, 10*time.Second))
		case 9:
			b.onCommand = func([]byte) time.Duration { return time.Duration(w.rnd(9000)) * time.Millisecond }
			time.AfterFunc(length, func() { b.onCommand = nil })
		case 10:
			b.onReport = func(int) reportAction {
				return []reportAction{{lost: true}, {answerLost: true}, {wait: time.Duration(4000+w.rnd(20000)) * time.Millisecond}}[w.rnd(3)]
			}
			time.AfterFunc(length, func() { b.onReport = nil })
		case 11:
			n.signal(syscall.SIGSTOP)
			time.AfterFunc(min(length, 8*time.Second), func() { n.signal(syscall.SIGCONT) })
		case 12:
			b.mu.Lock()
			b.sick = true
			b.mu.Unlock()
			time.AfterFunc(length, func() { b.mu.Lock(); b.sick = false; b.mu.Unlock() })
		}
	}
	time.Sleep(13 * time.Second)
	w.note("faults are over")
	w.check.quiet = false
	settled := func() bool {
		mu.Lock()
		defer mu.Unlock()
		for _, j := range jobs {
			w.check.mu.Lock()
			_, cancelled := w.check.cancelled[j.UID]
			w.check.mu.Unlock()
			if j.Cut == "array" && !cancelled && w.check.doneCount(j.UID) < j.Pieces {
				return false
			}
			if j.Cut == "daemon" && !cancelled && len(w.check.running(j.UID)) < j.Pieces {
				return false
			}
		}
		return true
	}
	if !w.within(28*time.Second, settled) {
		mu.Lock()
		for _, j := range jobs {
			w.note("left: %s %s done %d on %v of %d", j.UID, j.Cut, w.check.doneCount(j.UID), w.check.running(j.UID), j.Pieces)
		}
		mu.Unlock()
		fmt.Println("not settled")
		w.check.report("not settled")
	}
	w.finish()
}
