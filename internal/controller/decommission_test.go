package controller

import (
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
)

// TestDeletionIsConfirmed deletes a decommissioned machine. The machine counts as deleted only when the
// cloud confirms it, and until then the request is repeated.
func TestDeletionIsConfirmed(t *testing.T) {
	rig := newAutoscalerRig(t)
	mine, other := rig.addMachine("m-1", 0), rig.addMachine("m-2", 1)
	rig.addMachine("m-3", 0)
	rig.decommission.mark("idle", mine)
	rig.deleteDecommissioned()
	if calls := rig.sent(CloudDelete); len(calls) != 0 {
		t.Fatalf("deleted before the decision is stored: %+v", calls)
	}
	mine.doc.Decommissioned, other.doc.Decommissioned = true, true
	for _, status := range []cloud.Status{cloud.StatusUnknown, cloud.StatusRefused} {
		rig.deleteDecommissioned()
		call := rig.sentOne(CloudDelete)
		if !slices.Equal(call.Machines.Names, []string{"m-1"}) {
			t.Errorf("asked to delete %v", call.Machines.Names)
		}
		rig.deleteDecommissioned() // one request at a time
		rig.answer(call, CloudResult{Status: status})
		if rig.deleteDecommissioned(); len(rig.effects) > 0 || mine.deleted {
			t.Errorf("status %d: request repeated at once, or machine deleted: %v", status, mine.deleted)
		}
		rig.now += deletionRetryDelay
		rig.runTimers()
	}
	rig.deleteDecommissioned()
	rig.answer(rig.sentOne(CloudDelete), CloudResult{Status: cloud.StatusOK})
	if !mine.deleted || other.deleted {
		t.Errorf("machine deleted: %v, another leader's machine deleted: %v", mine.deleted, other.deleted)
	}
}

// TestGivenUpAtOnce checks that a machine that is given up is deleted before the decision is stored, and
// that a later reason does not replace the first.
func TestGivenUpAtOnce(t *testing.T) {
	rig := newAutoscalerRig(t)
	m := rig.addMachine("m-1", 0)
	rig.decommission.giveUp("silent", m)
	rig.decommission.mark("idle", m)
	if rig.deleteDecommissioned(); !slices.Equal(rig.sentOne(CloudDelete).Machines.Names, []string{"m-1"}) || !rig.planNeeded {
		t.Errorf("machine not deleted, or no plan requested: %v", rig.planNeeded)
	}
}
