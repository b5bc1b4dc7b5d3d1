package soak

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"
)

// Options are the parameters of a run.
type Options struct {
	Seed           uint64
	Binary         string        // the controller under test
	PreviousBinary string        // the production version, which is upgraded to Binary; empty: no upgrade
	Workers        int           // machines that are up at the start
	FaultTime      time.Duration // how long faults are injected
	SettleTime     time.Duration // how long all jobs may take to end afterwards
	Dir            string        // for settings and logs
	Instance       int           // distinguishes the addresses of concurrent runs
}

// Report is the result of a run.
type Report struct {
	Observations
	Unfinished         []string      // jobs that were not over at the end
	ControllerFailures []string      // crashes of controllers and fatal lines in their logs
	Stalled            time.Duration // total time in which the host did not schedule this process
}

// world is the state of one run: the controllers, the stand-ins around them, and the faults.
type world struct {
	*background
	opts        Options
	rng         *lockedRand
	checker     *Checker
	events      *eventLog
	network     *network
	store       *fakeStore
	cloud       *fakeCloud
	users       *fakeUsers
	controllers []*controllerProcess

	upgraded atomic.Bool // all controllers run the new version
	// faultsOver says that no new faults begin.
	faultsOver atomic.Bool
	// duplicatePercent is the share of heartbeats that arrive a second time, late.
	duplicatePercent atomic.Int64
}

// Run executes one run and reports its violations and failures. It returns when all processes have ended.
func Run(ctx context.Context, opts Options) (report *Report, err error) {
	events, err := newEventLog(filepath.Join(opts.Dir, "events.log"))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, events.close()) }()
	w := newWorld(ctx, opts, events)
	defer func() { err = errors.Join(err, w.close()) }()
	if err := w.start(); err != nil {
		return nil, err
	}
	return w.run(), nil
}

func newWorld(ctx context.Context, opts Options, events *eventLog) *world {
	w := &world{
		background: newBackground(ctx), opts: opts, rng: newRand(opts.Seed), events: events,
		checker: NewChecker(cancelDeadline, teamQuotas()), network: newNetwork(),
	}
	w.checker.onViolation = func(violation Violation) { events.add("BROKEN %s", violation) }
	return w
}

// start starts the stand-ins, the controllers and the first machines.
func (w *world) start() error {
	var err error
	if w.store, err = newStore(w); err != nil {
		return err
	}
	if w.cloud, err = newCloud(w); err != nil {
		return err
	}
	w.users = newUsers(w)
	if err := w.startControllers(); err != nil {
		return err
	}
	return w.cloud.createRunning(w.opts.Workers)
}

func (w *world) startControllers() error {
	for index := range controllerCount {
		process, err := newController(w, index)
		if err != nil {
			return fmt.Errorf("prepare %s: %w", memberName(index), err)
		}
		w.controllers = append(w.controllers, process)
	}
	for _, process := range w.controllers {
		if err := process.start(); err != nil {
			return err
		}
	}
	return nil
}

// run executes the users' actions and the faults, ends the faults, and waits until all jobs are over.
func (w *world) run() *Report {
	stalls := &stallWatch{}
	w.spawn(func() { stalls.run(w.background) })
	w.spawn(func() { w.checker.watchDeadlines(w.background) })
	end := time.Now().Add(w.opts.FaultTime)
	if w.opts.PreviousBinary != "" {
		w.startRollingUpgrade()
	} else {
		w.upgraded.Store(true)
	}
	w.users.start(time.Until(end))
	w.startSchedule(drawSchedule(w.rng, time.Until(end)))
	w.sleep(time.Until(end))
	w.heal()
	unfinished := w.users.finish(w.opts.SettleTime)
	return &Report{
		Observations:       w.checker.Observations(),
		Unfinished:         unfinished,
		ControllerFailures: w.controllerFailures(),
		Stalled:            stalls.total(),
	}
}

// close ends all processes, servers and goroutines of the run.
func (w *world) close() error {
	w.stop()
	var errs []error
	for _, process := range w.controllers {
		errs = append(errs, process.close())
	}
	if w.store != nil {
		errs = append(errs, w.store.close())
	}
	if w.cloud != nil {
		errs = append(errs, w.cloud.close())
	}
	w.wait()
	return errors.Join(errs...)
}

// controllerFailures lists the crashes of all controllers and the fatal lines in their logs.
func (w *world) controllerFailures() []string {
	var failures []string
	for _, process := range w.controllers {
		failures = append(failures, process.failures()...)
	}
	return failures
}
