package main

import "time"

func init() { cases["gaps"] = gaps }

// gaps: an array of small tasks, of which every third runs longer; two machines die while these run.
func gaps() {
	types := mapTypes()
	types[0].spare, types[1].spare = 0, 0
	w := newWorld("gaps", 3, []team{{"equipo-cartas", 0, 0}, {"equipo-kiosco", 0, 0}}, types)
	w.cloud.add("ladera-16", zones[0], false, 4)
	big := w.cloud.add("cumbre-64", zones[0], false, 2)
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
	j := array("j-000001", "equipo-cartas", 3200, 0.08, 10)
	j.MemoryGB = 0.1
	j.runOf = func(n int) float64 {
		if n%3 == 2 {
			return 20
		}
		return 2
	}
	if !w.submit(0, j) {
		w.unable("the job is not accepted")
	}
	w.await(20*time.Second, "the short tasks on the machines are done", func() bool { return w.check.doneCount(j.UID) >= 1590 })
	time.Sleep(time.Second)
	if w.trouble {
		for _, b := range big {
			b.die()
		}
	}
	// From here on the four machines of 16 CPUs are up, and no further disruption comes. The job's last tasks there end
	// about 20 s later.
	idleSince, other := time.Now(), false
	starts := w.check.startCount(j.UID)
	for w.elapsed() < 114*time.Second {
		time.Sleep(2 * time.Second)
		got := w.poll(0, j.UID)
		running := len(w.check.running(j.UID))
		w.note("%s: %d of %d done, %d on machines, %d starts so far", j.UID, w.check.doneCount(j.UID), j.Pieces, running, w.check.startCount(j.UID))
		if got.Stage == "done" {
			w.finish()
		}
		if now := w.check.startCount(j.UID); running > 0 || now > starts {
			idleSince, starts = time.Now(), now
		}
		if !other && time.Since(idleSince) > 20*time.Second {
			other = true
			next := array("j-000002", "equipo-cartas", 16, 0.08, 2)
			next.MemoryGB = 0.1
			w.submit(1, next)
			w.await(30*time.Second, "a later job of the same kind is done", func() bool { return w.poll(1, next.UID).Stage == "done" })
			w.note("a later job was started and done meanwhile")
		}
	}
	if idle := time.Since(idleSince); idle > 60*time.Second {
		w.check.report("an accepted job does not run: for the last %.0f s none of its %d open tasks was started, while 4 machines stand idle", idle.Seconds(), j.Pieces-w.check.doneCount(j.UID))
	}
	w.finish()
}
