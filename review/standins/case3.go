package main

import (
	"fmt"
	"time"
)

func init() {
	cases["3"] = caseRun{rule: "left_waiting", setup: limitedDeployment, run: cancelWithDoneTasks}
}

// limitedDeployment is the ledger deployment of the brief in small: its teams have limits of a few CPUs.
func limitedDeployment() (*deployment, []machineType) {
	d, types := spotDeployment()
	d.teams = []team{{"yard-team", 8, 16}, {"sales-team", 8, 16}, {"kiln-team", 8, 8}}
	return d, types
}

// waitsAtMost is the page's bound for a job that waits while a machine that fits has room and its team is
// under its limit.
const waitsAtMost = 90 * time.Second

// cancelWithDoneTasks has a user cancel an array whose tasks have ended but for the last one. Another job of
// the team waits for the team's limit.
func cancelWithDoneTasks(w *world) error {
	var machines []*worker
	for number := 1; number <= 5; number++ {
		m, err := w.addMachine(number, "majhaula-16", []string{"butwal-mill", "kathmandu-office"}[number%2], false)
		if err != nil {
			return err
		}
		machines = append(machines, m)
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the machines are entered
	array := submission{
		UID: "j-318802", Lot: "moisture-log", Crew: "kiln-team", Cut: "array", Grade: "best_effort", Pieces: 8,
		CPUs: 1, MemoryGB: 9, Pattern: "img-log", SizeGB: 0.1, SawS: 50,
	}
	const last = "j-318802/7" // 7 of the tasks fill the memory of a machine; this one is on another
	if !w.users.submitWith(array, func(piece string) time.Duration {
		if piece == last {
			return 100 * time.Second
		}
		return 4 * time.Second
	}) {
		return fmt.Errorf("%w: the array is not accepted", errNotRun)
	}
	if !waitFor(10*time.Second, func() bool { return w.usage(array.UID) == 8 }) {
		return fmt.Errorf("%w: the array does not run", errNotRun)
	}
	waiting := array
	waiting.UID, waiting.Pieces, waiting.CPUs, waiting.MemoryGB = "j-700451", 1, 2, 4.7
	if !w.users.submit(waiting, 20*time.Second) {
		return fmt.Errorf("%w: the second job is not accepted", errNotRun)
	}
	if !waitFor(10*time.Second, func() bool { return w.usage(array.UID) == 1 }) {
		return fmt.Errorf("%w: the array's tasks do not end", errNotRun)
	}
	time.Sleep(700 * time.Millisecond) // the workers report it
	since := time.Now()
	if w.trouble {
		if told := w.users.abort(array.UID); told != "cancelled" {
			return fmt.Errorf("%w: the user is told %q", errNotRun, told)
		}
		since = time.Now()
		w.record.say("the user is told that the array is cancelled")
		if !waitFor(10*time.Second, func() bool { return w.usage(array.UID) == 0 }) {
			return fmt.Errorf("%w: the cancelled array's last task goes on", errNotRun)
		}
	}
	started := func() bool { return w.usage(waiting.UID) > 0 || w.isCompleted(waiting.UID+"/0") }
	next := time.Now()
	for time.Since(since) < waitsAtMost+time.Second && !started() {
		if time.Now().After(next) {
			w.users.poll(w.users.healthy()[0], waiting.UID)
			next = next.Add(5 * time.Second)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if started() {
		w.record.say("%s starts after %.1f s", waiting.UID, time.Since(since).Seconds())
		return nil
	}
	for _, m := range machines {
		w.record.say("%s: removed %v, %d tasks on it", m.name, m.isRemoved(), m.count())
	}
	for _, m := range machines {
		if !m.isRemoved() && m.count() == 0 {
			w.breaksRule("left_waiting", "%s has waited for %.0f s while %s is up and empty and its team uses %g of %g CPUs",
				waiting.UID, time.Since(since).Seconds(), m.name, w.usage(array.UID)+w.usage(waiting.UID), 8.0)
			return nil
		}
	}
	return fmt.Errorf("%w: no machine has room", errNotRun)
}
