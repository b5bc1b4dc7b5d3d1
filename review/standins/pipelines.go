package main

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"
)

func init() {
	cases["pipelines"] = caseRun{rule: "forgotten", setup: pipelineDeployment, run: pipelines}
}

// pipelineDeployment is the ledger deployment of the fleet page with fewer machines.
func pipelineDeployment() (*deployment, []machineType) {
	d, types := ledgerDeployment()
	d.nodeZones = []string{"butwal-mill", "kathmandu-office", "kathmandu-office", "butwal-mill", "kathmandu-office"}
	d.state, d.next = storeLimits{150, 35, 16, 32}, nil
	d.cpuShare, d.memoryMB, d.sockets = 0.396, 441, 4084
	types[0].FetchGBPerS = 5
	return d, types
}

const (
	// pipelineCount is how many pipelines of two jobs each there are.
	pipelineCount = 470
	// minPipelines is how many of them must have their first job done and be running when the controllers crash.
	minPipelines = 455
	// crashAt is when the controllers crash at the latest, in seconds of the run.
	crashAt = 40.0
	// answeredWithin is the page's bound: a job about which no question is answered for so long after all
	// troubles are over counts as forgotten.
	answeredWithin = 75 * time.Second
)

// pipeline is two jobs; the second waits for the first.
type pipeline struct {
	first, second string
	ready         bool // its user was told that the first job is done
}

// pipelines submits pipelines of two jobs. When the first jobs are done and the second ones run, all
// controllers crash and come back. Then users ask about the second jobs.
func pipelines(w *world) error {
	for number := 1; number <= 10; number++ {
		if _, err := w.addMachine(number, "thulo-64", "kathmandu-office", false); err != nil {
			return err
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(1200 * time.Millisecond)
	// The numbers of the ids share job shards, so that the permitted changes let all jobs in within seconds.
	// With other ids the same takes longer than a run may.
	numbers := rand.Perm(40000)
	all := make([]*pipeline, pipelineCount)
	for i := range all {
		all[i] = &pipeline{first: fmt.Sprintf("j-%06d", 24*numbers[2*i]), second: fmt.Sprintf("j-%06d", 24*numbers[2*i+1]+1)}
	}
	var mu sync.Mutex
	ready := 0
	slots := make(chan struct{}, 200)
	for _, p := range all {
		go func() {
			slots <- struct{}{}
			accepted := w.submitPipeline(p)
			<-slots
			for accepted && w.record.seconds() < crashAt {
				time.Sleep(time.Duration(2+2*rand.Float64()) * time.Second)
				if _, told := w.users.poll(w.nodes[rand.Intn(len(w.nodes))], p.first); told.Stage == "done" {
					mu.Lock()
					p.ready = true
					ready++
					mu.Unlock()
					return
				}
			}
		}()
	}
	for w.record.seconds() < crashAt {
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		n := ready
		mu.Unlock()
		if n == pipelineCount {
			break
		}
	}
	mu.Lock()
	w.record.say("first jobs reported done: %d of %d", ready, pipelineCount)
	enough := ready >= minPipelines
	mu.Unlock()
	if !enough {
		return fmt.Errorf("%w: too few first jobs are done", errNotRun)
	}
	if w.trouble {
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, n := range w.nodes {
			if err := n.start(); err != nil {
				return err
			}
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	return w.askAll(all)
}

// submitPipeline submits the two jobs of a pipeline, the second as soon as the first is accepted.
func (w *world) submitPipeline(p *pipeline) bool {
	first := submission{
		UID: p.first, Lot: "log-scan", Crew: "yard-team", Cut: "array", Grade: "best_effort", Pieces: 1,
		CPUs: 1, MemoryGB: 3.2, Pattern: "img-scan", SizeGB: 1, Loaners: true, SawS: 2,
	}
	second := first
	second.UID, second.Lot, second.SawS, second.WaitsOn = p.second, "species-sort", 300, []string{p.first}
	return w.users.submit(first, 2*time.Second) && w.users.submit(second, 300*time.Second)
}

// askAll asks about the second jobs, each every 5 s or so at any node, until it is answered, and once more at
// the end of the time allowed.
func (w *world) askAll(all []*pipeline) error {
	over := time.Now()
	end := over.Add(answeredWithin + 500*time.Millisecond)
	var mu sync.Mutex
	var answered []time.Duration
	var silent []string
	var group sync.WaitGroup
	for _, p := range all {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(rand.Float64() * float64(5*time.Second)))
			questions := 0
			for last := false; !last; {
				last = !time.Now().Before(end)
				status, _ := w.users.poll(w.nodes[rand.Intn(len(w.nodes))], p.second)
				questions++
				if status == 200 || status == 404 {
					mu.Lock()
					answered = append(answered, time.Since(over))
					mu.Unlock()
					return
				}
				time.Sleep(min(5*time.Second, time.Until(end)))
			}
			mu.Lock()
			silent = append(silent, fmt.Sprintf("%s (%d questions)", p.second, questions))
			mu.Unlock()
		}()
	}
	group.Wait()
	slices.Sort(answered)
	if n := len(answered); n > 0 {
		w.record.say("answered: %d of %d second jobs; half of them within %.1f s, the last after %.1f s", n, len(all), answered[n/2].Seconds(), answered[n-1].Seconds())
	}
	for _, job := range silent {
		w.breaksRule("forgotten", "no question about %s was answered in %.0f s after all controllers were back", job, answeredWithin.Seconds())
	}
	return nil
}
