package controller

import (
	"log/slog"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

// Controller is the state of one controller process. Each duty keeps its own state in a type of its
// own; the controller passes messages to them and runs them in a fixed order. All of it belongs to
// the one goroutine that calls Step.
type Controller struct {
	*environment

	store        *storeClient
	replica      *replica
	freshness    freshness
	membership   membership
	partitions   partitionTable
	budget       writeBudget
	commits      committer
	requests     userRequests
	outcomeReads outcomeReads
	accepts      acceptQueue

	jobShardSplits jobShardSplits

	peers      peerTable
	agents     agentGateway
	fleet      fleetMonitor
	estimates  estimates
	scheduling scheduling
	cloud      cloudView
	audit      audit

	duties []duty
}

// New returns a controller that knows nothing yet. incarnation must be unique among all processes
// that ever run.
func New(cfg *config.Config, pol *policy.Policy, log *slog.Logger, incarnation string) *Controller {
	env := &environment{cfg: cfg, policy: pol, log: log.With("node", cfg.Member)}
	c := &Controller{
		environment: env,
		store:       newStoreClient(env),
		membership:  newMembership(incarnation),
		partitions:  newPartitionTable(env),
		budget:      newWriteBudget(),
		commits:     newCommitter(),
		requests:    newUserRequests(),
		peers:       newPeerTable(),
		agents:      newAgentGateway(),
		fleet:       newFleetMonitor(),
		estimates:   newEstimates(),
		scheduling:  newScheduling(),
		cloud:       newCloudView(),
		audit:       newAudit(),
	}
	c.outcomeReads = newOutcomeReads()
	c.replica = newReplica(env, c, c.newLayout(), c.partitions.ofMachineShard)
	c.duties = c.periodicDuties()
	return c
}

// Step takes what happened since the last step and returns what to do.
func (c *Controller) Step(now, timeOfDay units.Micros, messages []Message) []Effect {
	first := c.now == 0
	c.now, c.timeOfDay, c.effects = now, timeOfDay, nil
	if first {
		c.budget.refilledAt = now
		c.register()
		c.load()
	}
	for _, m := range messages {
		c.handle(m)
	}
	c.runTimers()
	// Agents are answered and told only now: what starts a task must not leave beside the news, in
	// the same step, that cancels its job.
	c.answerHeartbeats()
	c.pushCommands()
	c.runDuties()
	return c.effects
}

func (c *Controller) handle(message Message) {
	switch m := message.(type) {
	case UserRequest:
		c.handleUserRequest(m)
	case ReadyRequest:
		c.handleReady(m)
	case HeartbeatRequest:
		c.agents.heartbeats = append(c.agents.heartbeats, m) // answered when all else has been read
	case StoreResult:
		c.handleStoreResult(m)
	case CloudResult:
		c.handleCloudResult(m)
	case AgentResult:
		c.handleAgentResult(m)
	case PeerHeartbeat:
		c.handlePeerHeartbeat(m)
	}
}
