package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// agentState is the state that the controller that commands a machine keeps about the machine's worker
// agent. It is volatile: each leadership of the machine's partition begins with a new one, and it is never
// stored.
type agentState struct {
	leadership *leadership  // leadership under which the machine is commanded
	since      units.Micros // when this controller began to command the machine under it

	// State from the heartbeats: from periodic ones and from those that answer a probe or a direct
	// command.
	epoch        uint64
	sequence     uint64
	tokenSeen    uint64 // fencing token in the latest heartbeat; it never falls unless the agent restarts
	restart      restartState
	heardAt      units.Micros // when the latest heartbeat arrived; 0: none yet
	heardSince   units.Micros // since when heartbeats arrive without interruption
	leaseEnd     units.Micros // when the agent's lease has certainly expired unless it is renewed
	tasks        map[taskKey]agent.TaskStatus
	runningSince map[taskKey]runStart
	images       map[string]units.Micros // images known to be on the machine, and when each was last used
	notice       reclaimNotice
	completions  map[taskKey]completion // tasks that were seen to complete

	responses responseState
	command   directCommand
	fencing   startFencing
	probe     probe

	quarantine          quarantineState
	idleSince           units.Micros
	entriesBeingRemoved map[taskKey]bool // entries that a commit in flight removes from the document
	draining            bool             // takes no new tasks, so that the machine becomes empty and can be deleted
	decommission        decommissionDecision
}

// newAgentState returns the state of an agent that has not been heard yet. Another controller may go on
// renewing the agent's lease for one staleness bound after that controller's last proof of freshness, so
// the lease counts as renewed one staleness bound from now.
func newAgentState(led *leadership, now, stalenessBound, lease units.Micros) *agentState {
	state := &agentState{
		leadership: led, since: now, heardSince: now, idleSince: now,
		tasks: map[taskKey]agent.TaskStatus{}, runningSince: map[taskKey]runStart{},
		images: map[string]units.Micros{}, completions: map[taskKey]completion{},
		quarantine: quarantineState{failedJobs: map[string]bool{}},
	}
	state.extendLease(now+stalenessBound, lease)
	return state
}

// restartState is what is known of restarts of the agent, which reset its epoch, sequence and fencing token. Late
// copies of heartbeats from before a restart then seem to be the newest ones.
type restartState struct {
	token     uint64 // machine's fencing token at the last restart: heartbeats that show it may be from before
	suspected bool   // a heartbeat that seemed to be the newest one showed a lower fencing token
}

// restarted records that the agent was restarted while the machine's fencing token was the given one.
func (s *agentState) restarted(token uint64) {
	s.restart.token = token
	s.forgetEpoch()
}

// forgetEpoch clears the agent's epoch and the values that hold only within it; the agent was restarted.
func (s *agentState) forgetEpoch() {
	s.epoch, s.sequence, s.tokenSeen = 0, 0, 0
	s.runningSince = map[taskKey]runStart{}
}

// extendLease records that the agent may have renewed its lease at renewedAt.
func (s *agentState) extendLease(renewedAt, lease units.Micros) {
	s.leaseEnd = max(s.leaseEnd, renewedAt+lease+leaseMargin(lease))
}

// leaseMargin returns the time that is added to a lease for the drift of the monotonic clocks, and for
// messages that were in flight when the response was sent.
func leaseMargin(lease units.Micros) units.Micros {
	const driftDivisor = 500 // the clocks drift by at most one part in 500
	return lease/driftDivisor + units.Second
}

// startDraining keeps new tasks off the machine, so that it becomes empty and can be deleted.
func (s *agentState) startDraining() { s.draining = true }

// stopDraining lets the machine take new tasks again.
func (s *agentState) stopDraining() { s.draining = false }

// noteUsed records that the machine is in use now, which restarts its idle time.
func (s *agentState) noteUsed(now units.Micros) { s.idleSince = now }

// resetAfterZoneOutage discards the failed probes and ends the draining: during an outage of its zone the
// agent could not answer, and its machine only seemed to be unused.
func (s *agentState) resetAfterZoneOutage() {
	s.probe.failures = 0
	s.stopDraining()
}

// takesNewTasks reports whether the machine's state permits new tasks. It does not check whether the
// machine can be reached.
func (s *agentState) takesNewTasks() bool {
	return !s.notice.announced && !s.quarantine.active && !s.draining && !s.decommission.decided()
}

