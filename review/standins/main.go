// Command standins runs one case of the review: it starts the controllers with the command of the deploy
// file, stands in for the state service, the cloud, the workers and the users, and checks one rule on what
// these see.
//
//	standins CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// runLimit is when a run is given up: a case may take 120 s.
	runLimit = 118 * time.Second
)

// errNotRun says that a case could not run, for example because it did not reach its starting point.
var errNotRun = errors.New("the case could not run")

// world is what a case works with.
type world struct {
	*region
	deployment *deployment
	store      *store
	cloud      *cloud
	users      *users
	trouble    bool
}

// caseRun is one case: the rule that it checks and its steps.
type caseRun struct {
	rule  string
	setup func() (*deployment, []machineType)
	run   func(w *world) error
}

var cases = map[string]caseRun{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, program, recordPath string) int {
	chosen, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println("logs:", folder)
	}
	w, err := newWorld(chosen, record, program, folder)
	if err != nil {
		record.say("not run: %v", err)
		return exitNotRun
	}
	defer w.killAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	finished := make(chan error, 1)
	go func() { finished <- chosen.run(w) }()
	select {
	case err = <-finished:
	case <-time.After(runLimit):
		err = fmt.Errorf("%w: not over after %v", errNotRun, runLimit)
	case <-signals:
		err = fmt.Errorf("%w: interrupted", errNotRun)
	}
	for _, n := range w.nodes {
		record.say("%s: %d starts; log: %d lines \"invariant violated\", %d \"unreadable document\", %d \"panic\"", n.name, n.starts,
			n.grep("invariant violated"), n.grep("unreadable document"), n.grep("panic"))
	}
	broken, others := w.verdict(chosen.rule)
	if len(others) > 0 {
		record.say("other rules, not judged here: %s", strings.Join(others, ", "))
	}
	switch {
	case err != nil:
		record.say("NOT RUN: %v", err)
		return exitNotRun
	case len(broken) > 0:
		record.say("BROKEN: %s, %d times; first: %s", chosen.rule, len(broken), broken[0])
		return exitBroken
	}
	record.say("HELD: %s (%d tasks started)", chosen.rule, w.starts)
	return exitHeld
}

func newWorld(chosen caseRun, record *recorder, program, folder string) (*world, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the built program is missing: %w", err)
	}
	d, types := chosen.setup()
	d.program, d.workFolder = program, folder
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	w := &world{region: newRegion(record, seconds(d.leaseS), seconds(d.cancelS), seconds(d.reportS)), deployment: d, trouble: os.Getenv("TROUBLE") != "0"}
	record.say("trouble: %v", w.trouble)
	w.store = newStore(record, d.state, len(d.nodeZones))
	var addrs []string
	for i := range d.nodeZones {
		addr, err := w.store.start(i)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	if w.cloud, err = newCloud(record, types, seconds(d.listLagS), d.cloudRPS); err != nil {
		return nil, err
	}
	if w.nodes, err = newNodes(record, d, addrs, w.cloud.addr); err != nil {
		return nil, err
	}
	w.users = newUsers(w.region)
	return w, nil
}

// addMachine adds a machine that is up from the start.
func (w *world) addMachine(number int, kind, yard string, spot bool) (*worker, error) {
	m, err := newWorker(w.region, machineName(number), w.cloud.machineType(kind), yard, spot)
	if err == nil {
		w.cloud.add(m)
	}
	return m, err
}

// startAll starts all controllers and waits until they are ready.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	return w.awaitReady(30 * time.Second)
}

func (w *world) awaitReady(limit time.Duration) error {
	for _, n := range w.nodes {
		if !waitFor(limit, n.ready) {
			return fmt.Errorf("%w: %s is not ready", errNotRun, n.name)
		}
	}
	w.record.say("all controllers are ready")
	return nil
}

func (w *world) killAll() {
	for _, n := range w.nodes {
		n.kill()
	}
}

// waitFor waits until a condition holds and reports whether it did within the limit.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
