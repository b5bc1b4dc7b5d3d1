package controller

import (
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// reconciler applies agents' heartbeats to the state of their machines, and from there to the state of
// jobs: which tasks run, and which have completed or failed. It sends nothing.
type reconciler struct {
	*environment
	replica    *replica
	quarantine *quarantineMonitor
}

// isLatest reports whether a heartbeat is later than the latest one that was applied. An agent's fencing token never
// falls: a heartbeat that shows a lower one is from before or after a restart of the agent.
func (s *agentState) isLatest(heartbeat *agent.Heartbeat) bool {
	return heartbeat.Newer(s.epoch, s.sequence) && heartbeat.FencingToken >= s.tokenSeen
}

// reconcile applies a heartbeat if it is later than the latest one that was applied. If only its fencing token
// contradicts that, a probe will tell whether the agent was restarted.
func (r *reconciler) reconcile(m *machine, heartbeat *agent.Heartbeat) {
	if !m.agent.isLatest(heartbeat) {
		m.agent.restart.suspected = m.agent.restart.suspected || heartbeat.Newer(m.agent.epoch, m.agent.sequence)
		return
	}
	r.planNeeded = true
	m.invalidateOccupancy()
	r.noteEpoch(m, heartbeat)
	r.noteLiveness(m.agent, heartbeat)
	r.noteReclaim(m, heartbeat)
	r.applyTasks(m, heartbeat)
}

// noteEpoch detects that an agent's lease has expired since its previous heartbeat.
func (r *reconciler) noteEpoch(m *machine, heartbeat *agent.Heartbeat) {
	if state := m.agent; heartbeat.Epoch > state.epoch && state.epoch > 0 {
		r.log.Info("agent in new epoch", "machine", m.name, "agent_epoch", heartbeat.Epoch)
		state.runningSince = map[taskKey]runStart{}
		state.fencing.epochBegun()
	}
}

// noteLiveness records when the agent was heard, and what that implies for its lease and its commands.
func (r *reconciler) noteLiveness(state *agentState, heartbeat *agent.Heartbeat) {
	if r.now-state.heardAt > heardTimeout(r.cfg.Settings.HeartbeatPeriod()) {
		state.heardSince = r.now
	}
	state.epoch, state.sequence, state.heardAt = heartbeat.Epoch, heartbeat.Sequence, r.now
	state.probe.failures = 0
	// The agent's lease had not expired when the agent sent the heartbeat, and its epoch may have begun
	// only then, so the end that was computed for an earlier lease does not apply to the present one.
	state.extendLease(r.now, r.cfg.Settings.Lease())
	state.tokenSeen = heartbeat.FencingToken
	state.command.heartbeatReceived(heartbeat.FencingToken, heartbeat.Epoch)
}

// noteReclaim records the first interruption notice of a spot machine.
func (r *reconciler) noteReclaim(m *machine, heartbeat *agent.Heartbeat) {
	seconds := heartbeat.InterruptionNoticeSeconds
	if seconds == nil || m.agent.notice.announced {
		return
	}
	m.agent.notice = reclaimNotice{announced: true, endsAt: r.now + units.FromSeconds(*seconds)}
	r.log.Info("spot reclaim notice", "machine", m.name, "notice_s", *seconds)
}

// applyTasks replaces the machine's reported tasks by those of a heartbeat, and records tasks that run or
// have ended.
func (r *reconciler) applyTasks(m *machine, heartbeat *agent.Heartbeat) {
	state := m.agent
	before := state.tasks
	state.tasks = make(map[taskKey]agent.TaskStatus, len(heartbeat.Tasks))
	for _, status := range heartbeat.Tasks {
		key, ok := keyOfStatus(status)
		if !ok {
			continue
		}
		state.tasks[key] = status
		last, listed := before[key]
		j := r.replica.acceptedJob(key.job)
		switch status.State {
		case agent.Pulling: // not running yet
		case agent.Running, agent.Checkpointing:
			r.noteRunning(m, j, key, listed)
		case agent.Ended:
			if j != nil && last.State != agent.Ended {
				r.noteEnded(m, j, key, status)
			}
		}
	}
	for key := range state.runningSince {
		if _, listed := state.tasks[key]; !listed {
			delete(state.runningSince, key)
		}
	}
}

// keyOfStatus returns the attempt that a status is about; ok is false if the status does not name one.
func keyOfStatus(status agent.TaskStatus) (key taskKey, ok bool) {
	job, number, ok := strings.Cut(status.Task, "/")
	index, err := strconv.Atoi(number)
	return taskKey{job, index, status.Attempt}, ok && err == nil
}

// noteRunning records a running task; j is nil if the task's job is not accepted. listed says that the
// previous heartbeat listed the task too, so that its start was observed.
func (r *reconciler) noteRunning(m *machine, j *job, key taskKey, listed bool) {
	state := m.agent
	if j != nil {
		state.images[j.spec.Image] = r.now
	}
	if _, known := state.runningSince[key]; known {
		return
	}
	state.runningSince[key] = runStart{at: r.now, exact: listed}
	if j != nil {
		sinceAccept := r.unixTime - units.Micros(j.spec.AcceptedAt)
		r.log.Debug("task running", "task", key.task(), "machine", m.name, "type", m.doc.Type, "service", j.spec.Service, "since_accept_s", sinceAccept.Seconds())
	}
}

// noteEnded records a task that has ended since the previous heartbeat, if this attempt of the task is
// bound to the machine.
func (r *reconciler) noteEnded(m *machine, j *job, key taskKey, status agent.TaskStatus) {
	bound, ok := j.bindings[key.index]
	if !ok || bound.machine != m || bound.attempt != key.attempt {
		return
	}
	switch status.Cause {
	case agent.CauseDone:
		r.noteDone(m, j, key)
	case agent.CauseError:
		r.quarantine.failed(j, m)
		r.log.Info("task failed", "task", key.task(), "machine", m.name, "failures", j.failures)
	default:
		r.log.Debug("task ended", "task", key.task(), "machine", m.name, "cause", status.Cause)
	}
}

// noteDone records a task that has completed.
func (r *reconciler) noteDone(m *machine, j *job, key taskKey) {
	if j.done.Contains(key.index) {
		return
	}
	r.quarantine.succeeded(j)
	// The run time is known only for a task that was seen from its start to its end. It is taken only
	// from completed tasks: failed ones end in seconds and would make the average far too short.
	ran := units.Micros(0)
	if run, ok := m.agent.runningSince[key]; ok && run.exact {
		ran = r.now - run.at
	}
	m.agent.completions[key] = completion{r.now, 1 + int(ran/runTimeUnit)}
	if !j.isDone(key.index) {
		j.noteCompletion(key.index, ran)
	}
}
