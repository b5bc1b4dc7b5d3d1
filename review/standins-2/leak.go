package main

import (
	"fmt"
	"time"
)

func init() { cases["leak"] = leak }

// leak: a job is cancelled when some of its tasks are done and others run; the team's next job waits for its limit.
func leak() {
	ledger()
	w := newWorld("leak", 3, []team{{"yard-team", 0, 24}}, ledgerTypes())
	w.cloud.add("majhaula-16", zones[0], false, 2)
	w.startNodes()
	w.awaitReady()
	w.await(20*time.Second, "all machines are heard", func() bool {
		for _, b := range w.cloud.all() {
			if !b.commanded() {
				return false
			}
		}
		return true
	})
	// The deployment's users cancel 3 % of these jobs; so 39 jobs that nobody cancels come first.
	for i := range 39 {
		small := array(fmt.Sprintf("j-%06d", 100+i), "yard-team", 1, 2, 0.2)
		small.Lot, small.Loaners = "price-sheet", false
		go w.submit(i, small)
	}
	w.await(40*time.Second, "the first 39 jobs are done", func() bool {
		for i := range 39 {
			if w.check.doneCount(fmt.Sprintf("j-%06d", 100+i)) == 0 {
				return false
			}
		}
		return w.poll(0, "j-000138").Stage == "done"
	})
	time.Sleep(3 * time.Second)
	first := array("j-000001", "yard-team", 12, 2, 20)
	first.Lot, first.Loaners = "price-sheet", false
	first.runOf = func(n int) float64 {
		if n < 8 {
			return 3
		}
		return 25
	}
	if !w.submit(0, first) {
		w.unable("the first job is not accepted")
	}
	w.await(20*time.Second, "all 12 tasks are on machines", func() bool { return len(w.check.running(first.UID)) == 12 })
	second := array("j-000002", "yard-team", 1, 16, 3)
	second.Lot, second.Loaners = "price-sheet", false
	if !w.submit(1, second) {
		w.unable("the second job is not accepted")
	}
	w.await(20*time.Second, "the short tasks are done", func() bool { return w.check.doneCount(first.UID) == 8 })
	time.Sleep(2 * time.Second)
	if w.trouble {
		if w.abort(2, first.UID) != "cancelled" {
			w.unable("the job is not cancelled")
		}
	}
	since := time.Now()
	for w.elapsed() < 114*time.Second {
		time.Sleep(2 * time.Second)
		got := w.poll(0, second.UID)
		w.note("on machines: %v %v", w.check.running(first.UID), w.check.running(second.UID))
		if got.Stage == "done" {
			w.finish()
		}
	}
	if w.check.startCount(second.UID) == 0 {
		w.check.report("an accepted job does not run: %.0f s after the only other job of its team was cancelled, and all its tasks were gone, it is not started", time.Since(since).Seconds())
	}
	w.finish()
}