// sortedTasks returns the reported tasks in a fixed order, so that runs replay exactly.
func (s *agentState) sortedTasks() []taskKey {
	keys := make([]taskKey, 0, len(s.tasks))
	for key := range s.tasks {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.index, b.index), cmp.Compare(a.attempt, b.attempt))
	})
	return keys
}

// runStart is when a task was first seen running.
type runStart struct {
	at    units.Micros
	exact bool // the start was observed, so that the run time can be measured
}

// completion is when a task was seen to complete, and its run time.
type completion struct {
	seenAt units.Micros
	tenths int // 1 plus the run time in tenths of a second; 1 if the run time is not known
}

// reclaimNotice is the cloud's announcement that it will reclaim a spot machine.
type reclaimNotice struct {
	announced bool
	endsAt    units.Micros // when the machine is reclaimed
}

// expired reports whether the announced reclaim time has passed.
func (n reclaimNotice) expired(now units.Micros) bool { return n.announced && now > n.endsAt }

// probe is the state of the requests for an agent's heartbeat; at most one is in flight.
type probe struct {
	inFlight bool
	askedAt  units.Micros // when the fleet monitor last sent a probe
	failedAt units.Micros // when a probe last failed; 0: the latest one was answered
	failures int          // consecutive failures, with no heartbeat in between
}

// answered records that the agent has answered the probe.
func (p *probe) answered() { p.inFlight, p.failedAt = false, 0 }

// withdrawn records that the probe was not sent, which says nothing about the agent.
func (p *probe) withdrawn() { p.inFlight = false }

// failed records that the agent has not answered the probe.
func (p *probe) failed(now units.Micros) {
	p.inFlight, p.failedAt = false, now
	p.failures++
}

// minLostResponses is the number of consecutive heartbeats, each showing that earlier responses were lost,
// from which on a machine counts as unreachable outbound even without failed probes. Fewer may be due to
// random packet loss.
const minLostResponses = 3

// responseState records the responses to an agent's heartbeats, and the evidence that they get lost.
type responseState struct {
	givenAt    units.Micros // when the latest response was sent
	givenSince units.Micros // since when responses are sent without a pause longer than a lease
	startAt    units.Micros // when a response sent a start, while that start is open (fencing.go); 0: none
	token      uint64       // fencing token of the latest response
	lost       int          // consecutive heartbeats that show that responses do not arrive
}

// heartbeatReceived records a new heartbeat, which is about to be answered with a fencing token, and what
// the heartbeat shows about earlier responses. tokenShown is the token in the heartbeat; newEpoch says that
// the agent's lease has expired since the previous heartbeat.
//
// It detects a machine whose heartbeats arrive while responses and commands do not reach it. Such a machine
// looks alive, but its lease expires, which ends its tasks; a task whose stop command was lost runs until
// then.
func (r *responseState) heartbeatReceived(now, lease units.Micros, newEpoch bool, tokenShown, token uint64) {
	switch {
	case newEpoch && now-r.givenAt < lease && now-r.givenSince > lease:
		// The lease expired although heartbeats arrived and were answered throughout that time. A new
		// epoch alone proves nothing: after a network partition, the delayed heartbeats may arrive
		// together, or only one from the new epoch may arrive.
		r.lost = minLostResponses
	case tokenShown >= token:
		r.lost = 0
	case r.token == token:
		r.lost++ // an earlier response had this token, but the agent has not seen it
	}
	r.token = token
	if now-r.givenAt > lease {
		r.givenSince = now
	}
	r.givenAt = now
	r.startAt = 0
}

// steady reports whether heartbeats have arrived, and been answered, without interruption for longer than
// the given duration.
func (r *responseState) steady(now, heartbeatPeriod, duration units.Micros) bool {
	return now-r.givenAt < heardTimeout(heartbeatPeriod) && now-r.givenSince > duration
}

// heardTimeout returns how long after a heartbeat an agent still counts as heard.
func heardTimeout(heartbeatPeriod units.Micros) units.Micros { return 2*heartbeatPeriod + units.Second }

// decommissionDecision is the decision to delete a machine in the cloud. It is never revoked.
type decommissionDecision struct {
	reason             string // empty: no decision
	deleteBeforeStored bool   // the machine is deleted before the decision is stored
}

// decideDecommission decides to delete the machine; it returns false if that was already decided.
func (s *agentState) decideDecommission(reason string, deleteBeforeStored bool) bool {
	if s.decommission.decided() {
		return false
	}
	s.decommission = decommissionDecision{reason: reason, deleteBeforeStored: deleteBeforeStored}
	return true
}

func (d decommissionDecision) decided() bool { return d.reason != "" }
