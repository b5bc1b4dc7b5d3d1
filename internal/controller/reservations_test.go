package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/units"
)

func TestReservationsExpire(t *testing.T) {
	const since = 100 * units.Second
	for name, tc := range map[string]struct {
		now        units.Micros
		needed     bool
		kept       bool
		pausedTill units.Micros // 0: a new reservation may be made immediately
	}{
		"needed":                  {since + reservationPeriod, true, true, 0},
		"not needed":              {since + units.Second, false, false, 0},
		"needed for too long":     {since + reservationPeriod + 1, true, false, since + reservationPeriod + 1 + reservationPeriod/2},
		"not needed, and too old": {since + reservationPeriod + 1, false, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			reservations := newReservationTable()
			reservations.byMachine["n-000001"] = reservation{"j-000001", since}
			reservations.expire(tc.now, func(jobID string) bool { return tc.needed && jobID == "j-000001" })
			if _, kept := reservations.byMachine["n-000001"]; kept != tc.kept {
				t.Errorf("kept: %v", kept)
			}
			if reservations.notBefore != tc.pausedTill {
				t.Errorf("no reservation before %v, want %v", reservations.notBefore, tc.pausedTill)
			}
		})
	}
}

func TestReservedForAnother(t *testing.T) {
	reservations := newReservationTable()
	reservations.byMachine["n-000001"] = reservation{job: "j-000001"}
	holder, other := &job{id: "j-000001"}, &job{id: "j-000002"}
	if !reservations.has(holder) || reservations.has(other) {
		t.Error("the reservation does not belong to its job alone")
	}
	if reservations.reservedForOther("n-000001", holder) || !reservations.reservedForOther("n-000001", other) {
		t.Error("the machine is not reserved for its job alone")
	}
	if reservations.reservedForOther("n-000002", other) {
		t.Error("a machine without a reservation is withheld")
	}
}
