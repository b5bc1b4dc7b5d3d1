package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

// Controller is the state of one controller.
type Controller struct {
	cfg    *config.Config
	policy *policy.Policy
	log    *slog.Logger

	now       units.Micros // steady clock
	timeOfDay units.Micros // time of day
	effects   []Effect

	replica    *replica
	planNeeded bool

	nextID     uint64
	storeCalls map[uint64]func(kv.Response)
	cloudCalls map[uint64]func(CloudResult)
	agentCalls map[uint64]func(AgentResult)
	timers     []timer

	// Membership and claims.
	processID     string
	registrations int
	incarnation   string
	leaseID       uint64
	provenAt      units.Micros // the copy is known to have been complete then; 0: never
	registered    bool         // registered, and as far as known still so

	mayActSince units.Micros // since when this process may act on its copy; 0: it may not

	led          map[int]*leadership
	writeTags    uint64
	keysInFlight map[string]bool // keys in a batch that is not yet answered

	// State service.
	storeAnsweredAt       units.Micros   // when it last answered
	storeFailing          bool           // it refused or failed since
	changesByKind         map[string]int // changes since the last summary, by what they change
	writeCredit           float64        // changes this node may still make
	writeCreditAt         units.Micros
	writeCreditMax        float64 // that may be saved up
	storeLimits           storeLimits
	changesSinceHeartbeat int     // changes since the last heartbeat
	averageChangeRate     float64 // changes a second, a moving average
	awaitingRead          []freshnessWaiter
	revisionReadAt        units.Micros
	revisionReadsInFlight int
	awaitingRevision      []freshnessWaiter

	// Users.
	openRequests        map[uint64]units.Micros // when each is given up
	outcomesBeingRead   map[string]bool         // jobs whose ends are being read for those that need them
	pendingAccepts      []pendingAccept
	acceptInFlight      bool
	acceptNotBefore     units.Micros // when the store may take more
	splittingJobShard   bool         // a job shard is being split
	nextJobShardSplitAt units.Micros // the next one is not before
	acceptAfterRevision uint64       // the replica must have come this far before the next accepts

	// Others.
	teamPartitions []int // partitions that have teams
	peers          map[string]peerState
	heardAt        map[string]units.Micros
	unregistered   map[string]*unregisteredAgent // machines about to be entered
	machinesToPush []*machine                    // machines whose entries have changed in this step
	heartbeats     []HeartbeatRequest            // that have come in this step
	suspectZones   map[string]zoneSuspicion      // those that may be cut off

	classAverages map[string]units.Micros // average task time by class of jobs, as last known

	audit audit

	cloud     cloudView
	lastRunAt map[string]units.Micros // when each periodic duty was last done
}

type timer struct {
	dueAt units.Micros
	run   func()
}

type peerState struct {
	receivedAt units.Micros
	heartbeat  peer.Heartbeat
}

// New returns a controller that knows nothing yet. inc must be unique among all
// processes that ever run.
func New(cfg *config.Config, pol *policy.Policy, log *slog.Logger, incarnation string) *Controller {
	c := &Controller{
		cfg: cfg, policy: pol, log: log.With("node", cfg.Member),
		storeCalls: map[uint64]func(kv.Response){}, cloudCalls: map[uint64]func(CloudResult){}, agentCalls: map[uint64]func(AgentResult){},
		processID: incarnation, incarnation: incarnation, led: map[int]*leadership{}, keysInFlight: map[string]bool{},
		openRequests: map[uint64]units.Micros{}, peers: map[string]peerState{}, heardAt: map[string]units.Micros{}, unregistered: map[string]*unregisteredAgent{}, suspectZones: map[string]zoneSuspicion{}, changesByKind: map[string]int{},
		cloud: newCloudView(), lastRunAt: map[string]units.Micros{}, classAverages: map[string]units.Micros{},
		storeLimits: newStoreLimits(&cfg.Settings), outcomesBeingRead: map[string]bool{}, audit: newAudit(),
	}
	for _, t := range cfg.Settings.Teams {
		if p := c.partitionOf(t.Name); !slices.Contains(c.teamPartitions, p) {
			c.teamPartitions = append(c.teamPartitions, p)
		}
	}
	slices.Sort(c.teamPartitions)
	if len(c.teamPartitions) == 0 {
		c.teamPartitions = []int{0}
	}
	c.replica = newReplica(c.newLayout(), func(g int) int { return c.teamPartitions[g%len(c.teamPartitions)] })
	return c
}

