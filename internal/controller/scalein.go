package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Limits of scaling in: a few machines of a small fleet, a small part of a large one.
const (
	minDrainingTogether  = 2
	drainingFleetDivisor = 20
	minIdleReturned      = 1 // in one second
	idleFleetDivisor     = 50
)

// What a machine must show to be drained, and what must stay free elsewhere.
const (
	maxDrainableUse    = 0.6 // of its CPUs
	steadyBeforeDrain  = 30 * units.Second
	minSpareCPUs       = 8 // free elsewhere, however small the fleet is
	minIdlePeriod      = 30 * units.Second
	idleHeartbeatLimit = 2 // heartbeat periods without a heartbeat after which a machine may be cut off
)

// idlePeriod is how long a machine may have nothing to do before it is deleted: about as long as it would
// take to get another.
func (a *autoscaler) idlePeriod(machineType *cloud.MachineType) units.Micros {
	return max(minIdlePeriod, units.FromSeconds(machineType.BootSeconds*a.policy.ScaleInIdleBoots))
}

// longestIdlePeriod is that of the type that takes longest to boot.
func (a *autoscaler) longestIdlePeriod() units.Micros {
	var longest units.Micros
	for i := range a.catalog.types {
		longest = max(longest, a.idlePeriod(&a.catalog.types[i]))
	}
	return longest
}

// maxDraining is how many machines may be drained together.
func (a *autoscaler) maxDraining() int {
	return max(minDrainingTogether, len(a.replica.machines)/drainingFleetDivisor)
}

// maxIdleReturned is how many machines may be decommissioned for being idle in one second.
func (a *autoscaler) maxIdleReturned() int {
	return max(minIdleReturned, len(a.replica.machines)/idleFleetDivisor)
}

// drainCandidate is a machine that may be drained.
type drainCandidate struct {
	machine     *machine
	machineType *cloud.MachineType
	usedCPUs    float64
	waste       float64 // what its unused part costs, by the hour
}

// drainSurvey is what one look at all machines shows of their use.
type drainSurvey struct {
	autoscaler *autoscaler
	waiting    bool   // much waits: none may be drained
	starving   []*job // whose tasks no machine that has capacity for them may be kept from

	freeCPUs, usedCPUs float64
	draining           int // machines that are drained already
	candidates         []drainCandidate
}

// drainUnderused chooses machines that are little used to be drained, as far as the free capacity elsewhere
// takes what is on them and leaves some for new tasks. Those that waste most go first.
func (a *autoscaler) drainUnderused(waiting bool, starving []*job) {
	survey := &drainSurvey{autoscaler: a, waiting: waiting, starving: starving}
	for _, m := range a.replica.sortedMachines() {
		if machineType := a.catalog.machineType(m.doc.Type); machineType != nil && m.part() >= 0 {
			survey.add(m, machineType)
		}
	}
	if waiting {
		return
	}
	slices.SortStableFunc(survey.candidates, func(x, y drainCandidate) int { return cmp.Compare(y.waste, x.waste) })
	free := survey.freeCPUs
	for _, candidate := range survey.candidates {
		free -= candidate.machineType.CPUs // its own free capacity, and what its tasks take elsewhere
		if survey.draining >= a.maxDraining() || free < max(minSpareCPUs, a.policy.SpareCapacityShare*survey.usedCPUs) {
			return
		}
		survey.draining++
		candidate.machine.agent.startDraining()
		a.log.Info("draining machine", "machine", candidate.machine.name, "used_cpus", candidate.usedCPUs, "free_elsewhere", free)
	}
}

// add takes one machine into the survey. It ends the draining of a machine that is wanted again.
func (s *drainSurvey) add(m *machine, machineType *cloud.MachineType) {
	a := s.autoscaler
	capacity := a.capacity.freeCapacity(m, machineType)
	used := machineType.CPUs - capacity.cpus
	s.usedCPUs += used
	if m.agent == nil {
		if _, open := a.acceptance.foreignMachineOpen(m); open {
			s.freeCPUs += machineType.CPUs - used
		}
		return
	}
	wanted := a.capacity.hasCapacityForAny(m, capacity, s.starving)
	if s.waiting || wanted {
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
	if used/machineType.CPUs < maxDrainableUse && !wanted && a.reachedSteadily(m) {
		s.candidates = append(s.candidates, drainCandidate{m, machineType, used, machineType.HourlyRate(m.doc.Spot) * (1 - used/machineType.CPUs)})
	}
}

// reachedSteadily reports whether a machine has been within reach for some time. One that was not may be
// empty for that reason alone.
func (a *autoscaler) reachedSteadily(m *machine) bool {
	return a.now-m.agent.since > steadyBeforeDrain && m.agent.responses.steady(a.now, a.cfg.Settings.HeartbeatPeriod(), steadyBeforeDrain)
}

// returnIdle decommissions machines that have nothing to do, the dearest first.
func (a *autoscaler) returnIdle(waiting bool, starving []*job) {
	var idle []*machine
	for _, m := range a.replica.sortedMachines() {
		machineType := a.catalog.machineType(m.doc.Type)
		if machineType == nil || m.agent == nil {
			continue
		}
		if waiting || !a.isIdle(m, machineType, starving) {
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

// isIdle reports whether a machine has nothing to do, and nothing to wait for. One that is not heard may be
// cut off, and is not idle for sure.
func (a *autoscaler) isIdle(m *machine, machineType *cloud.MachineType, starving []*job) bool {
	if slices.ContainsFunc(m.doc.Tasks, func(task schema.Task) bool { return a.replica.unstoredJobOf(task) != nil }) {
		return false
	}
	if a.now-m.agent.heardAt > idleHeartbeatLimit*a.cfg.Settings.HeartbeatPeriod() {
		return false
	}
	return len(starving) == 0 || !a.capacity.hasCapacityForAny(m, a.capacity.freeCapacity(m, machineType), starving)
}
