package controller

import (
	"maps"
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// TestMachineListPages reads lists of several pages. The known list must stay until a new one is read in
// full.
func TestMachineListPages(t *testing.T) {
	page := func(truncated bool, names ...string) CloudResult {
		result := CloudResult{Status: cloud.StatusOK, Page: cloud.MachinePage{Truncated: truncated}}
		for _, name := range names {
			result.Page.Machines = append(result.Page.Machines, cloud.ListedMachine{Name: name, Type: "big"})
		}
		return result
	}
	for name, tc := range map[string]struct {
		pages  []CloudResult
		afters []string // After parameter of each page request
		want   []string
	}{
		"one page":          {[]CloudResult{page(false, "m-1")}, []string{""}, []string{"m-1"}},
		"two pages":         {[]CloudResult{page(true, "m-1", "m-2"), page(false, "m-3")}, []string{"", "m-2"}, []string{"m-1", "m-2", "m-3"}},
		"empty":             {[]CloudResult{page(false)}, []string{""}, nil},
		"no progress":       {[]CloudResult{page(true)}, []string{""}, nil},
		"first page fails":  {[]CloudResult{{Status: cloud.StatusUnknown}}, []string{""}, []string{"old"}},
		"second page fails": {[]CloudResult{page(true, "m-1"), {Status: cloud.StatusRefused}}, []string{"", "m-1"}, []string{"old"}},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			rig.machineList.machines = map[string]cloud.ListedMachine{"old": {Name: "old"}}
			rig.readMachineListWhenDue(true)
			for i, result := range tc.pages {
				call := rig.sentOne(CloudList)
				if call.After != tc.afters[i] {
					t.Errorf("page %d requested after %q, want %q", i, call.After, tc.afters[i])
				}
				rig.readMachineListWhenDue(true) // one read at a time
				rig.answer(call, result)
			}
			if got := slices.Sorted(maps.Keys(rig.machineList.machines)); !slices.Equal(got, tc.want) {
				t.Errorf("listed %v, want %v", got, tc.want)
			}
			if calls := rig.sent(CloudList); len(calls) > 0 || rig.machineList.reading {
				t.Errorf("still reading after the last page: %+v", calls)
			}
		})
	}
}

// TestUnregisteredMachines checks which listed machines without an entry are deleted when the list shows
// them now and again after a while.
func TestUnregisteredMachines(t *testing.T) {
	const overdue = 106 // seconds: three boot times of 30 s, plus 15 s, plus one
	for name, tc := range map[string]struct {
		listed      cloud.ListedMachine
		heard       bool
		heardByPeer bool
		doesNotRent bool
		again       units.Micros // how long after the first read the list is read again
		deleted     bool
	}{
		"booting":                 {listed: cloud.ListedMachine{Type: "big", AgeSeconds: 20}, again: 17 * units.Second},
		"never up":                {listed: cloud.ListedMachine{Type: "big", AgeSeconds: overdue}, again: 17 * units.Second, deleted: true},
		"never up, seen once":     {listed: cloud.ListedMachine{Type: "big", AgeSeconds: overdue}, again: 16 * units.Second},
		"up, not registered":      {listed: cloud.ListedMachine{Type: "big", AgeSeconds: overdue}, heard: true, again: 17 * units.Second},
		"up, heard by a peer":     {listed: cloud.ListedMachine{Type: "big", AgeSeconds: overdue}, heardByPeer: true, again: 17 * units.Second},
		"unknown type, booting":   {listed: cloud.ListedMachine{Type: "new", AgeSeconds: overdue}, again: 17 * units.Second},
		"unknown type, never up":  {listed: cloud.ListedMachine{Type: "new", AgeSeconds: 196}, again: 17 * units.Second, deleted: true},
		"failed":                  {listed: cloud.ListedMachine{Type: "big", State: cloud.Failed}, deleted: true},
		"failed, another's to do": {listed: cloud.ListedMachine{Type: "big", State: cloud.Failed}, doesNotRent: true},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			rig.updateRole(!tc.doesNotRent)
			tc.listed.Name = "m-1"
			rig.cluster.heardHere = map[string]bool{"m-1": tc.heard}
			rig.cluster.heardByPeers = map[string]bool{"m-1": tc.heardByPeer}
			for _, at := range []units.Micros{rig.now, rig.now + tc.again} {
				rig.now, rig.effects = at, nil
				rig.applyMachineList(&machineListRead{requestedAt: at, machines: map[string]cloud.ListedMachine{"m-1": tc.listed}})
			}
			if deleted := len(rig.sent(CloudDelete)) > 0; deleted != tc.deleted {
				t.Errorf("deleted %v, want %v", deleted, tc.deleted)
			}
		})
	}
}

// TestWhoReadsTheList checks which processes read the machine list, and how often.
func TestWhoReadsTheList(t *testing.T) {
	for name, tc := range map[string]struct {
		rents, silence bool
		reads          bool
	}{
		"rents":                          {rents: true, reads: true},
		"does not rent":                  {},
		"does not rent, machines silent": {silence: true, reads: true},
		"rents, and machines are silent": {rents: true, silence: true, reads: true},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			rig.cluster.silence = tc.silence
			for _, step := range []struct {
				wait units.Micros
				due  bool
			}{{0, true}, {machineListPeriod - 1, false}, {1, true}} {
				rig.now += step.wait
				rig.readMachineListWhenDue(tc.rents)
				calls := rig.sent(CloudList)
				if reads := len(calls) == 1; reads != (tc.reads && step.due) {
					t.Errorf("reads %v after %v", reads, step.wait)
				}
				for _, call := range calls {
					rig.answer(call, CloudResult{Status: cloud.StatusOK})
				}
			}
		})
	}
}
