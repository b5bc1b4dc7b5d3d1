package simulator

import (
	"fmt"
	"io"
	"log/slog"
	"slices"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

// maxLoadSteps is how many steps a controller may take to load the store.
const maxLoadSteps = 10_000

// checkRestart reports what a controller that has run on knows of the store otherwise than one that starts now:
// only a restart would correct that. Controllers that have not been shown the store's last change are passed over.
func (w *World) checkRestart() {
	for _, p := range w.processes {
		if !p.running || p.previousVersion {
			continue
		}
		revision, known := p.controller.StoredState()
		if revision != w.store.revision {
			continue
		}
		loaded := w.loadController(p)
		for _, fact := range known {
			if _, found := slices.BinarySearch(loaded, fact); !found {
				w.checker.violate(RuleInvariant, "%s knows, unlike a new controller: %s", p.name, fact)
			}
		}
		for _, fact := range loaded {
			if _, found := slices.BinarySearch(known, fact); !found {
				w.checker.violate(RuleInvariant, "a new controller knows, unlike %s: %s", p.name, fact)
			}
		}
	}
}

// loadController returns what a new controller with the settings of a process knows once it has loaded the store.
// It gets no answers but to its reads, so it changes nothing.
func (w *World) loadController(p *controllerProcess) []string {
	loaded := controller.New(p.cfg, policy.Default(), slog.New(slog.NewTextHandler(io.Discard, nil)), "restart-check")
	now := w.now
	var answers []controller.Message
	for range maxLoadSteps {
		now += units.Millisecond
		effects := loaded.Step(now, now+wallOffset, answers)
		if revision, facts := loaded.StoredState(); revision > 0 {
			return facts
		}
		answers = nil
		for _, effect := range effects {
			if call, ok := effect.(controller.StoreCall); ok && call.Request.Kind == kv.List {
				answers = append(answers, controller.StoreResult{CallID: call.CallID, Response: w.store.list(&call.Request)})
			}
		}
	}
	panic(fmt.Sprintf("store not loaded in %d steps", maxLoadSteps))
}
