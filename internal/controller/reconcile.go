package controller

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// answerHeartbeats answers the reports of a step. They wait until it has read all else that it was
// given: an answer that starts a task must not leave beside the news that cancels its job.
func (c *Controller) answerHeartbeats() {
	reports := c.agents.heartbeats
	c.agents.heartbeats = nil
	for _, q := range reports {
		c.answerHeartbeat(q)
	}
}

// answerHeartbeat answers a worker.
func (c *Controller) answerHeartbeat(q HeartbeatRequest) {
	r := &q.Heartbeat
	if !c.replica.synced || r.Machine == "" {
		c.reply(q.RequestID, http.StatusServiceUnavailable, nil)
		return
	}
	m := c.replica.machines[r.Machine]
	if m == nil {
		c.registerAgent(q)
		return
	}
	if m.doc.Decommissioned { // nobody answers for it any more
		c.reply(q.RequestID, http.StatusMisdirectedRequest, agent.Redirect{})
		return
	}
	if c.partitions.led[m.shard.partition] == nil {
		c.agents.heardAt[r.Machine] = c.now
		c.reply(q.RequestID, http.StatusMisdirectedRequest, agent.Redirect{LeaderAddr: c.leaderOf(m.shard.partition)})
		return
	}
	tok := c.fencingToken(m)
	if r.FencingToken > tok || m.agent == nil {
		// Somebody newer commands it. A 200 from here would be dropped and the
		// machine held at this node while its lease runs out.
		c.reply(q.RequestID, http.StatusMisdirectedRequest, agent.Redirect{})
		return
	}
	if !c.leads(m.shard.partition) {
		c.reply(q.RequestID, http.StatusServiceUnavailable, nil)
		return
	}
	if r.Newer(m.agent.epoch, m.agent.sequence) { // a late copy is no sign of life
		c.agents.heardAt[r.Machine] = c.now
		c.noteResponseReceived(m, r, tok)
		if c.now-m.agent.answeredAt > c.cfg.Settings.Lease() {
			m.agent.answeredSince = c.now
		}
		m.agent.answeredAt = c.now
		m.agent.startAnsweredAt = 0
	}
	c.reconcile(m, r)
	l := c.cfg.Settings.Lease()
	m.agent.leaseEnd = max(m.agent.leaseEnd, c.now+l+leaseMargin(l))
	orders, ok := c.auditCommands(m, c.commandsFor(m))
	if !ok {
		c.reply(q.RequestID, http.StatusServiceUnavailable, nil)
		return
	}
	if slices.ContainsFunc(orders, func(o agent.Command) bool { return o.Action == agent.Start }) {
		m.agent.startAnsweredAt = c.now
	}
	c.reply(q.RequestID, http.StatusOK, agent.HeartbeatResponse{FencingToken: tok, Commands: orders})
}

// maxUnheardAnswers is how many reports in a row may show that the answers before them
// were lost. Fewer may be the luck of a bad network.
const maxUnheardAnswers = 3

// noteResponseReceived notices a machine whose reports arrive while nothing reaches it: it
// looks alive, but its lease runs out and takes its tasks with it, and what it
// is told to stop goes on until then.
func (c *Controller) noteResponseReceived(m *machine, r *agent.Heartbeat, tok uint64) {
	rt := m.agent
	switch {
	case rt.epoch > 0 && r.Epoch > rt.epoch && c.now-rt.answeredAt < c.cfg.Settings.Lease() && c.now-rt.answeredSince > c.cfg.Settings.Lease():
		// Its lease ran out though its reports came, and were answered, for all that
		// time. After a cut they may come all at once, or only the new session, which
		// says nothing.
		rt.unheardAnswers = maxUnheardAnswers
	case r.FencingToken >= tok:
		rt.unheardAnswers = 0
	case rt.answeredToken == tok:
		rt.unheardAnswers++ // an earlier answer had this token, and it has not seen it
	}
	rt.answeredToken = tok
}

// leaderOf names the member that owns a partition, if it lives and is another.
func (c *Controller) leaderOf(part int) string {
	if p := c.replica.partitions[part]; p != nil && c.replica.leaderRegistered(p) && p.doc.Member != c.cfg.Member {
		return p.doc.Member
	}
	return ""
}

