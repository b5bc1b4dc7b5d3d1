package main

import (
	"fmt"
	"time"
)

func init() {
	cases["2"] = caseRun{rule: "ran_twice", setup: spotDeployment, run: cutAfterLaunch}
}

// spotDeployment is the ledger deployment of the brief in small, with its machine type majhaula-16.
func spotDeployment() (*deployment, []machineType) {
	d, _ := ledgerDeployment()
	d.next = nil
	return d, []machineType{{
		Name: "majhaula-16", CPUs: 16, MemoryGB: 64, LocalGB: 50, FetchGBPerS: 1, Rate: 0.82, MarketPrice: 0.33, BootS: 15,
		Yards: []string{"butwal-mill", "kathmandu-office"},
	}}
}

// spotMachine is the number of the one spot machine. Its shard belongs to the partition of the first team.
const spotMachine = 3

// cutAfterLaunch has a task launched by the answer to a report that shows the cloud's notice. Right after
// that the machine loses the network.
func cutAfterLaunch(w *world) error {
	var spot *worker
	var others []*worker
	for number := 1; number <= 5; number++ {
		yard := []string{"butwal-mill", "kathmandu-office"}[number%2]
		m, err := w.addMachine(number, "majhaula-16", yard, number == spotMachine)
		if err != nil {
			return err
		}
		if number == spotMachine {
			spot = m
		} else {
			others = append(others, m)
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(8 * time.Second) // the machines are entered, and the controllers know each other

	array := submission{
		UID: "j-104720", Lot: "price-sheet", Crew: "yard-team", Cut: "array", Grade: "standard", Pieces: 1,
		CPUs: 4, MemoryGB: 9.4, Pattern: "img-sheet", SizeGB: 0.2, Loaners: true, SawS: 3,
	}
	if !w.users.submit(array, 2*time.Second) { // fetches the image
		return fmt.Errorf("%w: the first job is not accepted", errNotRun)
	}
	if !waitFor(15*time.Second, func() bool { return w.isCompleted("j-104720/0") }) {
		return fmt.Errorf("%w: the first job is not done", errNotRun)
	}
	time.Sleep(2 * time.Second)

	launched := make(chan struct{})
	second := array
	second.UID, second.SawS = "j-583311", 60
	held := make(chan struct{})
	spot.mu.Lock()
	if w.trouble {
		spot.answerHeld = held
	}
	spot.onLaunch = func(piece string, _ bool) {
		if piece == second.UID+"/0" {
			close(launched)
		}
	}
	spot.mu.Unlock()
	if !w.users.submit(second, 60*time.Second) {
		return fmt.Errorf("%w: the second job is not accepted", errNotRun)
	}
	select {
	case <-launched:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("%w: the second job is not launched on %s", errNotRun, spot.name)
	}
	// The worker reports this change. The service comes after that report.
	at := time.Now()
	if !waitFor(2*time.Second, func() bool {
		spot.mu.Lock()
		defer spot.mu.Unlock()
		return spot.heardAt.After(at) && !spot.inFlight && !spot.changed
	}) {
		return fmt.Errorf("%w: no report after the second job's launch", errNotRun)
	}
	service := submission{
		UID: "j-220154", Lot: "godam-ledger", Crew: "yard-team", Cut: "daemon", Grade: "production", Pieces: 1,
		CPUs: 2, MemoryGB: 4.4, Pattern: "img-sheet", SizeGB: 0.2, Loaners: true,
	}
	byAnswer := make(chan bool, 1)
	spot.mu.Lock()
	spot.onLaunch = func(piece string, answer bool) {
		if piece != service.UID+"/0" {
			return
		}
		byAnswer <- answer
		if w.trouble {
			close(held)
			spot.cutAt = time.Now().Add(100 * time.Millisecond)
			w.record.add("%s: loses the network in 100 ms", spot.name)
		}
	}
	spot.mu.Unlock()
	if !w.users.submit(service, 0) {
		return fmt.Errorf("%w: the service is not accepted", errNotRun)
	}
	time.Sleep(100 * time.Millisecond)
	spot.notify(15 * time.Second)
	w.record.say("%s has a notice: the cloud takes it in 15 s", spot.name)
	time.AfterFunc(15*time.Second, func() { w.cloud.remove([]string{spot.name}) })
	select {
	case answer := <-byAnswer:
		w.record.say("the service is launched on %s, by the answer to a report: %v", spot.name, answer)
		if w.trouble && !answer {
			return fmt.Errorf("%w: the service was launched by a command", errNotRun)
		}
	case <-time.After(5 * time.Second):
		return fmt.Errorf("%w: the service is not launched on %s", errNotRun, spot.name)
	}
	time.Sleep(16 * time.Second)
	for _, m := range append(others, spot) {
		w.record.say("%s: %d tasks", m.name, m.count())
	}
	return nil
}