// Step takes what happened since the last step and returns what to do.
func (c *Controller) Step(now, wall units.Micros, msgs []Message) []Effect {
	first := c.now == 0
	c.now, c.timeOfDay, c.effects = now, wall, nil
	if first {
		c.writeCreditAt = now
		c.register()
		c.load()
	}
	for _, m := range msgs {
		c.handle(m)
	}
	for len(c.timers) > 0 {
		i, due := 0, false
		for k := range c.timers {
			if c.timers[k].dueAt <= now {
				i, due = k, true
				break
			}
		}
		if !due {
			break
		}
		f := c.timers[i].run
		c.timers = append(c.timers[:i], c.timers[i+1:]...)
		f()
	}
	c.answerHeartbeats()
	c.pushCommands()
	c.runPeriodic()
	return c.effects
}

func (c *Controller) handle(m Message) {
	switch m := m.(type) {
	case UserRequest:
		c.handleUserRequest(m)
	case ReadyRequest:
		c.handleReady(m)
	case HeartbeatRequest:
		c.heartbeats = append(c.heartbeats, m) // answered when all else has been read
	case StoreResult:
		if done, ok := c.storeCalls[m.CallID]; ok {
			delete(c.storeCalls, m.CallID)
			switch m.Response.Status {
			case 200, 404, 409, 410:
				c.storeAnsweredAt, c.storeFailing = c.now, false
				c.replica.seenRevision = max(c.replica.seenRevision, m.Response.Revision)
			case 0, 503:
				c.storeFailing = true
			case 429:
				c.noteThrottled()
			}
			done(m.Response)
		}
	case CloudResult:
		if f, ok := c.cloudCalls[m.CallID]; ok {
			delete(c.cloudCalls, m.CallID)
			f(m)
		}
	case AgentResult:
		if f, ok := c.agentCalls[m.CallID]; ok {
			delete(c.agentCalls, m.CallID)
			f(m)
		}
	case PeerHeartbeat:
		c.peers[m.Heartbeat.Member] = peerState{receivedAt: c.now, heartbeat: m.Heartbeat}
		c.applyPeerCompletions(m.Heartbeat.Ended)
	}
}

// runPeriodic are what is done without being asked.
func (c *Controller) runPeriodic() {
	if c.isDue("tokens", 20*units.Millisecond) {
		c.refillWriteCredit()
	}
	c.keepProofRecent()
	c.noteAuthority()
	c.readRevision()
	c.storeAccepts()
	if c.isDue("users", 100*units.Millisecond) {
		c.expireRequests()
	}
	if c.isDue("claims", 250*units.Millisecond) {
		c.checkWatch()
		c.balanceLeadership()
		c.raiseFormat()
		c.checkFleet()
	}
	c.finishRegistrations()
	c.readMissingOutcomes()
	c.splitJobShards()
	if c.isDue("beat", units.Second) {
		c.sendHeartbeat()
	}
	if c.isDue("decisions", decisionLogPeriod) {
		c.logDecisions()
	}
	if c.isDue("summary", summaryEvery) {
		c.summary()
	}
	if c.replica.synced {
		c.runAutoscaler()
		if c.planNeeded || c.isDue("plan", 100*units.Millisecond) {
			c.planNeeded = false
			for _, p := range c.ledPartitions() {
				c.planPartition(p)
			}
		}
	}
}

func (c *Controller) isDue(what string, period units.Micros) bool {
	at, ok := c.lastRunAt[what]
	if ok && c.now-at < period {
		return false
	}
	c.lastRunAt[what] = c.now
	return true
}

func (c *Controller) after(d units.Micros, f func()) {
	c.timers = append(c.timers, timer{c.now + d, f})
}

func (c *Controller) newCallID() uint64 {
	c.nextID++
	return c.nextID
}

func (c *Controller) callStore(req kv.Request, done func(kv.Response)) {
	id := c.newCallID()
	c.storeCalls[id] = done
	c.effects = append(c.effects, StoreCall{id, req})
}

func (c *Controller) reply(to uint64, status int, body any) {
	c.effects = append(c.effects, Reply{RequestID: to, Status: status, Body: body})
}

