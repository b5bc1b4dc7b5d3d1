package api

import (
	"errors"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/schema"
)

// TestCheckFeasible checks the error of infeasible jobs, and its text, which users see.
func TestCheckFeasible(t *testing.T) {
	teams := []config.Team{{Name: "vision", QuotaCPUs: 32, QuotaGPUs: 2}, {Name: "open"}}
	types := []cloud.MachineType{
		{Name: "g8", CPUs: 8, GPUs: 1, MemGB: 64, Zones: []string{"a"}},
		{Name: "m16", CPUs: 16, MemGB: 32, Zones: []string{"b", "c"}},
	}
	for name, tc := range map[string]struct {
		job  schema.Job
		want error
		text string
	}{
		"fits":                     {schema.Job{Team: "vision", Tasks: 9, CPUs: 8, GPUs: 1, MemGB: 64}, nil, ""},
		"service within quota":     {schema.Job{Team: "vision", Service: true, Tasks: 4, CPUs: 8}, nil, ""},
		"service over CPU quota":   {schema.Job{Team: "vision", Service: true, Tasks: 5, CPUs: 8}, ErrOverQuota, "needs more than the team's limit"},
		"service over GPU quota":   {schema.Job{Team: "vision", Service: true, Tasks: 3, CPUs: 1, GPUs: 1}, ErrOverQuota, "needs more than the team's limit"},
		"no quota":                 {schema.Job{Team: "open", Service: true, Tasks: 99, CPUs: 8, GPUs: 1}, nil, ""},
		"unknown team":             {schema.Job{Team: "x", Tasks: 1, CPUs: 1}, config.ErrUnknownTeam, `unknown team "x"`},
		"too many CPUs":            {schema.Job{Team: "open", Tasks: 1, CPUs: 17}, ErrNoMachineType, "a task fits no allowed machine type"},
		"no type has both":         {schema.Job{Team: "open", Tasks: 1, CPUs: 16, GPUs: 1}, ErrNoMachineType, "a task fits no allowed machine type"},
		"type not allowed":         {schema.Job{Team: "open", Tasks: 1, CPUs: 16, Types: []string{"g8"}}, ErrNoMachineType, "a task fits no allowed machine type"},
		"type not in allowed zone": {schema.Job{Team: "open", Tasks: 1, CPUs: 16, Zone: "a"}, ErrNoMachineType, "a task fits no allowed machine type"},
		"type in allowed zone":     {schema.Job{Team: "open", Tasks: 1, CPUs: 16, Zone: "c"}, nil, ""},
	} {
		err := CheckFeasible(&tc.job, teams, types)
		if tc.want == nil {
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		var infeasible *InfeasibleError
		if !errors.As(err, &infeasible) || !errors.Is(err, tc.want) || err.Error() != tc.text {
			t.Errorf("%s: %v, want %q", name, err, tc.text)
		}
	}
}
