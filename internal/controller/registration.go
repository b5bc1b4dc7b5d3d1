package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// registration is a machine that is about to be entered into its machine shard: one that ran before
// there were any documents, or came of a rental whose answer was lost or late.
type registration struct {
	request   HeartbeatRequest // the latest
	heardAt   units.Micros     // when it came
	waiting   bool             // it is not answered yet
	confirmed bool             // the machine itself has answered
	token     uint64           // the highest fencing token that it has seen
}

// A registration's heartbeat may wait for the entry for a while. The entry is written all the same for
// longer: a thousand machines that come at once need more writes than can be made before their agents
// give up, and each would begin anew.
const (
	registrationReplyWait = 3500 * units.Millisecond
	registrationKept      = 20 * units.Second
)

// register has an unregistered machine entered, if this controller leads the partition of its machine
// shard. First the machine itself must answer: a heartbeat may be a late duplicate from a machine that is
// long gone, and must not bring it back.
func (g *agentGateway) register(request HeartbeatRequest) {
	name := request.Heartbeat.Machine
	g.noteHeard(name)
	partition := g.replica.machineShardOf(name).partition
	if !g.isLeader(partition) {
		g.redirect(request, g.leaderOf(partition))
		return
	}
	if !g.authority.leads(partition) || g.store.failing {
		g.refuse(request)
		return
	}
	if known := g.registrations[name]; known != nil {
		g.declineRegistration(known) // the agent waits for its earlier request no longer
		known.request, known.heardAt, known.waiting = request, g.now, true
		return
	}
	begun := &registration{request: request, heardAt: g.now, waiting: true}
	g.registrations[name] = begun
	g.call(request.Heartbeat.Addr, nil, &registrationProbe{gateway: g, name: name, registration: begun, tokenShown: request.Heartbeat.FencingToken})
}

// registrationProbe is a question to an unregistered machine whether it is there.
type registrationProbe struct {
	gateway      *agentGateway
	name         string
	registration *registration
	tokenShown   uint64 // by the heartbeat that began it
}

// notSent gives the registration up, as if there had been no answer: the agent tries again.
func (p *registrationProbe) notSent() { p.done(nil) }

func (p *registrationProbe) done(heartbeat *agent.Heartbeat) {
	g := p.gateway
	if g.registrations[p.name] != p.registration {
		return
	}
	if heartbeat == nil || heartbeat.Machine != p.name {
		delete(g.registrations, p.name)
		g.declineRegistration(p.registration)
		return
	}
	p.registration.confirmed = true
	p.registration.token = max(heartbeat.FencingToken, p.tokenShown)
	g.planNeeded = true
}

// declineRegistration answers a heartbeat that is still waiting: the agent may try again.
func (g *agentGateway) declineRegistration(r *registration) {
	if r.waiting {
		r.waiting = false
		g.refuse(r.request)
	}
}

// confirmedRegistrations lists the machines that may be entered, by name.
func (g *agentGateway) confirmedRegistrations() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(g.registrations)) {
		if g.registrations[name].confirmed && g.replica.machines[name] == nil {
			names = append(names, name)
		}
	}
	return names
}

// finishRegistrations answers machines whose entry is stored, and those that have waited too long.
func (g *agentGateway) finishRegistrations() {
	for _, name := range slices.Sorted(maps.Keys(g.registrations)) {
		r := g.registrations[name]
		switch {
		case g.replica.machines[name] != nil:
			delete(g.registrations, name)
			if r.waiting {
				g.answerHeartbeat(r.request)
			}
		case g.now-r.heardAt > registrationKept:
			delete(g.registrations, name)
		case g.now-r.heardAt > registrationReplyWait:
			g.declineRegistration(r)
		}
	}
}
