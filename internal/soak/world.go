// Package soak runs the built controllers as real processes on loopback, among stand-ins for
// the state service, the cloud, the workers and the users, while faults come at moments that a
// seed draws. A checker that shares no code with the core judges every rule from what workers,
// users, cloud and state service saw, on one monotonic clock.
//
// A seed fixes what is submitted and which faults come when. It does not fix how the processes'
// work interleaves, so a run with the same seed is similar, not the same.
package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Options are the size of a run.
type Options struct {
	Seed           uint64
	Binary         string        // the controller to be tested
	PreviousBinary string        // the version in production, which is rolled to Binary; empty: none
	Workers        int           // machines that are up at the start
	FaultTime      time.Duration // how long faults come
	SettleTime     time.Duration // how long everything may take to end afterwards
	Dir            string        // for settings and logs
	Instance       int           // distinguishes runs at the same time, for their addresses
}

// Times that all runs have: short, so that leases end and cancellations fall due within a run.
const (
	controllerCount   = 3
	heartbeatInterval = 500 * time.Millisecond
	workerLease       = 6 * time.Second
	cancelDeadline    = 14 * time.Second
)

// world is one run.
type world struct {
	opts        Options
	rng         *lockedRand
	checker     *Checker
	events      *eventLog
	store       *fakeStore
	cloud       *fakeCloud
	controllers []*controllerProcess
	users       *fakeUsers
	network     *network
	stopped     chan struct{}
	tasks       sync.WaitGroup

	upgraded      atomic.Bool // all controllers run the new version
	duplicateRate atomic.Int64
}

// lockedRand draws for many goroutines.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *lockedRand) chance(p float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < p
}

// between draws a time from low to high.
func (r *lockedRand) between(low, high time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return low + time.Duration(r.rng.Float64()*float64(high-low))
}

// eventLog is what happened outside the controllers, in lines like theirs, so that both merge
// into one timeline.
type eventLog struct {
	mu   sync.Mutex
	file *os.File
}

func (l *eventLog) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "time=%s %s\n", time.Now().UTC().Format("2006-01-02T15:04:05.000000Z"), fmt.Sprintf(format, args...))
}

// address is an address of this run: each host has one of its own in the loopback range, so that
// fixed ports never meet those that the system hands out, nor another run's.
func (w *world) address(host int, port int) string {
	run := os.Getpid()*8 + w.opts.Instance%8
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+run/250%200, run%250, 1+host%250, port+host/250)
}

// spawn runs f until the world is closed; f must end soon after that.
func (w *world) spawn(action func()) {
	w.tasks.Add(1)
	go func() {
		defer w.tasks.Done()
		action()
	}()
}

// sleep waits, and reports whether the run goes on.
func (w *world) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.stopped:
		return false
	}
}

// after runs f later, unless the run is over by then.
func (w *world) after(delay time.Duration, action func()) {
	w.spawn(func() {
		if w.sleep(delay) {
			action()
		}
	})
}

// Run plays one run and tells what was broken.
func Run(opts Options) (*Report, error) {
	file, err := os.Create(filepath.Join(opts.Dir, "events.log"))
	if err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	w := &world{
		opts: opts, rng: &lockedRand{rng: rand.New(rand.NewPCG(opts.Seed, 23))}, events: &eventLog{file: file},
		stopped: make(chan struct{}), network: newNetwork(),
	}
	w.checker = NewChecker(cancelDeadline, teamLimits())
	w.checker.log = w.events.add
	defer file.Close()
	defer w.close()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	watch := watchStalls(w.stopped)
	w.spawn(w.checker.checkDeadlinesUntil(w.stopped))
	end := time.Now().Add(opts.FaultTime)
	if opts.PreviousBinary != "" {
		w.rollingUpgrade()
	} else {
		w.upgraded.Store(true)
	}
	w.users.start(time.Until(end))
	w.scheduleFaults(time.Until(end))
	w.sleep(time.Until(end))
	w.heal()
	unfinished := w.users.finish(opts.SettleTime)
	report := w.checker.Report()
	report.Unfinished = unfinished
	report.Exits = w.exits()
	report.Stalled = watch.total()
	report.Started = w.checker.Started()
	return report, nil
}

// startAll starts everything.
func (w *world) startAll() error {
	var err error
	if w.store, err = newStore(w); err != nil {
		return err
	}
	if w.cloud, err = newCloud(w); err != nil {
		return err
	}
	w.users = newUsers(w)
	for i := range controllerCount {
		controller, err := newController(w, i)
		if err != nil {
			return err
		}
		w.controllers = append(w.controllers, controller)
	}
	for _, controller := range w.controllers {
		if err := controller.start(); err != nil {
			return err
		}
	}
	for range w.opts.Workers {
		if _, err := w.cloud.create(machineType, w.cloud.nextZone(), false, 0); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and servers of the run.
func (w *world) close() {
	select {
	case <-w.stopped:
	default:
		close(w.stopped)
	}
	for _, controller := range w.controllers {
		controller.shutDown()
	}
	if w.store != nil {
		w.store.close()
	}
	if w.cloud != nil {
		w.cloud.close()
	}
	w.network.close()
	w.tasks.Wait()
}

// exits lists controllers that ended by themselves.
func (w *world) exits() []string {
	var out []string
	for _, controller := range w.controllers {
		out = append(out, controller.failures()...)
	}
	return out
}

// Report is what came of a run.
type Report struct {
	Broken     []string      // rules, with the moment and the facts
	Unfinished []string      // jobs that were not over at the end
	Exits      []string      // controllers that ended by themselves, crashed or complained
	Stalled    time.Duration // how long the host gave this process no time, in all
	Started    int           // tasks that were started
	LateStarts int           // of these, of jobs whose cancellation had been told, within the time allowed
	Jobs       int
	Answers    int
}

// stallWatch measures how long this process was not run though it was due: the same moments
// are missing for every stand-in.
type stallWatch struct {
	mu      sync.Mutex
	stalled time.Duration
}

// minStall is the shortest delay of a 20 ms timer that counts as a stall of the host.
const minStall = 300 * time.Millisecond

func watchStalls(stopped <-chan struct{}) *stallWatch {
	s := &stallWatch{}
	go func() {
		last := time.Now()
		for {
			select {
			case <-stopped:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if gap := time.Since(last); gap > minStall {
				s.mu.Lock()
				s.stalled += gap
				s.mu.Unlock()
			}
			last = time.Now()
		}
	}()
	return s
}

func (s *stallWatch) total() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled
}
