package simulator

import (
	"errors"
	"fmt"
	"io"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/units"
)

// Periods of the checks that no event triggers.
const (
	deadlineCheckPeriod = 500 * units.Millisecond // of cancellation deadlines
	waitingCheckPeriod  = 5 * units.Second        // of tasks that wait despite free capacity
	unknownJobPeriod    = 3 * units.Second        // of polls for a job that nobody submitted
)

// Scenario is a parsed scenario file; testdata/README.md describes the format. It can be run repeatedly,
// always with the same result.
type Scenario struct {
	options      worldOptions
	machines     []initialMachines
	steps        []plannedStep
	expectations []plannedExpectation

	Trace *Trace // if not nil, records what controllers send
}

// worldOptions describes the region at the start of a run.
type worldOptions struct {
	seed            uint64
	controllers     int
	previousVersion bool // controllers run the previous version
	duration        units.Micros

	heartbeatSeconds, leaseSeconds, cancelSeconds float64

	limits        config.KVLimits         // limits of the key-value store
	nextLimits    config.KVLimitsOverride // limits that the settings announce for later
	historyLength int                     // number of changes that the key-value store keeps for watches
	changeOrder   changeOrder             // of the changes in the answers to watches
	sockets       int                     // sockets of each controller

	lossRate, duplicateRate     float64
	repeatRate, apiRepeatRate   float64
	bootFailureRate, bootFactor float64

	teams        []config.Team
	machineTypes []cloud.MachineType
	offers       map[offer]int
}

// offer is a kind of machine that the cloud rents out.
type offer struct {
	machineType, zone string
	spot              bool
}

// initialMachines describes machines that are present at the start of a run.
type initialMachines struct {
	offer
	count int
}

// plannedStep is a step with its time, counted from the start of the run.
type plannedStep struct {
	at   units.Micros
	word string // keyword of the step, for error messages
	step step

	isFault  bool         // the step starts a fault; the waiting check starts once the last fault is over
	duration units.Micros // duration of the fault
}

// faultDuration returns how long the fault lasts. Restarts of controllers one after the other last for
// all their intervals and the downtime.
func (p *plannedStep) faultDuration(controllers int) units.Micros {
	if rolling, ok := p.step.(restartInTurn); ok {
		return units.Micros(controllers)*rolling.interval + p.duration
	}
	return p.duration
}

// plannedExpectation is an expectation with its line of the scenario file, for messages.
type plannedExpectation struct {
	line        string
	expectation expectation
}

// controllerSettings returns the settings of all controllers.
func (o *worldOptions) controllerSettings() config.Settings {
	settings := config.Settings{Size: o.controllers, Teams: o.teams, Zones: []string{"a", "b"}}
	settings.Workers.HeartbeatS = o.heartbeatSeconds
	settings.Workers.LeaseS = o.leaseSeconds
	settings.Workers.CancelS = o.cancelSeconds
	settings.KVStore.KVLimits = o.limits
	next := o.nextLimits
	settings.KVStore.Next = &next
	settings.Cloud.RPS, settings.Cloud.ListLagS = 8, 8
	settings.ProcessLimits.MemoryMB, settings.ProcessLimits.Sockets = 200, o.sockets
	return settings
}

// Run runs the scenario. It returns a description of each broken rule and then of each expectation that
// was not met. The error reports the first step that could not be applied, after which the run goes on,
// and an expectation that could not be checked.
func (s *Scenario) Run(log io.Writer) ([]string, error) {
	w := newWorld(&s.options, log, s.Trace)
	for i := range s.options.controllers {
		member := &config.Config{Member: fmt.Sprintf("node%d", i), Settings: w.settings}
		w.addProcess(member, s.options.previousVersion)
	}
	for _, machines := range s.machines {
		for range machines.count {
			w.cloud.bootCompleted(w.cloud.create(machines.offer))
		}
	}
	var failure error
	s.schedule(w, func(err error) {
		if failure == nil {
			failure = err
		}
	})
	w.run(startTime + s.options.duration)
	problems, err := s.collectProblems(w)
	return problems, errors.Join(failure, err)
}

// schedule schedules the steps and the periodic checks. failed is called for each step that can't be
// applied.
func (s *Scenario) schedule(w *World, failed func(error)) {
	for _, planned := range s.steps {
		w.at(startTime+planned.at, func() {
			if err := planned.step.apply(w); err != nil {
				failed(fmt.Errorf("at %v %s: %w", planned.at.Seconds(), planned.word, err))
			}
		})
		if planned.isFault {
			w.checker.expectFaultsUntil(startTime + planned.at + planned.faultDuration(s.options.controllers))
		}
	}
	w.every(deadlineCheckPeriod, w.checker.checkDeadlines)
	w.every(waitingCheckPeriod, w.checkWaiting)
	w.every(unknownJobPeriod, w.users.pollUnknownJob)
}

// collectProblems ends the checker's run and lists the broken rules and the expectations that were not
// met.
func (s *Scenario) collectProblems(w *World) ([]string, error) {
	w.checkRestart()
	w.checker.Finish()
	var problems []string
	for _, violation := range w.checker.Violations {
		problems = append(problems, violation.String())
	}
	for _, planned := range s.expectations {
		unmet, err := planned.expectation.check(w)
		if err != nil {
			return problems, fmt.Errorf("%s: %w", planned.line, err)
		}
		if unmet != "" {
			problems = append(problems, planned.line+": "+unmet)
		}
	}
	return problems, nil
}
