package controller

import (
	"cmp"
	"slices"
	"strconv"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// machine is one machine: its stored document, and rt, what its owner has
// learnt of it since it became the owner.
type machine struct {
	name        string
	shard       *machineShard
	doc         schema.Machine
	agent       *agentState
	deleted     bool         // the cloud has confirmed its deletion: the entry may go
	occupancies [2]occupancy // kept for plans: as somebody else sees it, and as its commander does

	entrySeenAt map[taskKey]units.Micros // when each task of its entry was first seen there
}

// part is the partition that commands the machine; -1 when it is retired:
// nobody answers for it any more.
func (m *machine) part() int {
	if m.doc.Decommissioned {
		return -1
	}
	return m.shard.partition
}

type taskKey struct {
	job     string
	num     int
	attempt uint64
}

func keyOf(t schema.Task) taskKey { return taskKey{t.Job, t.Index, t.Attempt} }

func (k taskKey) task() string { return k.job + "/" + strconv.Itoa(k.num) }

// agentState is the owner's volatile view of a machine.
type agentState struct {
	leadership    *leadership
	epoch         uint64
	sequence      uint64
	tokenSeen     uint64       // highest token that a report has shown
	heardAt       units.Micros // latest new report or direct answer; 0: none yet
	heardSince    units.Micros // since when it has been heard without a gap
	answeredAt    units.Micros // when a report of it was last answered
	answeredSince units.Micros // since when they have been, without a gap of a lease
	since         units.Micros
	leaseEnd      units.Micros // when its session is over for certain if it stays silent

	startAnsweredAt units.Micros // when a report was last answered with a launch, and no later report has come; 0: none

	commandsInFlight int    // direct commands without an answer yet
	commandUnclear   bool   // a direct command got no answer: it may be carried out late
	unclearToken     uint64 // under this token
	unclearEpoch     uint64 // in this session

	tasks              map[taskKey]agent.TaskStatus
	runningSince       map[taskKey]runStart
	images             map[string]units.Micros
	hasNotice          bool
	noticeEnds         units.Micros
	completions        map[taskKey]completion // tasks seen to complete
	failedJobs         map[string]bool        // jobs with a task that failed here
	answeredToken      uint64                 // token of the latest answer
	unheardAnswers     int                    // reports in a row that show that answers do not arrive
	probing            bool
	probedAt           units.Micros
	probeFailedAt      units.Micros // when a probe last failed
	failedProbes       int          // probes in a row that failed, with no report between
	quarantined        bool
	quarantinedAt      units.Micros // since when
	idleSince          units.Micros
	entriesLeaving     map[taskKey]bool // entries that a write under way takes off the document
	draining           bool             // takes no new work, so that it can be given back
	deleteAtOnce       bool             // it is deleted before that is written down
	decommissionReason string           // why it is to be given back; empty: it is not
}

// completion is when a task was seen to complete, and 1 plus the tenths of a second that it ran.
type completion struct {
	seenAt units.Micros
	tenths int
}

type runStart struct {
	at    units.Micros
	exact bool // seen to start, so the length can be known
}

// margin on top of a lease for drift of the steady clocks and for messages
// under way when the answer was given.
func leaseMargin(l units.Micros) units.Micros { return l/500 + units.Second }

// beginCommand begins a new view of a machine. Another owner may have answered it
// until it had to stop doing so, one AnswerBound after its last proof.
func (c *Controller) beginCommand(m *machine, o *leadership) {
	l := c.cfg.Settings.Lease()
	m.forgetOccupancy()
	m.agent = &agentState{
		leadership: o, since: c.now, heardSince: c.now, idleSince: c.now,
		leaseEnd: c.now + c.cfg.Settings.StalenessBound() + l + leaseMargin(l),
		tasks:    map[taskKey]agent.TaskStatus{}, runningSince: map[taskKey]runStart{},
		images: map[string]units.Micros{}, failedJobs: map[string]bool{}, completions: map[taskKey]completion{},
	}
	c.inspect(m)
}

// fencingToken strictly grows with every handover of the machine and every take-over
// of its partition.
func (c *Controller) fencingToken(m *machine) uint64 {
	p := c.replica.partitions[m.shard.partition]
	if p == nil {
		return 0
	}
	return (m.shard.handover+m.doc.TokenIncrements)<<31 | p.doc.Term
}

// quiesced reports whether no command that could still surprise is under way:
// the machine has seen the current token, no direct command is unanswered, and no launch
// is on its way in the answer to a report. Only then does absence from a report prove that
// a task is not there.
func (c *Controller) quiesced(m *machine) bool {
	rt := m.agent
	return rt.heardAt > 0 && rt.tokenSeen == c.fencingToken(m) && rt.commandsInFlight == 0 && !rt.commandUnclear && c.now > rt.startExpiredAt()
}

// responseLife is how long after it was given a worker may still act on the answer to a
// report, with some time for the drift of the clocks.
const responseLife = 4*units.Second + 50*units.Millisecond

// startExpiredAt is until when a launch that was given in the answer to a report may arrive. A
// worker sends its next report only when it has that answer, or waits for it no more. A task
// whose launch was held up on its way was once taken to be free, since the machine's direct
// answers did not show it, and ran on two machines.
func (rt *agentState) startExpiredAt() units.Micros {
	if rt.startAnsweredAt == 0 {
		return 0
	}
	return rt.startAnsweredAt + responseLife
}

// answeredSteadily reports whether the machine's reports have come, and been answered, for so
// long without a gap.
func (c *Controller) answeredSteadily(m *machine, long units.Micros) bool {
	return c.now-m.agent.answeredAt < 2*c.cfg.Settings.HeartbeatPeriod()+units.Second && c.now-m.agent.answeredSince > long
}

// unreachableInbound reports whether a machine answers what it is asked while none of its reports
// has come for longer than a lease. Direct commands renew no lease, so all that it
// is given ends with its session, again and again.
func (c *Controller) unreachableInbound(m *machine) bool {
	heard := max(m.agent.answeredAt, m.agent.heardSince, c.authority.since)
	return c.now-heard > c.cfg.Settings.Lease()+2*c.cfg.Settings.HeartbeatPeriod()
}

// sortedTasks gives the reported tasks in a fixed order, so that runs replay exactly.
func (rt *agentState) sortedTasks() []taskKey {
	ks := make([]taskKey, 0, len(rt.tasks))
	for k := range rt.tasks {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.num, b.num), cmp.Compare(a.attempt, b.attempt))
	})
	return ks
}

// unfinishedJobOf is the job of a bound task that is not known to be done, or nil.
func (c *Controller) unfinishedJobOf(t schema.Task) *job {
	if j := c.replica.jobs[t.Job]; j != nil && j.accepted && !j.isDone(t.Index) {
		return j
	}
	return nil
}

// unstoredJobOf is the job of a bound task whose end is not stored yet, or nil. It
// says the same on every controller.
func (c *Controller) unstoredJobOf(t schema.Task) *job {
	if j := c.replica.jobs[t.Job]; j != nil && j.accepted && !j.done.Contains(t.Index) {
		return j
	}
	return nil
}
