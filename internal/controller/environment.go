package controller

import (
	"encoding/json"
	"log/slog"
	"slices"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

// environment is what all duties of a controller share: its configuration, the clocks of the present
// step, the effects that the step has so far, and timers.
type environment struct {
	cfg    *config.Config
	policy *policy.Policy
	log    *slog.Logger

	now       units.Micros // steady clock
	timeOfDay units.Micros
	effects   []Effect // of this step, in order

	planNeeded bool // something changed that a plan may act on
	lastCallID uint64
	timers     []timer
}

// timer runs a function once, at the first step at or after a moment.
type timer struct {
	dueAt units.Micros
	run   func()
}

// emit adds an effect to those of this step.
func (e *environment) emit(effect Effect) { e.effects = append(e.effects, effect) }

// after runs a function at the first step after a delay.
func (e *environment) after(delay units.Micros, run func()) {
	e.timers = append(e.timers, timer{e.now + delay, run})
}

// runTimers runs the timers that are due, in the order in which they were set, those included that
// are set meanwhile.
func (e *environment) runTimers() {
	for {
		i := slices.IndexFunc(e.timers, func(t timer) bool { return t.dueAt <= e.now })
		if i < 0 {
			return
		}
		run := e.timers[i].run
		e.timers = slices.Delete(e.timers, i, i+1)
		run()
	}
}

// newCallID numbers a call, so that its result can be matched to it.
func (e *environment) newCallID() uint64 {
	e.lastCallID++
	return e.lastCallID
}

// reply answers a request that needs no further thought.
func (e *environment) reply(requestID uint64, status int, body any) {
	e.emit(Reply{RequestID: requestID, Status: status, Body: body})
}

// team is a team of the settings; nil if there is none of that name.
func (e *environment) team(name string) *config.Team {
	for i := range e.cfg.Settings.Teams {
		if e.cfg.Settings.Teams[i].Name == name {
			return &e.cfg.Settings.Teams[i]
		}
	}
	return nil
}

// partitionOf parts the teams among the partitions, by their order in the settings.
func (e *environment) partitionOf(team string) int {
	for i, t := range e.cfg.Settings.Teams {
		if t.Name == team {
			return i % e.cfg.Settings.Size
		}
	}
	return 0
}

// decode reads a stored document. An unreadable one is logged and left out.
func (e *environment) decode(key string, value json.RawMessage, into any) bool {
	if err := json.Unmarshal(value, into); err != nil {
		e.log.Error("unreadable document", "key", key, "err", err)
		return false
	}
	return true
}
