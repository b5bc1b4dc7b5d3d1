package controller

import (
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// TestReturnIdle checks which machines are decommissioned as idle.
func TestReturnIdle(t *testing.T) {
	task := schema.Task{Job: "j", Index: 1}
	for name, tc := range map[string]struct {
		change   func(*autoscalerRig, *machine)
		blocked  bool
		after    units.Micros
		returned bool
	}{
		"idle":             {after: 120 * units.Second, returned: true},
		"idle for a while": {after: units.Second},
		"drained":          {after: units.Second, change: func(_ *autoscalerRig, m *machine) { m.agent.startDraining() }, returned: true},
		"demand waits":     {after: 120 * units.Second, blocked: true},
		"not heard":        {after: 120 * units.Second, change: func(_ *autoscalerRig, m *machine) { m.agent.heardAt = 0 }},
		"has a task": {after: 120 * units.Second, change: func(r *autoscalerRig, m *machine) {
			r.place(m, task)
		}},
		"command in flight": {after: 120 * units.Second, change: func(_ *autoscalerRig, m *machine) { m.agent.command.send(1, 1) }},
		"another's machine": {after: 120 * units.Second, change: func(_ *autoscalerRig, m *machine) { m.agent = nil }},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			m := rig.addMachine("m-1", 0)
			rig.now += tc.after
			m.agent.heardAt = rig.now
			if tc.change != nil {
				tc.change(rig, m)
			}
			rig.returnIdle(tc.blocked, nil)
			if returned := m.agent != nil && m.agent.decommission.reason == "idle"; returned != tc.returned {
				t.Errorf("returned %v, want %v", returned, tc.returned)
			}
		})
	}
}

// TestDrainUnderused checks that only a few machines are drained at the same time, those with the least use
// first, and only while enough capacity stays free.
func TestDrainUnderused(t *testing.T) {
	task := schema.Task{Job: "j", Index: 1}
	for name, tc := range map[string]struct {
		machines int
		change   func(*autoscalerRig)
		want     []string
	}{
		"one machine, nothing free elsewhere": {machines: 1},
		"two of four":                         {machines: 4, want: []string{"m-1", "m-2"}},
		"the used one last": {machines: 3, want: []string{"m-2", "m-3"}, change: func(r *autoscalerRig) {
			r.place(r.replica.machines["m-1"], task)
		}},
		"not steadily within reach": {machines: 4, change: func(r *autoscalerRig) {
			for _, m := range r.replica.machines {
				m.agent.responses.givenSince = r.now + 1
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			for i := range tc.machines {
				rig.addMachine("m-"+string(rune('1'+i)), 0)
			}
			if tc.change != nil {
				tc.change(rig)
			}
			rig.now += steadyBeforeDrain + 1
			for _, m := range rig.replica.machines {
				m.agent.responses.givenAt = rig.now
			}
			rig.drainUnderused(false, nil)
			if draining := rig.drainingMachines(); !slices.Equal(draining, tc.want) {
				t.Errorf("draining %v, want %v", draining, tc.want)
			}
			rig.drainUnderused(true, nil) // unmet demand appears again
			if draining := rig.drainingMachines(); len(draining) > 0 {
				t.Errorf("still draining %v", draining)
			}
		})
	}
}

func (r *autoscalerRig) drainingMachines() []string {
	var draining []string
	for _, m := range r.replica.sortedMachines() {
		if m.agent.draining {
			draining = append(draining, m.name)
		}
	}
	return draining
}

// place adds a task of an accepted job to a machine.
func (r *autoscalerRig) place(m *machine, task schema.Task) {
	j := waitingJob(nil)
	j.id, j.accepted = task.Job, true
	r.replica.jobs[j.id] = j
	m.doc.Tasks = append(m.doc.Tasks, task)
}
