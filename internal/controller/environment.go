package controller

import (
	"encoding/json"
	"log/slog"
	"slices"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

// environment is the state that all duties of a controller share: its configuration, the clocks of the
// present step, the effects that the step has emitted so far, and timers.
type environment struct {
	cfg    *config.Config
	policy *policy.Policy
	log    *slog.Logger

	now      units.Micros // monotonic clock
	unixTime units.Micros
	effects  []Effect // of this step, in order

	planNeeded bool // something changed that a plan may act on
	lastCallID uint64
	timers     []timer
}

// timer runs a function once, at the first step at or after dueAt.
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

// runTimers runs the timers that are due, in the order in which they were set, including those that the
// timers set.
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

// newCallID returns the ID of a new call, by which its result is matched to it.
func (e *environment) newCallID() uint64 {
	e.lastCallID++
	return e.lastCallID
}

// reply emits the reply to a request.
func (e *environment) reply(requestID uint64, status int, body any) {
	e.emit(Reply{RequestID: requestID, Status: status, Body: body})
}

// team returns the team with the given name in the settings, or nil if there is none.
func (e *environment) team(name string) *config.Team {
	for i := range e.cfg.Settings.Teams {
		if e.cfg.Settings.Teams[i].Name == name {
			return &e.cfg.Settings.Teams[i]
		}
	}
	return nil
}

// partitionOf returns the partition of a team. Teams are distributed by their order in the settings.
func (e *environment) partitionOf(team string) int {
	for i, t := range e.cfg.Settings.Teams {
		if t.Name == team {
			return i % e.cfg.Settings.Size
		}
	}
	return 0
}

// decode decodes a stored document and reports whether it succeeded; an unreadable document is logged.
func (e *environment) decode(key string, value json.RawMessage, into any) bool {
	if err := json.Unmarshal(value, into); err != nil {
		e.log.Error("unreadable document", "key", key, "err", err)
		return false
	}
	return true
}
