package soak

import "time"

// lateCommandRate is the share of commands that delayCommands delays.
const lateCommandRate = 0.4

// randomAgents draws count agents, or as many as are up; one may be drawn more than once.
func (w *world) randomAgents(count int) []*fakeAgent {
	all := w.cloud.agents()
	var drawn []*fakeAgent
	for range min(count, len(all)) {
		drawn = append(drawn, pick(w.rng, all...))
	}
	return drawn
}

// setAgentFaults changes the faults of some machines.
func setAgentFaults(agents []*fakeAgent, change func(faults *agentFaults)) {
	for _, agent := range agents {
		agent.setFaults(change)
	}
}

func (w *world) delayCommands(duration time.Duration) {
	all := w.cloud.agents()
	w.during(duration,
		func() { setAgentFaults(all, func(faults *agentFaults) { faults.lateCommandRate = lateCommandRate }) },
		func() { setAgentFaults(all, func(faults *agentFaults) { faults.lateCommandRate = 0 }) })
	w.after(time.Second, func() { w.cancelRecent(4) })
}

func (w *world) hangMachines(duration time.Duration) {
	until := time.Now().Add(duration)
	setAgentFaults(w.randomAgents(5), func(faults *agentFaults) { faults.hungUntil = until })
	w.cancelRecent(5)
}

func (w *world) loseInbound(duration time.Duration) {
	until := time.Now().Add(duration)
	setAgentFaults(w.randomAgents(3), func(faults *agentFaults) { faults.inboundLostUntil = until })
	w.cancelRecent(2)
}

func (w *world) loseOutbound(duration time.Duration) {
	until := time.Now().Add(duration)
	setAgentFaults(w.randomAgents(3), func(faults *agentFaults) { faults.outboundLostUntil = until })
}

func (w *world) crashMachines(time.Duration) {
	for _, agent := range w.randomAgents(2) {
		w.cloud.crash(agent.listed.Name)
	}
}

// reclaimMachines has the cloud announce that it takes some machines away, and do so after the duration.
func (w *world) reclaimMachines(duration time.Duration) {
	announced := w.randomAgents(2)
	at := time.Now().Add(duration)
	setAgentFaults(announced, func(faults *agentFaults) { faults.reclaimedAt = at })
	w.after(duration, func() {
		for _, agent := range announced {
			w.cloud.reclaim(agent.listed.Name)
		}
	})
}

func (w *world) rebootMachines(time.Duration) {
	for _, agent := range w.randomAgents(2) {
		agent.reboot()
	}
}
