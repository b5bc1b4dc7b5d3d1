package controller

import (
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// TestRentalIsIdempotent checks that a rental without a clear answer is repeated unchanged, under its own
// name, and that no later rental uses that name.
func TestRentalIsIdempotent(t *testing.T) {
	rig := newAutoscalerRig(t)
	rig.rent(offer{"big", "a", false}, new(64.0), 5)
	first := rig.sentOne(CloudRent)
	rig.rentals.reconcile(rig.replica, rig.catalog)
	if calls := rig.sent(CloudRent); len(calls) != 0 {
		t.Errorf("request repeated while in flight: %+v", calls)
	}
	rig.answer(first, CloudResult{Status: cloud.StatusUnknown})
	rig.rentals.reconcile(rig.replica, rig.catalog)
	repeated := rig.sentOne(CloudRent)
	if repeated.Rental != first.Rental || repeated.CallID == first.CallID {
		t.Errorf("repeated as %+v, want the rental of %+v under a new call ID", repeated, first)
	}
	rig.answer(repeated, CloudResult{Status: cloud.StatusOK, Machines: cloud.MachineNames{Names: []string{"m-2", "m-1"}}})
	if want := []string{`{"n":"m-1","w":"tag"}`}; !slices.Equal(rig.cluster.firstRented, want) {
		t.Errorf("first rented %v, want %v", rig.cluster.firstRented, want)
	}
	if !rig.rentals.pending("m-1") || !rig.rentals.pending("m-2") {
		t.Error("granted machines are not pending")
	}
	rig.rentals.forgetAll()
	rig.rent(offer{"big", "a", false}, new(64.0), 5)
	if next := rig.sentOne(CloudRent); next.Rental.Name == first.Rental.Name {
		t.Errorf("rental name %s is reused", next.Rental.Name)
	}
}

// TestRentalEnds checks when a granted or refused rental is no longer outstanding.
func TestRentalEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		status      cloud.Status
		granted     []string
		registered  []string
		later       units.Micros
		outstanding bool
		available   bool // the offer may be requested again
	}{
		"refused":               {status: cloud.StatusRefused, later: units.Second},
		"refused long ago":      {status: cloud.StatusRefused, later: refusedOfferPause, available: true},
		"fewer than asked for":  {status: cloud.StatusOK, granted: []string{"m-1"}, later: units.Second, outstanding: true},
		"all granted":           {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, later: units.Second, outstanding: true, available: true},
		"one registered":        {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, registered: []string{"m-1"}, later: units.Second, outstanding: true, available: true},
		"all registered":        {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, registered: []string{"m-1", "m-2"}, available: true},
		"not yet overdue":       {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, later: 85 * units.Second, outstanding: true, available: true},
		"overdue":               {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, later: 86 * units.Second, available: true},
		"no answer, asked anew": {status: cloud.StatusUnknown, later: 86 * units.Second, outstanding: true, available: true},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			wanted := offer{"big", "a", false}
			rig.rent(wanted, new(64.0), 5)
			rig.answer(rig.sentOne(CloudRent), CloudResult{Status: tc.status, Machines: cloud.MachineNames{Names: tc.granted}})
			for _, machine := range tc.registered {
				rig.addMachine(machine, 0)
			}
			rig.now += tc.later
			rig.rentals.reconcile(rig.replica, rig.catalog)
			if outstanding := len(rig.rentals.outstanding) > 0; outstanding != tc.outstanding {
				t.Errorf("outstanding %v, want %v", outstanding, tc.outstanding)
			}
			if available := rig.rentals.available(wanted); available != tc.available {
				t.Errorf("offer available %v, want %v", available, tc.available)
			}
		})
	}
}
