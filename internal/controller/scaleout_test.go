package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/units"
)

// TestNewLeaderWaits checks when a process that has begun to lead may rent.
func TestNewLeaderWaits(t *testing.T) {
	const handoverDelay = 18 * units.Second // twice the list's lag of 8 s, plus 2 s
	for name, tc := range map[string]struct {
		since, after units.Micros
		listRead     bool
		fleet        bool
		rents        bool
	}{
		"first leader":                       {since: 2 * units.Second, listRead: true, fleet: true, rents: true},
		"first leader, no list":              {since: 2 * units.Second, fleet: true},
		"later leader":                       {since: 9 * units.Second, after: handoverDelay - 1, listRead: true, fleet: true},
		"later leader, settled":              {since: 9 * units.Second, after: handoverDelay, listRead: true, fleet: true, rents: true},
		"later leader, settled, no list":     {since: 9 * units.Second, after: handoverDelay, fleet: true},
		"later leader, no machine registers": {since: 9 * units.Second, listRead: true, rents: true},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			rig.now = tc.since
			if tc.fleet {
				rig.addMachine("m-1", 0)
			}
			rig.updateRole(true)
			if tc.listRead {
				rig.machineList.requestedAt = tc.since
			}
			rig.now += tc.after
			rig.scaleOut([]unmetDemand{{waitingJob(nil), 64}})
			if rents := len(rig.sent(CloudRent)) > 0; rents != tc.rents {
				t.Errorf("rents %v, want %v", rents, tc.rents)
			}
		})
	}
}
