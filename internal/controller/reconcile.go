package controller

import (
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// reconciler takes what agents' heartbeats tell into the view of their machines, and from there into
// what is known of jobs: which tasks run, which have completed or failed. It sends nothing.
type reconciler struct {
	*environment
	replica    *replica
	quarantine *quarantineMonitor
}

// reconcile takes a heartbeat if it is newer than what is known.
func (r *reconciler) reconcile(m *machine, heartbeat *agent.Heartbeat) {
	if !heartbeat.Newer(m.agent.epoch, m.agent.sequence) {
		return
	}
	r.planNeeded = true
	m.forgetOccupancy()
	r.noteEpoch(m, heartbeat)
	r.noteSignOfLife(m.agent, heartbeat)
	r.noteReclaim(m, heartbeat)
	r.takeTasks(m, heartbeat)
}

// noteEpoch notices an agent whose lease has expired since its last heartbeat.
func (r *reconciler) noteEpoch(m *machine, heartbeat *agent.Heartbeat) {
	if state := m.agent; heartbeat.Epoch > state.epoch && state.epoch > 0 {
		r.log.Info("agent in new epoch", "machine", m.name, "agent_epoch", heartbeat.Epoch)
		state.runningSince = map[taskKey]runStart{}
	}
}

// noteSignOfLife notes when the agent was heard, and what that says of its lease and its commands.
func (r *reconciler) noteSignOfLife(state *agentState, heartbeat *agent.Heartbeat) {
	if r.now-state.heardAt > silenceAfter(r.cfg.Settings.HeartbeatPeriod()) {
		state.heardSince = r.now
	}
	state.epoch, state.sequence, state.heardAt = heartbeat.Epoch, heartbeat.Sequence, r.now
	state.probe.failures = 0
	// Its lease had not expired when it sent this, and its epoch may have begun just then: what was
	// known of the expiry of an earlier one says nothing about this one.
	state.extendLease(r.now, r.cfg.Settings.Lease())
	state.tokenSeen = max(state.tokenSeen, heartbeat.FencingToken)
	state.command.heartbeatCame(heartbeat.FencingToken, heartbeat.Epoch)
}

// noteReclaim notes the first interruption notice of a spot machine.
func (r *reconciler) noteReclaim(m *machine, heartbeat *agent.Heartbeat) {
	seconds := heartbeat.InterruptionNoticeSeconds
	if seconds == nil || m.agent.notice.announced {
		return
	}
	m.agent.notice = reclaimNotice{announced: true, endsAt: r.now + units.FromSeconds(*seconds)}
	r.log.Info("spot reclaim notice", "machine", m.name, "notice_s", *seconds)
}

// takeTasks takes the list of the machine's tasks.
func (r *reconciler) takeTasks(m *machine, heartbeat *agent.Heartbeat) {
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

// keyOfStatus is the attempt that a status is about; ok is false if it does not name one.
func keyOfStatus(status agent.TaskStatus) (key taskKey, ok bool) {
	job, number, ok := strings.Cut(status.Task, "/")
	index, err := strconv.Atoi(number)
	return taskKey{job, index, status.Attempt}, ok && err == nil
}

// noteRunning notes a running task; j is nil if its job is not accepted. listed says that the heartbeat
// before had it too, so that its start has been seen.
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
		sinceAccept := r.timeOfDay - units.Micros(j.spec.AcceptedAt)
		r.log.Debug("task running", "task", key.task(), "machine", m.name, "type", m.doc.Type, "service", j.spec.Service, "since_accept_s", sinceAccept.Seconds())
	}
}

// noteEnded notes a task that has ended since the last heartbeat, if it is bound to that machine.
func (r *reconciler) noteEnded(m *machine, j *job, key taskKey, status agent.TaskStatus) {
	bound, ok := j.bindings[key.num]
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

// noteDone notes a task that has completed.
func (r *reconciler) noteDone(m *machine, j *job, key taskKey) {
	if j.done.Contains(key.num) {
		return
	}
	r.quarantine.succeeded(j)
	// Only a task seen from its start to its end tells its length; and only tasks that completed:
	// failed ones end in seconds and would make the job look tiny.
	ran := units.Micros(0)
	if run, ok := m.agent.runningSince[key]; ok && run.exact {
		ran = r.now - run.at
	}
	m.agent.completions[key] = completion{r.now, 1 + int(ran/runTimeUnit)}
	if !j.isDone(key.num) {
		j.noteCompletion(key.num, ran)
	}
}
