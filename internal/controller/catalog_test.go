package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// TestCatalogStaysKnown checks that the catalog is read often until it is known and rarely afterwards,
// and that a failed or empty read leaves the known types in place.
func TestCatalogStaysKnown(t *testing.T) {
	rig := newAutoscalerRig(t)
	types := rig.catalog.types
	rig.catalog.types = nil
	steps := []struct {
		name   string
		wait   units.Micros
		asks   bool
		result CloudResult
		known  bool
	}{
		{name: "first read fails", asks: true, result: CloudResult{Status: cloud.StatusUnknown}},
		{name: "retry too early", wait: catalogRetryPeriod - 1},
		{name: "empty catalog", wait: 1, asks: true, result: CloudResult{Status: cloud.StatusOK}},
		{name: "catalog", wait: catalogRetryPeriod, asks: true, result: CloudResult{Status: cloud.StatusOK, Catalog: cloud.Catalog{Types: types}}, known: true},
		{name: "refresh too early", wait: catalogRefreshPeriod, known: true},
		{name: "refresh fails", wait: 1, asks: true, result: CloudResult{Status: cloud.StatusRefused}, known: true},
		{name: "no retry at once", wait: catalogRetryPeriod, known: true},
		{name: "refresh is empty", wait: catalogRefreshPeriod, asks: true, result: CloudResult{Status: cloud.StatusOK}, known: true},
	}
	for _, step := range steps {
		rig.now += step.wait
		rig.catalog.refreshWhenDue()
		calls := rig.sent(CloudCatalog)
		if asks := len(calls) == 1; asks != step.asks {
			t.Errorf("%s: requests the catalog %v, want %v", step.name, asks, step.asks)
		}
		rig.catalog.refreshWhenDue() // one read at a time
		for _, call := range calls {
			rig.answer(call, step.result)
		}
		rig.effects = nil
		if rig.catalog.known() != step.known || step.known && rig.catalog.machineType("slow") == nil {
			t.Errorf("%s: known %v, want %v", step.name, rig.catalog.known(), step.known)
		}
	}
}
