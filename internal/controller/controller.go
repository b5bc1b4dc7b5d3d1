package controller

import (
	"log/slog"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

// Controller is the state of one controller process. Each duty keeps its state in a type of its own;
// the controller passes messages to the duties and runs them in a fixed order. Only the one goroutine
// that calls Step may access it.
type Controller struct {
	*environment

	store       *storeClient
	replica     *replica
	replicator  *replicator
	freshness   *freshness
	membership  *membership
	authority   *authority
	partitions  *partitionTable
	leaderships *leadershipManager
	budget      *writeBudget
	commits     *committer
	gate        *formatGate

	dependencies *dependencyGraph
	outcomeReads *outcomeReads
	users        *userRequests
	accepts      *acceptQueue
	requests     *requestHandler
	readiness    *readiness
	completions  *completionExchange

	splits         *documentSplitter
	jobShardSplits *jobShardSplitter

	peers        *peerTable
	heartbeat    *peerHeartbeat
	facts        *factSource
	agents       *agentGateway
	quarantine   *quarantineMonitor
	fleet        *fleetMonitor
	demand       *demandFinder
	planner      *planner
	cloud        *cloudClient
	catalog      *catalog
	capacity     *machineCapacity
	acceptance   *machineAcceptance
	decommission *decommissioner
	autoscaler   *autoscaler
	audit        *audit

	duties []duty
}

// New returns a controller with an empty replica. incarnation must be unique among all processes that
// ever run.
func New(cfg *config.Config, pol *policy.Policy, log *slog.Logger, incarnation string) *Controller {
	env := &environment{cfg: cfg, policy: pol, log: log.With("node", cfg.Member)}
	c := &Controller{
		environment: env,
		peers:       newPeerTable(env),
	}
	c.wireReplication()
	c.wireAuthority(incarnation)
	c.wireCloud()
	c.wireAgents()
	c.wireLeadership()
	c.wireFleet()
	c.wireDemand()
	c.wireAutoscaler()
	c.wireRequests()
	c.wirePlanner()
	c.wireObserver()
	c.duties = c.periodicDuties()
	return c
}

// Step handles the messages that arrived since the last step and returns the effects to carry out. now
// is the monotonic time, unixTime the Unix time.
func (c *Controller) Step(now, unixTime units.Micros, messages []Message) []Effect {
	first := c.now == 0
	c.now, c.unixTime, c.effects = now, unixTime, nil
	if first {
		c.budget.start()
		c.membership.register()
		c.replicator.load()
	}
	for _, m := range messages {
		c.handle(m)
	}
	c.runTimers()
	// Agents are answered and sent commands only now: a command that starts a task must not be sent
	// if a message of the same step cancels its job.
	c.agents.answerHeartbeats()
	c.agents.pushCommands()
	c.runDuties()
	return c.effects
}

func (c *Controller) handle(message Message) {
	switch m := message.(type) {
	case UserRequest:
		c.requests.handle(m)
	case ReadyRequest:
		c.readiness.handle(m)
	case HeartbeatRequest:
		c.agents.receive(m)
	case StoreResult:
		c.handleStoreResult(m)
	case CloudResult:
		c.cloud.handleResult(m)
	case AgentResult:
		c.agents.handleResult(m)
	case PeerHeartbeat:
		c.peers.receive(m.Heartbeat)
		c.completions.apply(m.Heartbeat.Ended)
	}
}
