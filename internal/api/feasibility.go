package api

import (
	"fmt"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/schema"
)

// CheckFeasible returns an *InfeasibleError if a job can never run, even on an idle cluster: if
// its team is unknown, if it needs more than the team's quota, or if no machine type
// fits one of its tasks in a zone that the job allows.
func CheckFeasible(job *schema.Job, teams []config.Team, types []cloud.MachineType) error {
	team := findTeam(teams, job.Team)
	switch {
	case team == nil:
		return &InfeasibleError{fmt.Errorf("%w %q", config.ErrUnknownTeam, job.Team)}
	case exceedsQuota(job, team):
		return &InfeasibleError{ErrOverQuota}
	case !fitsAnyType(job, types):
		return &InfeasibleError{ErrNoMachineType}
	}
	return nil
}

// findTeam returns the settings of a team, or nil. If several teams have the name, the last one counts.
func findTeam(teams []config.Team, name string) *config.Team {
	var found *config.Team
	for i := range teams {
		if teams[i].Name == name {
			found = &teams[i]
		}
	}
	return found
}

// exceedsQuota reports whether the tasks that must run at the same time need more than the team's quota:
// all tasks of a service, but only one of an array.
func exceedsQuota(job *schema.Job, team *config.Team) bool {
	tasksAtOnce := 1.0
	if job.Service {
		tasksAtOnce = float64(job.Tasks)
	}
	return team.QuotaCPUs > 0 && job.CPUs*tasksAtOnce > team.QuotaCPUs ||
		team.QuotaGPUs > 0 && job.GPUs*tasksAtOnce > team.QuotaGPUs
}

// fitsAnyType reports whether a task fits some machine type that is offered in an allowed zone.
func fitsAnyType(job *schema.Job, types []cloud.MachineType) bool {
	for i := range types {
		if TaskFits(job, &types[i]) && offeredInZone(&types[i], job.Zone) {
			return true
		}
	}
	return false
}

// offeredInZone reports whether a type is offered in the zone; if zone is empty, in any zone.
func offeredInZone(machineType *cloud.MachineType, zone string) bool {
	if zone == "" {
		return len(machineType.Zones) > 0
	}
	return slices.Contains(machineType.Zones, zone)
}

// TaskFits reports whether a task of the job fits on an empty machine of the type.
func TaskFits(job *schema.Job, machineType *cloud.MachineType) bool {
	return AllowsType(job, machineType.Name) && job.CPUs <= machineType.CPUs && job.GPUs <= machineType.GPUs && job.MemGB <= machineType.MemGB
}

// AllowsType reports whether the job allows the machine type: it lists the type, or lists none.
func AllowsType(job *schema.Job, name string) bool {
	return len(job.Types) == 0 || slices.Contains(job.Types, name)
}
