package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// agentState is what the controller that commands a machine knows of its worker agent. It is volatile:
// it begins anew with each leadership of the machine's partition, and is never stored.
type agentState struct {
	leadership *leadership  // under which the machine is commanded
	since      units.Micros // when that began

	// What the latest heartbeat has shown. It may have come by itself, or as the answer to a probe or a
	// direct command.
	epoch        uint64
	sequence     uint64
	tokenSeen    uint64       // highest fencing token that a heartbeat has shown
	heardAt      units.Micros // when it came; 0: none yet
	heardSince   units.Micros // since when they come without interruption
	leaseEnd     units.Micros // when the agent's lease has expired for certain if it stays silent
	tasks        map[taskKey]agent.TaskStatus
	runningSince map[taskKey]runStart
	images       map[string]units.Micros // images that are surely there, and when they were last used
	notice       reclaimNotice
	completions  map[taskKey]completion // tasks seen to complete

	responses responseState
	command   directCommand
	probe     probe

	quarantine     quarantineState
	idleSince      units.Micros
	entriesLeaving map[taskKey]bool // entries that a write under way takes off the document
	draining       bool             // takes no new work, so that it can be given back
	decommission   decommissionDecision
}

// newAgentState knows nothing of an agent yet. Another controller may have answered it until it had to
// stop doing so, one staleness bound after its last proof of freshness.
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

// forgetEpoch forgets which epoch the agent is in, since it was restarted.
func (s *agentState) forgetEpoch() {
	s.epoch, s.sequence, s.tokenSeen = 0, 0, 0
	s.runningSince = map[taskKey]runStart{}
}

// extendLease notes that the agent may have renewed its lease at a moment.
func (s *agentState) extendLease(renewedAt, lease units.Micros) {
	s.leaseEnd = max(s.leaseEnd, renewedAt+lease+leaseMargin(lease))
}

// leaseMargin is added to a lease for the drift of the steady clocks, and for messages under way when
// the response was given.
func leaseMargin(lease units.Micros) units.Micros {
	const maxDrift = 500 // one part in so many
	return lease/maxDrift + units.Second
}

// startDraining keeps new tasks away, so that the machine can be deleted when it is empty.
func (s *agentState) startDraining() { s.draining = true }

// stopDraining lets the machine have tasks again.
func (s *agentState) stopDraining() { s.draining = false }

// noteUsed notes that the machine is not idle.
func (s *agentState) noteUsed(now units.Micros) { s.idleSince = now }

// forgiveSilence forgets what the agent did not answer, and that its machine seemed not to be used.
func (s *agentState) forgiveSilence() {
	s.probe.failures = 0
	s.stopDraining()
}

// takesNewTasks reports whether nothing speaks against new tasks on the machine. Whether it is reached
// is another question.
func (s *agentState) takesNewTasks() bool {
	return !s.notice.announced && !s.quarantine.active && !s.draining && !s.decommission.decided()
}

// sortedTasks lists the reported tasks in a fixed order, so that runs replay exactly.
func (s *agentState) sortedTasks() []taskKey {
	keys := make([]taskKey, 0, len(s.tasks))
	for key := range s.tasks {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.num, b.num), cmp.Compare(a.attempt, b.attempt))
	})
	return keys
}

// runStart is when a task was first seen running.
type runStart struct {
	at    units.Micros
	exact bool // seen to start, so the length can be known
}

// completion is when a task was seen to complete, and 1 plus the tenths of a second that it ran.
type completion struct {
	seenAt units.Micros
	tenths int
}

// reclaimNotice is the cloud's announcement that it reclaims a spot machine.
type reclaimNotice struct {
	announced bool
	endsAt    units.Micros // when it is taken
}

// expired reports whether the announced moment has passed.
func (n reclaimNotice) expired(now units.Micros) bool { return n.announced && now > n.endsAt }

// probe is the question to an agent for its heartbeat; there is one at a time.
type probe struct {
	inFlight bool
	askedAt  units.Micros // when the fleet monitor last asked for one
	failedAt units.Micros // when one last failed; 0: the latest was answered
	failures int          // in a row, with no heartbeat between
}

// answered notes that the agent has answered.
func (p *probe) answered() { p.inFlight, p.failedAt = false, 0 }

// withdrawn notes that the probe did not leave: that says nothing of the agent.
func (p *probe) withdrawn() { p.inFlight = false }

// failed notes that it has not.
func (p *probe) failed(now units.Micros) {
	p.inFlight, p.failedAt = false, now
	p.failures++
}

// maxLostResponses is how many heartbeats in a row may show that the responses before them were lost.
// Fewer may be the luck of a bad network.
const maxLostResponses = 3

// responseState is what is known of the responses to an agent's heartbeats.
type responseState struct {
	givenAt    units.Micros // when the latest was given
	givenSince units.Micros // since when they are given, without a pause as long as a lease
	startAt    units.Micros // when one with a start was given, and no later heartbeat has come; 0: none
	token      uint64       // fencing token of the latest
	lost       int          // heartbeats in a row that show that responses do not arrive
}

// heartbeatCame notes a new heartbeat that is about to be answered with a fencing token, and what it
// tells of the responses before it. tokenShown is the token that it shows; newEpoch says that the
// agent's lease has expired since the last.
//
// It notices a machine whose heartbeats arrive while nothing reaches it: it looks alive, but its lease
// expires and takes its tasks with it, and what it is told to stop goes on until then.
func (r *responseState) heartbeatCame(now, lease units.Micros, newEpoch bool, tokenShown, token uint64) {
	switch {
	case newEpoch && now-r.givenAt < lease && now-r.givenSince > lease:
		// The lease expired though heartbeats came, and were answered, for all that time. After a
		// cut they may come all at once, or only the new epoch, which says nothing.
		r.lost = maxLostResponses
	case tokenShown >= token:
		r.lost = 0
	case r.token == token:
		r.lost++ // an earlier response had this token, and the agent has not seen it
	}
	r.token = token
	if now-r.givenAt > lease {
		r.givenSince = now
	}
	r.givenAt = now
	r.startAt = 0
}

// steady reports whether heartbeats have come, and been answered, for so long without interruption.
func (r *responseState) steady(now, heartbeatPeriod, long units.Micros) bool {
	return now-r.givenAt < silenceAfter(heartbeatPeriod) && now-r.givenSince > long
}

// silenceAfter is how long after a heartbeat an agent counts as heard.
func silenceAfter(heartbeatPeriod units.Micros) units.Micros { return 2*heartbeatPeriod + units.Second }

// decommissionDecision is the decision to delete a machine in the cloud. It is never revoked.
type decommissionDecision struct {
	reason string // empty: there is none
	atOnce bool   // the machine is deleted before that is written down
}

// decideDecommission decides to delete the machine, and reports whether that is new.
func (s *agentState) decideDecommission(reason string, atOnce bool) bool {
	if s.decommission.decided() {
		return false
	}
	s.decommission = decommissionDecision{reason: reason, atOnce: atOnce}
	return true
}

func (d decommissionDecision) decided() bool { return d.reason != "" }