// sendHeartbeat tells the others which machines this node hears, as evidence that a
// machine lives, and whether it reaches the state service.
func (c *Controller) sendHeartbeat() {
	b := peer.Heartbeat{Member: c.cfg.Member, Inc: c.incarnation, StateOK: c.storeHealthy(), Heard: map[string]int64{}, Open: map[string][]string{}}
	for name, m := range c.replica.machines {
		if m.agent != nil && c.leads(m.part()) && c.acceptsTasks(m) {
			b.Open[name] = slices.Sorted(maps.Keys(m.agent.images))
		}
	}
	for m, at := range c.heardAt {
		if c.now-at > 2*c.cfg.Settings.Lease() {
			delete(c.heardAt, m)
			continue
		}
		b.Heard[m] = int64(c.now - at)
	}
	c.averageChangeRate += (float64(c.changesSinceHeartbeat) - c.averageChangeRate) * changeRateWeight
	c.changesSinceHeartbeat = 0
	if c.chainsEnabled() {
		b.Ended, b.Writes = c.completionsForPeers(), c.averageChangeRate
	}
	c.effects = append(c.effects, BroadcastHeartbeat{b})
}

// heartbeatLife is how long a heartbeat tells of the present.
const heartbeatLife = 3 * units.Second

// heartbeatOf is the latest heartbeat of one process, if it is recent.
func (c *Controller) heartbeatOf(member, incarnation string) (peer.Heartbeat, bool) {
	p, ok := c.peers[member]
	if !ok || p.heartbeat.Inc != incarnation || c.now-p.receivedAt > heartbeatLife {
		return peer.Heartbeat{}, false
	}
	return p.heartbeat, true
}

// changeRateWeight is how much the last second counts among the changes made lately.
const changeRateWeight = 0.4

const summaryEvery = 30 * units.Second

// summary tells the state in one line, so that a log can be read from anywhere.
func (c *Controller) summary() {
	jobs, services, waiting, bound := 0, 0, 0, 0
	for _, j := range c.replica.jobs {
		if j.accepted && !j.cancelled() {
			jobs++
			if j.spec.Service {
				services++
			}
			waiting += j.waiting()
			bound += len(j.bindings)
		}
	}
	mine := 0
	for _, m := range c.replica.machines {
		if m.agent != nil {
			mine++
		}
	}
	c.log.Info("summary", append(c.proofAttrs(), "terms", c.termsAttr(), "may_act", c.mayAct(), "invariants_violated", c.audit.violations, "store_ok", c.storeHealthy(),
		"jobs", jobs, "services", services, "tasks_waiting", waiting, "tasks_bound", bound,
		"machines", len(c.replica.machines), "machines_led", mine, "requests_open", len(c.openRequests), "changes", c.changesByKind)...)
	c.changesByKind = map[string]int{}
}

func (c *Controller) storeHealthy() bool {
	return !c.storeFailing && c.now-c.storeAnsweredAt < 3*units.Second
}

// newWriteTag makes a value that no other commit has, so that after an unclear answer
// a reader can tell this commit's writes from all others.
func (c *Controller) newWriteTag() string {
	c.writeTags++
	return c.incarnation + "-" + strconv.FormatUint(c.writeTags, 36)
}

func (c *Controller) ledPartitions() []int {
	return slices.Sorted(maps.Keys(c.led))
}

// partitionOf parts the teams among the partitions, by their order in the settings.
func (c *Controller) partitionOf(team string) int {
	for i, t := range c.cfg.Settings.Teams {
		if t.Name == team {
			return i % c.cfg.Settings.Size
		}
	}
	return 0
}

func (c *Controller) team(name string) *config.Team {
	for i := range c.cfg.Settings.Teams {
		if c.cfg.Settings.Teams[i].Name == name {
			return &c.cfg.Settings.Teams[i]
		}
	}
	return nil
}

func (c *Controller) machineType(name string) *cloud.MachineType {
	for i := range c.cloud.types {
		if c.cloud.types[i].Name == name {
			return &c.cloud.types[i]
		}
	}
	return nil
}

// sortedMachines lists the machines in the order of their names: map order
// would make runs differ.
func (c *Controller) sortedMachines() []*machine {
	r := c.replica
	if r.machinesByName == nil {
		r.machinesByName = slices.SortedFunc(maps.Values(r.machines), func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return r.machinesByName
}

// sortedJobs lists the accepted jobs that are not over, the oldest first.
func (c *Controller) sortedJobs() []*job {
	r := c.replica
	if r.jobsByAge == nil {
		r.jobsByAge = make([]*job, 0, len(r.jobs))
		for _, j := range r.jobs {
			if j.accepted {
				r.jobsByAge = append(r.jobsByAge, j)
			}
		}
		slices.SortFunc(r.jobsByAge, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.spec.AcceptedAt, b.spec.AcceptedAt), strings.Compare(a.id, b.id))
		})
	}
	return r.jobsByAge
}