// registerAgent is a machine that nobody knows: one that was there at the start, or
// came of a rental whose answer was lost or late. The owner of its machine shard's
// partition enters it. First the machine itself must answer: a report may be a
// late copy from a machine that is long gone, and must not bring it back.
func (c *Controller) registerAgent(q HeartbeatRequest) {
	r := &q.Heartbeat
	c.agents.heardAt[r.Machine] = c.now
	g := c.replica.machineShardOf(r.Machine)
	if c.partitions.led[g.partition] == nil {
		c.reply(q.RequestID, http.StatusMisdirectedRequest, agent.Redirect{LeaderAddr: c.leaderOf(g.partition)})
		return
	}
	if !c.leads(g.partition) || c.store.failing {
		c.reply(q.RequestID, http.StatusServiceUnavailable, nil)
		return
	}
	if e := c.agents.unregistered[r.Machine]; e != nil { // it came back: the earlier request is no longer waited for
		c.declineRegistration(e)
		e.request, e.heardAt, e.unanswered = q, c.now, true
		return
	}
	e := &unregisteredAgent{request: q, heardAt: c.now, unanswered: true}
	c.agents.unregistered[r.Machine] = e
	id := c.newCallID()
	c.agents.calls[id] = func(d AgentResult) {
		if c.agents.unregistered[r.Machine] != e {
			return
		}
		if d.Heartbeat == nil || d.Heartbeat.Machine != r.Machine {
			delete(c.agents.unregistered, r.Machine)
			c.declineRegistration(e)
			return
		}
		e.confirmed = true
		e.token = max(d.Heartbeat.FencingToken, r.FencingToken)
		c.planNeeded = true
	}
	c.emit(AgentCall{CallID: id, Address: r.Addr})
}

// unregisteredAgent is a machine that is about to be entered.
type unregisteredAgent struct {
	request    HeartbeatRequest
	heardAt    units.Micros // when it last reported
	unanswered bool         // its report is not answered yet
	confirmed  bool
	token      uint64 // the highest that it has seen
}

// entryWait is how long a newcomer's report may wait for its entry. Its entry is
// written all the same for a while: a thousand machines that report at once need
// more writes than can be made before they give up, and each would begin anew.
const (
	registrationReplyWait = 3500 * units.Millisecond
	registrationKept      = 20 * units.Second
)

// declineRegistration answers a newcomer's report that is still waiting: it may come again.
func (c *Controller) declineRegistration(e *unregisteredAgent) {
	if e.unanswered {
		e.unanswered = false
		c.reply(e.request.RequestID, http.StatusServiceUnavailable, nil)
	}
}

// finishRegistrations answers newcomers whose entry is stored, and those that wait too long.
func (c *Controller) finishRegistrations() {
	for _, name := range slices.Sorted(maps.Keys(c.agents.unregistered)) {
		e := c.agents.unregistered[name]
		switch {
		case c.replica.machines[name] != nil:
			delete(c.agents.unregistered, name)
			if e.unanswered {
				c.answerHeartbeat(e.request)
			}
		case c.now-e.heardAt > registrationKept:
			delete(c.agents.unregistered, name)
		case c.now-e.heardAt > registrationReplyWait:
			c.declineRegistration(e)
		}
	}
}

