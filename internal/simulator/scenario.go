package simulator

import (
	"errors"
	"fmt"
	"io"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/units"
)

// How often the rules that time alone can break are checked.
const (
	deadlineCheckPeriod = 500 * units.Millisecond
	waitingCheckPeriod  = 5 * units.Second
	unknownJobPeriod    = 3 * units.Second
)

// Scenario is a parsed text file; see testdata/README.md for the format. It can be run more than
// once, always with the same result.
type Scenario struct {
	options      worldOptions
	machines     []initialMachines
	steps        []plannedStep
	expectations []plannedExpectation

	Trace *Trace // records what controllers send; may be nil
}

// worldOptions are what a scenario says of the region before it begins.
type worldOptions struct {
	seed            uint64
	controllers     int
	previousVersion bool // controllers run the previous version
	duration        units.Micros

	heartbeatSeconds, leaseSeconds, cancelSeconds float64

	limits        config.KVLimits         // of the key-value store
	nextLimits    config.KVLimitsOverride // announced for later
	historyLength int                     // changes that the key-value store keeps for watches
	sockets       int                     // of a controller

	lossRate, duplicateRate     float64
	bootFailureRate, bootFactor float64

	teams        []config.Team
	machineTypes []cloud.MachineType
	offers       map[offer]int
}

// offer is what the cloud rents out.
type offer struct {
	machineType, zone string
	spot              bool
}

// initialMachines are machines that are there when a run begins.
type initialMachines struct {
	offer
	count int
}

// plannedStep is a step at a moment, counted from the begin of the run.
type plannedStep struct {
	at   units.Micros
	word string // in the scenario, for messages
	step step

	isFault  bool         // the waiting check begins once the last fault is over
	duration units.Micros // of the fault
}

// faultDuration is how long the region is out of order from the step on.
func (p *plannedStep) faultDuration(controllers int) units.Micros {
	if rolling, ok := p.step.(restartInTurn); ok {
		return units.Micros(controllers)*rolling.interval + p.duration
	}
	return p.duration
}

// plannedExpectation is an expectation and its line in the scenario.
type plannedExpectation struct {
	line        string
	expectation expectation
}

// controllerSettings are the settings that all controllers of the region have.
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

// Run plays the scenario. It returns what went wrong, broken rules first, then expectations that were not
// met, and as an error the first step that could not be applied: the others still were.
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
	w.run(startOfTime + s.options.duration)
	problems, err := s.collectProblems(w)
	return problems, errors.Join(failure, err)
}

// schedule plans the steps and the periodic checks. failed is called when a step can't be applied.
func (s *Scenario) schedule(w *World, failed func(error)) {
	for _, planned := range s.steps {
		w.at(startOfTime+planned.at, func() {
			if err := planned.step.apply(w); err != nil {
				failed(fmt.Errorf("at %v %s: %w", planned.at.Seconds(), planned.word, err))
			}
		})
		if planned.isFault {
			w.checker.expectFaultsUntil(startOfTime + planned.at + planned.faultDuration(s.options.controllers))
		}
	}
	w.every(deadlineCheckPeriod, w.checker.checkDeadlines)
	w.every(waitingCheckPeriod, w.checkWaiting)
	w.every(unknownJobPeriod, w.users.pollUnknownJob)
}

// collectProblems closes the run and lists what went wrong.
func (s *Scenario) collectProblems(w *World) ([]string, error) {
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
