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
	name  string
	g     *machineShard
	doc   schema.Machine
	rt    *runtime
	gone  bool    // the cloud has confirmed its deletion: the entry may go
	views [2]view // kept for plans: as somebody else sees it, and as its commander does

	enteredAt map[taskKey]units.Micros // when each task of its entry was first seen there
}

// part is the partition that commands the machine; -1 when it is retired:
// nobody answers for it any more.
func (m *machine) part() int {
	if m.doc.Retired {
		return -1
	}
	return m.g.part
}

type taskKey struct {
	job     string
	num     int
	attempt uint64
}

func keyOf(t schema.Task) taskKey { return taskKey{t.Job, t.Num, t.Attempt} }

func (k taskKey) task() string { return k.job + "/" + strconv.Itoa(k.num) }

// runtime is the owner's volatile view of a machine.
type runtime struct {
	owner    *ownedPartition
	session  uint64
	seq      uint64
	seen     uint64       // highest token that a report has shown
	heardAt  units.Micros // latest new report or direct answer; 0: none yet
	contact  units.Micros // since when it has been heard without a gap
	answered units.Micros // when a report of it was last answered
	steady   units.Micros // since when they have been, without a gap of a lease
	since    units.Micros
	leaseEnd units.Micros // when its session is over for certain if it stays silent

	launchAt units.Micros // when a report was last answered with a launch, and no later report has come; 0: none

	out            int    // direct commands without an answer yet
	unclear        bool   // a direct command got no answer: it may be carried out late
	unclearToken   uint64 // under this token
	unclearSession uint64 // in this session

	pieces         map[taskKey]agent.Piece
	runs           map[taskKey]runMark
	images         map[string]units.Micros
	hasNotice      bool
	noticeEnds     units.Micros
	ended          map[taskKey]endedTask // tasks seen to complete
	errors         map[string]bool       // jobs with a task that failed here
	answeredToken  uint64                // token of the latest answer
	unheardAnswers int                   // reports in a row that show that answers do not arrive
	probing        bool
	probeAt        units.Micros
	probeBad       units.Micros // when a probe last failed
	failed         int          // probes in a row that failed, with no report between
	suspect        bool
	suspectSince   units.Micros // since when
	idleAt         units.Micros
	leaving        map[taskKey]bool // entries that a write under way takes off the document
	draining       bool             // takes no new work, so that it can be given back
	urgent         bool             // it is deleted before that is written down
	retire         string           // why it is to be given back; empty: it is not
}

// endedTask is when a task was seen to complete, and 1 plus the tenths of a second that it ran.
type endedTask struct {
	at     units.Micros
	tenths int
}

type runMark struct {
	at    units.Micros
	exact bool // seen to start, so the length can be known
}

// margin on top of a lease for drift of the steady clocks and for messages
// under way when the answer was given.
func leaseMargin(l units.Micros) units.Micros { return l/500 + units.Second }

// acquire begins a new view of a machine. Another owner may have answered it
// until it had to stop doing so, one AnswerBound after its last proof.
func (c *Core) acquire(m *machine, o *ownedPartition) {
	l := c.cfg.Settings.Lease()
	m.touch()
	m.rt = &runtime{
		owner: o, since: c.now, contact: c.now, idleAt: c.now,
		leaseEnd: c.now + c.cfg.Settings.AnswerBound() + l + leaseMargin(l),
		pieces:   map[taskKey]agent.Piece{}, runs: map[taskKey]runMark{},
		images: map[string]units.Micros{}, errors: map[string]bool{}, ended: map[taskKey]endedTask{},
	}
	c.inspect(m)
}

// token strictly grows with every handover of the machine and every take-over
// of its partition.
func (c *Core) token(m *machine) uint64 {
	p := c.replica.parts[m.g.part]
	if p == nil {
		return 0
	}
	return (m.g.handover+m.doc.Handover)<<31 | p.doc.Epoch
}

// settled reports whether no command that could still surprise is under way:
// the machine has seen the current token, no direct command is unanswered, and no launch
// is on its way in the answer to a report. Only then does absence from a report prove that
// a task is not there.
func (c *Core) settled(m *machine) bool {
	rt := m.rt
	return rt.heardAt > 0 && rt.seen == c.token(m) && rt.out == 0 && !rt.unclear && c.now > rt.launchOver()
}

// answerLife is how long after it was given a worker may still act on the answer to a
// report, with some time for the drift of the clocks.
const answerLife = 4*units.Second + 50*units.Millisecond

// launchOver is until when a launch that was given in the answer to a report may arrive. A
// worker sends its next report only when it has that answer, or waits for it no more. A task
// whose launch was held up on its way was once taken to be free, since the machine's direct
// answers did not show it, and ran on two machines.
func (rt *runtime) launchOver() units.Micros {
	if rt.launchAt == 0 {
		return 0
	}
	return rt.launchAt + answerLife
}

// steady reports whether the machine's reports have come, and been answered, for so
// long without a gap.
func (c *Core) steady(m *machine, long units.Micros) bool {
	return c.now-m.rt.answered < 2*c.cfg.Settings.Report()+units.Second && c.now-m.rt.steady > long
}

// mute reports whether a machine answers what it is asked while none of its reports
// has come for longer than a lease. Direct commands renew no lease, so all that it
// is given ends with its session, again and again.
func (c *Core) mute(m *machine) bool {
	heard := max(m.rt.answered, m.rt.contact, c.entitledAt)
	return c.now-heard > c.cfg.Settings.Lease()+2*c.cfg.Settings.Report()
}

// sorted gives the reported tasks in a fixed order, so that runs replay exactly.
func (rt *runtime) sorted() []taskKey {
	ks := make([]taskKey, 0, len(rt.pieces))
	for k := range rt.pieces {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.num, b.num), cmp.Compare(a.attempt, b.attempt))
	})
	return ks
}

// live is the job of a bound task that is not known to be done, or nil.
func (c *Core) live(t schema.Task) *job {
	if j := c.replica.jobs[t.Job]; j != nil && j.known && !j.isDone(t.Num) {
		return j
	}
	return nil
}

// unstored is the job of a bound task whose end is not stored yet, or nil. It
// says the same on every controller.
func (c *Core) unstored(t schema.Task) *job {
	if j := c.replica.jobs[t.Job]; j != nil && j.known && !j.done.Has(t.Num) {
		return j
	}
	return nil
}
