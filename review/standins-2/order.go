package main

import (
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["order"] = newestFirst }

// newestFirst: a task is placed on another leader's machine, fails there at once and is released before its job's leader has heard
// of either.
func newestFirst() {
	types := mapTypes()
	types[0].spare, types[1].spare = 0, 0
	w := newWorld("order", 3, []team{{"equipo-cartas", 0, 0}, {"equipo-kiosco", 0, 0}}, types)
	w.store.newestFirst = os.Getenv("ORDER") != "oldest" // ORDER=oldest is for comparison only
	ladera := w.cloud.add("ladera-16", zones[0], false, 1)[0]
	cumbre := w.cloud.add("cumbre-64", zones[0], false, 1)[0]
	w.startNodes()
	w.awaitReady()
	w.await(30*time.Second, "the two machines report to different controllers", func() bool {
		return ladera.commanded() && cumbre.commanded() && ladera.answeredBy() != cumbre.answeredBy()
	})
	time.Sleep(5 * time.Second)
	warm := array("j-000001", "equipo-cartas", 1, 2, 0.5) // brings the image
	warm.Stocks = []string{"cumbre-64"}
	w.submit(0, warm)
	w.await(20*time.Second, "the first job is done", func() bool {
		time.Sleep(500 * time.Millisecond)
		return w.poll(0, warm.UID).Stage == "done"
	})
	time.Sleep(2 * time.Second)

	leader := ladera.answeredBy() // of the team's partition
	w.note("the jobs of the team are placed by %s, cumbre-64 is commanded by %s", w.nodes[leader].member, w.nodes[cumbre.answeredBy()].member)
	if w.trouble {
		cumbre.setSick(true)
	}
	var slow atomic.Bool
	slow.Store(true)
	w.store.lateWatches = func(node int) time.Duration {
		if node == leader && slow.Load() {
			return 300 * time.Millisecond
		}
		return 0
	}
	w.store.setHook(func(node int, r *http.Request, _ []byte) action {
		if node == leader && slow.Load() && strings.HasPrefix(r.URL.Path, "/txn") {
			return action{delay: 600 * time.Millisecond}
		}
		return action{}
	})
	j := array("j-000002", "equipo-cartas", 4, 2, 2)
	j.Stocks = []string{"cumbre-64"}
	w.submit((leader+1)%3, j)
	time.Sleep(2500 * time.Millisecond)
	slow.Store(false)
	time.Sleep(7 * time.Second)
	if w.trouble {
		cumbre.setSick(false)
	}
	starts, since, other := w.check.startCount(j.UID), time.Now(), false
	for w.elapsed() < 114*time.Second {
		time.Sleep(2 * time.Second)
		if w.poll(0, j.UID).Stage == "done" {
			w.finish()
		}
		if now := w.check.startCount(j.UID); now > starts || len(w.check.running(j.UID)) > 0 {
			starts, since = now, time.Now()
		}
		if !other && time.Since(since) > 30*time.Second {
			other = true
			next := array("j-000003", "equipo-cartas", 4, 2, 2)
			next.Stocks = j.Stocks
			w.submit(0, next)
			w.await(40*time.Second, "a later job of the same kind is done", func() bool {
				time.Sleep(500 * time.Millisecond)
				return w.poll(0, next.UID).Stage == "done"
			})
		}
	}
	if idle := time.Since(since); idle > 60*time.Second {
		w.check.report("an accepted job does not run: none of its %d tasks was started in the last %.0f s, none is on a machine, %d are done", j.Pieces, idle.Seconds(), w.check.doneCount(j.UID))
	}
	w.finish()
}
