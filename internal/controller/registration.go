package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// registration is the pending entry of a running machine into its machine shard. Either the machine ran
// before the store had any documents, or the answer to the rental request that started it was lost or late.
type registration struct {
	request   HeartbeatRequest // the latest one
	heardAt   units.Micros     // when the latest request arrived
	waiting   bool             // the request is not answered yet
	confirmed bool             // the machine itself has answered a probe
	token     uint64           // the highest fencing token that the machine has seen
}

// A registration outlives its heartbeat: a thousand machines that register at the same time need more
// writes than can be made before their agents stop waiting, and otherwise each registration would start
// over.
const (
	registrationReplyWait = 3500 * units.Millisecond // how long a heartbeat's answer may wait for the entry
	registrationLifetime  = 20 * units.Second        // how long after the latest heartbeat the entry may be written
)

// register starts the registration of an unregistered machine if this controller leads the partition of its
// machine shard. The machine itself must first answer a probe: a heartbeat may be a late duplicate from a
// machine that no longer exists, which must not be entered.
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
	if existing := g.registrations[name]; existing != nil {
		g.declineRegistration(existing) // the agent no longer waits for its earlier request
		existing.request, existing.heardAt, existing.waiting = request, g.now, true
		return
	}
	started := &registration{request: request, heardAt: g.now, waiting: true}
	g.registrations[name] = started
	g.call(request.Heartbeat.Addr, nil, &registrationProbe{gateway: g, name: name, registration: started, tokenShown: request.Heartbeat.FencingToken})
}

// registrationProbe is a probe that checks that an unregistered machine exists.
type registrationProbe struct {
	gateway      *agentGateway
	name         string
	registration *registration
	tokenShown   uint64 // fencing token in the heartbeat that started the registration
}

// notSent drops the registration, as if the probe had got no answer: the agent tries again.
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

// declineRegistration refuses a registration's heartbeat if it is still unanswered; the agent may try again.
func (g *agentGateway) declineRegistration(r *registration) {
	if r.waiting {
		r.waiting = false
		g.refuse(r.request)
	}
}

// confirmedRegistrations returns the names of the machines that may be entered, sorted.
func (g *agentGateway) confirmedRegistrations() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(g.registrations)) {
		if g.registrations[name].confirmed && g.replica.machines[name] == nil {
			names = append(names, name)
		}
	}
	return names
}

// finishRegistrations answers the heartbeats of machines whose entry is stored and those that have waited
// too long, and drops registrations that are finished or too old.
func (g *agentGateway) finishRegistrations() {
	for _, name := range slices.Sorted(maps.Keys(g.registrations)) {
		r := g.registrations[name]
		switch {
		case g.replica.machines[name] != nil:
			delete(g.registrations, name)
			if r.waiting {
				g.answerHeartbeat(r.request)
			}
		case g.now-r.heardAt > registrationLifetime:
			delete(g.registrations, name)
		case g.now-r.heardAt > registrationReplyWait:
			g.declineRegistration(r)
		}
	}
}
