package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() {
	cases["1"] = caseRun{rule: "ran_twice", setup: ledgerDeployment, run: fullMachine}
}

// ledgerDeployment is the ledger deployment of the brief in small: its settings, its machine type thulo-64,
// the guest team of the operations page, and the limits that the state service is going to have by the
// page on chains.
func ledgerDeployment() (*deployment, []machineType) {
	d := &deployment{
		zones: []string{"butwal-mill", "kathmandu-office"}, nodeZones: []string{"butwal-mill", "kathmandu-office", "kathmandu-office"},
		teams:   []team{{"yard-team", 168, 552}, {"sales-team", 112, 368}, {"kiln-team", 144, 456}, {"van-anusandhan", 0, 0}},
		reportS: 3, leaseS: 42, cancelS: 62,
		state: storeLimits{200, 40, 16, 32}, next: &storeLimits{200, 28, 2, 10},
		cloudRPS: 10, listLagS: 8, cpuShare: 0.48, memoryMB: 451, sockets: 5000, clockOffMs: 5,
	}
	return d, []machineType{{
		Name: "thulo-64", CPUs: 64, MemoryGB: 512, LocalGB: 80, FetchGBPerS: 0.25, Rate: 3.67, MarketPrice: 1.29, BootS: 25,
		Yards: []string{"kathmandu-office"},
	}}
}

// seedLotCheck is a job of the guest team's class seed-lot-checks.
func seedLotCheck(id string) submission {
	return submission{
		UID: id, Lot: "seed-lot-checks", Crew: "van-anusandhan", Cut: "array", Grade: "best_effort", Pieces: 1,
		CPUs: 0.25, MemoryGB: 0.9, Pattern: "img-seed", SizeGB: 0.5, Loaners: true, SawS: 150,
	}
}

// fullMachine fills a machine with tasks of one-task jobs. Then all controllers crash and come back, while
// the workers' leases still run.
func fullMachine(w *world) error {
	const jobs = 200
	var machines []*worker
	for number := 1; number <= 2; number++ {
		m, err := w.addMachine(number, "thulo-64", "kathmandu-office", false)
		if err != nil {
			return err
		}
		machines = append(machines, m)
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	for _, number := range rand.Perm(1000000)[:jobs] {
		group.Add(1)
		go func() {
			defer group.Done()
			w.users.submit(seedLotCheck(fmt.Sprintf("j-%06d", number)), 150*time.Second)
		}()
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	w.record.say("%d jobs submitted", jobs)
	time.Sleep(20 * time.Second)
	w.record.say("running: %d and %d", machines[0].count(), machines[1].count())
	if w.trouble {
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(5 * time.Second)
		for _, n := range w.nodes {
			if err := n.start(); err != nil {
				return err
			}
		}
		if err := w.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(25 * time.Second)
	w.record.say("running: %d and %d", machines[0].count(), machines[1].count())
	return nil
}