// reconcile takes a report if it is newer than what is known.
func (c *Controller) reconcile(m *machine, r *agent.Heartbeat) {
	rt := m.agent
	if !r.Newer(rt.epoch, rt.sequence) {
		return
	}
	c.planNeeded = true
	m.forgetOccupancy()
	if r.Epoch > rt.epoch && rt.epoch > 0 {
		c.log.Info("agent in new epoch", "machine", m.name, "agent_epoch", r.Epoch)
		rt.runningSince = map[taskKey]runStart{}
	}
	if c.now-rt.heardAt > 2*c.cfg.Settings.HeartbeatPeriod()+units.Second {
		rt.heardSince = c.now
	}
	rt.epoch, rt.sequence, rt.heardAt, rt.failedProbes = r.Epoch, r.Sequence, c.now, 0
	// Its session was alive when it reported, and may have begun just then: what
	// was known of the end of an earlier one says nothing about this one.
	l := c.cfg.Settings.Lease()
	rt.leaseEnd = max(rt.leaseEnd, c.now+l+leaseMargin(l))
	rt.tokenSeen = max(rt.tokenSeen, r.FencingToken)
	if rt.commandUnclear && (r.FencingToken > rt.unclearToken || r.Epoch > rt.unclearEpoch) {
		rt.commandUnclear = false
	}
	if r.InterruptionNoticeSeconds != nil && !rt.hasNotice {
		rt.hasNotice, rt.noticeEnds = true, c.now+units.FromSeconds(*r.InterruptionNoticeSeconds)
		c.log.Info("spot reclaim notice", "machine", m.name, "notice_s", *r.InterruptionNoticeSeconds)
	}
	old := rt.tasks
	rt.tasks = make(map[taskKey]agent.TaskStatus, len(r.Tasks))
	for _, p := range r.Tasks {
		id, num, ok := strings.Cut(p.Task, "/")
		n, err := strconv.Atoi(num)
		if !ok || err != nil {
			continue
		}
		k := taskKey{id, n, p.Attempt}
		rt.tasks[k] = p
		j := c.replica.jobs[id]
		if p.State == agent.Running || p.State == agent.Checkpointing {
			if j != nil && j.accepted {
				rt.images[j.spec.Image] = c.now
			}
			if _, ok := rt.runningSince[k]; !ok {
				_, before := old[k]
				rt.runningSince[k] = runStart{at: c.now, exact: before}
				if j != nil && j.accepted {
					c.log.Debug("task running", "task", k.task(), "machine", m.name, "type", m.doc.Type, "service", j.spec.Service, "since_accept_s", (c.timeOfDay - units.Micros(j.spec.AcceptedAt)).Seconds())
				}
			}
		}
		if p.State == agent.Ended && j != nil && j.accepted {
			c.noteTaskEnded(m, j, k, p, old[k].State == agent.Ended)
		}
	}
	for k := range rt.runningSince {
		if _, ok := rt.tasks[k]; !ok {
			delete(rt.runningSince, k)
		}
	}
}

func (c *Controller) noteTaskEnded(m *machine, j *job, k taskKey, p agent.TaskStatus, before bool) {
	b, bound := j.bindings[k.num]
	if !bound || b.machine != m || b.attempt != k.attempt || before {
		return
	}
	switch p.Cause {
	case agent.CauseDone:
		if j.done.Contains(k.num) {
			return
		}
		j.failures = 0
		blamed := c.jobAtFault(j)
		j.succeeded = true
		if blamed { // it was not its own fault
			c.judgeMachinesOf(j)
		}
		// Only a task seen from start to end tells its length; and only tasks
		// that completed: failed ones end in seconds and would make the job
		// look tiny.
		ran := units.Micros(0)
		if run, ok := m.agent.runningSince[k]; ok && run.exact {
			ran = c.now - run.at
		}
		m.agent.completions[k] = completion{c.now, 1 + int(ran/runTimeUnit)}
		if !j.isDone(k.num) {
			j.noteCompletion(k.num, ran)
		}
	case agent.CauseError:
		c.backOff(j)
		m.agent.failedJobs[j.id] = true
		if j.failedOn == nil {
			j.failedOn = map[string]bool{}
		}
		j.failedOn[m.name] = true
		c.judgeMachinesOf(j)
		c.log.Info("task failed", "task", k.task(), "machine", m.name, "failures", j.failures)
	default:
		c.log.Debug("task ended", "task", k.task(), "machine", m.name, "cause", p.Cause)
	}
}

// agentGateway is the exchange with worker agents: their heartbeats, calls to them, and machines that
// are not registered yet.
type agentGateway struct {
	calls        map[uint64]func(AgentResult)  // continuations of calls that are not answered yet
	heartbeats   []HeartbeatRequest            // that have come in this step
	toPush       []*machine                    // machines whose entries have changed in this step
	heardAt      map[string]units.Micros       // when each machine was last heard here
	unregistered map[string]*unregisteredAgent // by machine
}

func newAgentGateway() agentGateway {
	return agentGateway{calls: map[uint64]func(AgentResult){}, heardAt: map[string]units.Micros{}, unregistered: map[string]*unregisteredAgent{}}
}

func (c *Controller) handleAgentResult(result AgentResult) {
	if done, ok := c.agents.calls[result.CallID]; ok {
		delete(c.agents.calls, result.CallID)
		done(result)
	}
}
