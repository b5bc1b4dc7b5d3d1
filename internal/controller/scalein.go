package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Limits on scaling in: each limit is the larger of a fixed number of machines and a fraction of the
// fleet.
const (
	minDrainingTogether  = 2  // machines drained at the same time
	drainingFleetDivisor = 20 // or 1/20 of the fleet
	minIdleReturned      = 1  // idle machines decommissioned in one second
	idleFleetDivisor     = 50 // or 1/50 of the fleet
)

// Conditions for draining a machine, and for decommissioning an idle one.
const (
	maxDrainableUse    = 0.6               // a machine is drained only while less than this fraction of its CPUs is used
	steadyBeforeDrain  = 30 * units.Second // how long a machine must have been reachable without interruption
	minSpareCPUs       = 8                 // CPUs that must stay free on other machines, however small the fleet is
	minIdlePeriod      = 30 * units.Second // lower bound of idlePeriod; drained machines need not be idle this long
	idleHeartbeatLimit = 2                 // heartbeat periods without a heartbeat after which a machine may be cut off
)

// idlePeriod returns how long a machine may be idle before it is decommissioned: about as long as it
// takes to rent another.
func (a *autoscaler) idlePeriod(machineType *cloud.MachineType) units.Micros {
	return max(minIdlePeriod, units.FromSeconds(machineType.BootSeconds*a.policy.ScaleInIdleBoots))
}

// longestIdlePeriod returns the idle period of the machine type that takes longest to boot.
func (a *autoscaler) longestIdlePeriod() units.Micros {
	var longest units.Micros
	for i := range a.catalog.types {
		longest = max(longest, a.idlePeriod(&a.catalog.types[i]))
	}
	return longest
}

// maxDraining returns how many machines may be drained at the same time.
func (a *autoscaler) maxDraining() int {
	return max(minDrainingTogether, len(a.replica.machines)/drainingFleetDivisor)
}

// maxIdleReturned returns how many idle machines may be decommissioned in one second.
func (a *autoscaler) maxIdleReturned() int {
	return max(minIdleReturned, len(a.replica.machines)/idleFleetDivisor)
}

// drainCandidate is a machine that may be drained.
type drainCandidate struct {
	machine     *machine
	machineType *cloud.MachineType
	usedCPUs    float64
	waste       float64 // hourly cost of its unused CPUs
}

// drainSurvey collects, in one pass over all machines, their use and the candidates for draining.
type drainSurvey struct {
	autoscaler *autoscaler
	blocked    bool   // no machine may be drained, because of present or recent unmet demand
	starving   []*job // a machine with capacity for one of these jobs is not drained

	freeCPUs, usedCPUs float64
	draining           int // machines that are already being drained
	candidates         []drainCandidate
}

// drainUnderused starts draining underused machines as long as the free capacity of the other machines
// can take their tasks and still leaves the spare capacity for new tasks. Machines with the highest waste
// go first.
func (a *autoscaler) drainUnderused(blocked bool, starving []*job) {
	survey := &drainSurvey{autoscaler: a, blocked: blocked, starving: starving}
	for _, m := range a.replica.sortedMachines() {
		if machineType := a.catalog.machineType(m.doc.Type); machineType != nil && m.commandingPartition() >= 0 {
			survey.add(m, machineType)
		}
	}
	if blocked {
		return
	}
	slices.SortStableFunc(survey.candidates, func(x, y drainCandidate) int { return cmp.Compare(y.waste, x.waste) })
	free := survey.freeCPUs
	for _, candidate := range survey.candidates {
		free -= candidate.machineType.CPUs // the candidate's own free capacity, plus what its tasks need elsewhere
		if survey.draining >= a.maxDraining() || free < max(minSpareCPUs, a.policy.SpareCapacityShare*survey.usedCPUs) {
			return
		}
		survey.draining++
		candidate.machine.agent.startDraining()
		a.log.Info("draining machine", "machine", candidate.machine.name, "used_cpus", candidate.usedCPUs, "free_elsewhere", free)
	}
}

// add adds one machine to the survey. It stops draining a machine that is needed again.
func (s *drainSurvey) add(m *machine, machineType *cloud.MachineType) {
	a := s.autoscaler
	capacity := a.capacity.freeCapacity(m, machineType)
	used := machineType.CPUs - capacity.cpus
	s.usedCPUs += used
	if m.agent == nil {
		if _, accepts := a.acceptance.foreignMachineAcceptsTasks(m); accepts {
			s.freeCPUs += machineType.CPUs - used
		}
		return
	}
	wanted := a.capacity.hasCapacityForAny(m, capacity, s.starving)
	if s.blocked || wanted {
		m.agent.stopDraining()
	}
	if m.agent.draining {
		s.draining++
		return
	}
	if !a.acceptance.acceptsTasks(m) {
		return
	}
	s.freeCPUs += machineType.CPUs - used
	if used/machineType.CPUs < maxDrainableUse && !wanted && a.steadilyReachable(m) {
		s.candidates = append(s.candidates, drainCandidate{m, machineType, used, machineType.HourlyRate(m.doc.Spot) * (1 - used/machineType.CPUs)})
	}
}

// steadilyReachable reports whether a machine has been reachable for some time without interruption. If
// not, it may be empty merely because it could not be reached.
func (a *autoscaler) steadilyReachable(m *machine) bool {
	return a.now-m.agent.since > steadyBeforeDrain && m.agent.responses.steady(a.now, a.cfg.Settings.HeartbeatPeriod(), steadyBeforeDrain)
}

// returnIdle decommissions idle machines, the most expensive first.
func (a *autoscaler) returnIdle(blocked bool, starving []*job) {
	var idle []*machine
	for _, m := range a.replica.sortedMachines() {
		machineType := a.catalog.machineType(m.doc.Type)
		if machineType == nil || m.agent == nil {
			continue
		}
		if blocked || !a.isIdle(m, machineType, starving) {
			m.agent.noteUsed(a.now)
			continue
		}
		idleLongEnough := a.now-m.agent.idleSince >= a.idlePeriod(machineType) || m.agent.draining
		if idleLongEnough && !m.agent.command.inFlight() && !m.agent.decommission.decided() {
			idle = append(idle, m)
		}
	}
	price := func(m *machine) float64 { return a.catalog.machineType(m.doc.Type).HourlyRate(m.doc.Spot) }
	slices.SortStableFunc(idle, func(x, y *machine) int { return cmp.Compare(price(y), price(x)) })
	a.decommission.mark("idle", idle[:min(len(idle), a.maxIdleReturned())]...)
}

// isIdle reports whether a machine has no task whose completion is not stored, and no capacity for a
// starving job. A machine without recent heartbeats may be cut off, so it does not count as idle.
func (a *autoscaler) isIdle(m *machine, machineType *cloud.MachineType, starving []*job) bool {
	if slices.ContainsFunc(m.doc.Tasks, func(task schema.Task) bool { return a.replica.jobOfUnstoredTask(task) != nil }) {
		return false
	}
	if a.now-m.agent.heardAt > idleHeartbeatLimit*a.cfg.Settings.HeartbeatPeriod() {
		return false
	}
	return len(starving) == 0 || !a.capacity.hasCapacityForAny(m, a.capacity.freeCapacity(m, machineType), starving)
}
