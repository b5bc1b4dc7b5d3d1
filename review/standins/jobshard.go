package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() {
	cases["jobshard"] = caseRun{rule: "forgotten", setup: ledgerDeployment, run: fullJobShard}
}

// fullJobShard submits jobs whose ids are multiples of one large number, so that no split of their job shard
// separates them. Then one controller crashes and comes back, and is asked about them.
func fullJobShard(w *world) error {
	for number := 1; number <= 6; number++ {
		if _, err := w.addMachine(number, "thulo-64", "kathmandu-office", false); err != nil {
			return err
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var accepted []string
	var group sync.WaitGroup
	for _, k := range rand.Perm(20000)[:90] {
		id := fmt.Sprintf("j-%010d", 98304*k)
		group.Add(1)
		go func() {
			defer group.Done()
			if w.users.submit(seedLotCheck(id), 150*time.Second) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(25 * time.Second)
	if w.trouble {
		w.nodes[0].kill()
		time.Sleep(2 * time.Second)
		if err := w.nodes[0].start(); err != nil {
			return err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	w.record.say("%d jobs are accepted", len(accepted))
	for _, id := range accepted {
		if status, _ := w.users.poll(w.nodes[0], id); status == 404 {
			w.breaksRule("forgotten", "%s is accepted, and a question about it gets 404", id)
		}
	}
	return nil
}
