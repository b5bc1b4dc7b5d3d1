package controller

import (
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// TestRentalIsIdempotent follows a rental without a clear answer: it is repeated unchanged, under its own
// name, which no later rental takes.
func TestRentalIsIdempotent(t *testing.T) {
	rig := newAutoscalerRig(t)
	rig.rent(offer{"big", "a", false}, new(64.0), 5)
	first := rig.sentOne(CloudRent)
	rig.rentals.settle(rig.replica, rig.catalog)
	if calls := rig.sent(CloudRent); len(calls) != 0 {
		t.Errorf("repeated while in flight: %+v", calls)
	}
	rig.answer(first, CloudResult{Status: cloud.StatusUnknown})
	rig.rentals.settle(rig.replica, rig.catalog)
	repeated := rig.sentOne(CloudRent)
	if repeated.Rental != first.Rental || repeated.CallID == first.CallID {
		t.Errorf("repeated as %+v, first %+v", repeated, first)
	}
	rig.answer(repeated, CloudResult{Status: cloud.StatusOK, Machines: cloud.MachineNames{Names: []string{"m-2", "m-1"}}})
	if want := []string{`{"n":"m-1","w":"tag"}`}; !slices.Equal(rig.cluster.firstRented, want) {
		t.Errorf("first rented %v, want %v", rig.cluster.firstRented, want)
	}
	if !rig.rentals.pending("m-1") || !rig.rentals.pending("m-2") {
		t.Error("granted machines are not expected")
	}
	rig.rentals.forgetAll()
	rig.rent(offer{"big", "a", false}, new(64.0), 5)
	if next := rig.sentOne(CloudRent); next.Rental.Name == first.Rental.Name {
		t.Errorf("name %s is used again", next.Rental.Name)
	}
}

// TestRentalEnds lists when a granted or refused rental is no longer under way.
func TestRentalEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		status     cloud.Status
		granted    []string
		registered []string
		later      units.Micros
		underWay   bool
		available  bool // the offer may be asked for again
	}{
		"refused":               {status: cloud.StatusRefused, later: units.Second},
		"refused long ago":      {status: cloud.StatusRefused, later: refusedOfferPause, available: true},
		"fewer than asked for":  {status: cloud.StatusOK, granted: []string{"m-1"}, later: units.Second, underWay: true},
		"all granted":           {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, later: units.Second, underWay: true, available: true},
		"one registered":        {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, registered: []string{"m-1"}, later: units.Second, underWay: true, available: true},
		"all registered":        {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, registered: []string{"m-1", "m-2"}, available: true},
		"not yet overdue":       {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, later: 85 * units.Second, underWay: true, available: true},
		"overdue":               {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, later: 86 * units.Second, available: true},
		"no answer, asked anew": {status: cloud.StatusUnknown, later: 86 * units.Second, underWay: true, available: true},
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
			rig.rentals.settle(rig.replica, rig.catalog)
			if underWay := len(rig.rentals.underWay) > 0; underWay != tc.underWay {
				t.Errorf("under way %v, want %v", underWay, tc.underWay)
			}
			if available := rig.rentals.available(wanted); available != tc.available {
				t.Errorf("available %v, want %v", available, tc.available)
			}
		})
	}
}
