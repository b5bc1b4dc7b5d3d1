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

// Core is the state of one controller.
type Core struct {
	cfg *config.Config
	pol *policy.Policy
	log *slog.Logger

	now  units.Micros // steady clock
	wall units.Micros // time of day
	out  []Effect

	replica *replica
	dirty   bool

	nextID     uint64
	stateCalls map[uint64]func(kv.Response)
	cloudCalls map[uint64]func(CloudDone)
	cmdCalls   map[uint64]func(WorkerDone)
	timers     []timer

	// Membership and claims.
	processID    string
	incarnations int
	incarnation  string
	leaseID      uint64
	knownAt      units.Micros // the copy is known to have been complete then; 0: never
	alive        bool         // registered, and as far as known still so

	entitledAt units.Micros // since when this process may act on its copy; 0: it may not

	owned   map[int]*ownedPartition
	markN   uint64
	writing map[string]bool // keys in a batch that is not yet answered

	// State service.
	stateOK    units.Micros   // when it last answered
	stateBad   bool           // it refused or failed since
	written    map[string]int // changes since the last summary, by what they change
	tokens     float64        // changes this node may still make
	tokensAt   units.Micros
	tokensMost float64 // that may be saved up
	limits     stateLimits
	spent      int     // changes since the last heartbeat
	lately     float64 // changes a second, a moving average
	confirmQ   []freshnessWait
	confirmAt  units.Micros
	confirms   int
	waitRev    []freshnessWait

	// Users.
	open              map[uint64]units.Micros // when each is given up
	reading           map[string]bool         // jobs whose ends are being read for those that need them
	accepts           []pendingAccept
	accepting         bool
	acceptAt          units.Micros // when the store may take more
	splittingJobShard bool         // a job shard is being split
	jobShardSplitAt   units.Micros // the next one is not before
	acceptRev         uint64       // the replica must have come this far before the next accepts

	// Others.
	teamParts []int // partitions that have teams
	peers     map[string]peerState
	heard     map[string]units.Micros
	entering  map[string]*newMachine // machines about to be entered
	pokes     []*machine             // machines whose entries have changed in this step
	reports   []ReportReq            // that have come in this step
	zones     map[string]zoneState   // those that may be cut off

	classAverage map[string]units.Micros // average task time by class of jobs, as last known

	audit audit

	cloud  cloudState
	lastAt map[string]units.Micros // when each periodic duty was last done
}

type timer struct {
	at units.Micros
	f  func()
}

type peerState struct {
	at        units.Micros
	heartbeat peer.Heartbeat
}

// New returns a controller that knows nothing yet. inc must be unique among all
// processes that ever run.
func New(cfg *config.Config, pol *policy.Policy, log *slog.Logger, incarnation string) *Core {
	c := &Core{
		cfg: cfg, pol: pol, log: log.With("node", cfg.Member),
		stateCalls: map[uint64]func(kv.Response){}, cloudCalls: map[uint64]func(CloudDone){}, cmdCalls: map[uint64]func(WorkerDone){},
		processID: incarnation, incarnation: incarnation, owned: map[int]*ownedPartition{}, writing: map[string]bool{},
		open: map[uint64]units.Micros{}, peers: map[string]peerState{}, heard: map[string]units.Micros{}, entering: map[string]*newMachine{}, zones: map[string]zoneState{}, written: map[string]int{},
		cloud: newCloudState(), lastAt: map[string]units.Micros{}, classAverage: map[string]units.Micros{},
		limits: newStateLimits(&cfg.Settings), reading: map[string]bool{}, audit: newAudit(),
	}
	for _, t := range cfg.Settings.Teams {
		if p := c.partOf(t.Name); !slices.Contains(c.teamParts, p) {
			c.teamParts = append(c.teamParts, p)
		}
	}
	slices.Sort(c.teamParts)
	if len(c.teamParts) == 0 {
		c.teamParts = []int{0}
	}
	c.replica = newReplica(c.newLayout(), func(g int) int { return c.teamParts[g%len(c.teamParts)] })
	return c
}

// Step takes what happened since the last step and returns what to do.
func (c *Core) Step(now, wall units.Micros, msgs []Msg) []Effect {
	first := c.now == 0
	c.now, c.wall, c.out = now, wall, nil
	if first {
		c.tokensAt = now
		c.register()
		c.load()
	}
	for _, m := range msgs {
		c.handle(m)
	}
	for len(c.timers) > 0 {
		i, due := 0, false
		for k := range c.timers {
			if c.timers[k].at <= now {
				i, due = k, true
				break
			}
		}
		if !due {
			break
		}
		f := c.timers[i].f
		c.timers = append(c.timers[:i], c.timers[i+1:]...)
		f()
	}
	c.answerReports()
	c.sendPokes()
	c.duties()
	return c.out
}

func (c *Core) handle(m Msg) {
	switch m := m.(type) {
	case UserReq:
		c.user(m)
	case ReadyReq:
		c.ready(m)
	case ReportReq:
		c.reports = append(c.reports, m) // answered when all else has been read
	case StateDone:
		if done, ok := c.stateCalls[m.ID]; ok {
			delete(c.stateCalls, m.ID)
			switch m.Resp.Status {
			case 200, 404, 409, 410:
				c.stateOK, c.stateBad = c.now, false
				c.replica.seenRev = max(c.replica.seenRev, m.Resp.Rev)
			case 0, 503:
				c.stateBad = true
			case 429:
				c.tooBusy()
			}
			done(m.Resp)
		}
	case CloudDone:
		if f, ok := c.cloudCalls[m.ID]; ok {
			delete(c.cloudCalls, m.ID)
			f(m)
		}
	case WorkerDone:
		if f, ok := c.cmdCalls[m.ID]; ok {
			delete(c.cmdCalls, m.ID)
			f(m)
		}
	case PeerHeartbeat:
		c.peers[m.Beat.Member] = peerState{at: c.now, heartbeat: m.Beat}
		c.takeEnded(m.Beat.Ended)
	}
}

// duties are what is done without being asked.
func (c *Core) duties() {
	if c.every("tokens", 20*units.Millisecond) {
		c.refill()
	}
	c.learnRevision()
	c.noteEntitled()
	c.sendConfirm()
	c.sendAccepts()
	if c.every("users", 100*units.Millisecond) {
		c.expireUsers()
	}
	if c.every("claims", 250*units.Millisecond) {
		c.checkWatch()
		c.claims()
		c.raiseFormat()
		c.watchMachines()
	}
	c.entered()
	c.readEnds()
	c.splitJobShards()
	if c.every("beat", units.Second) {
		c.sendHeartbeat()
	}
	if c.every("decisions", auditEvery) {
		c.tellDecisions()
	}
	if c.every("summary", summaryEvery) {
		c.summary()
	}
	if c.replica.synced {
		c.provision()
		if c.dirty || c.every("plan", 100*units.Millisecond) {
			c.dirty = false
			for _, p := range c.ownedParts() {
				c.plan(p)
			}
		}
	}
}

func (c *Core) every(what string, period units.Micros) bool {
	at, ok := c.lastAt[what]
	if ok && c.now-at < period {
		return false
	}
	c.lastAt[what] = c.now
	return true
}

func (c *Core) after(d units.Micros, f func()) {
	c.timers = append(c.timers, timer{c.now + d, f})
}

func (c *Core) id() uint64 {
	c.nextID++
	return c.nextID
}

func (c *Core) callState(req kv.Request, done func(kv.Response)) {
	id := c.id()
	c.stateCalls[id] = done
	c.out = append(c.out, StateCall{id, req})
}

func (c *Core) reply(to uint64, status int, body any) {
	c.out = append(c.out, Reply{To: to, Status: status, Body: body})
}

// sendHeartbeat tells the others which machines this node hears, as evidence that a
// machine lives, and whether it reaches the state service.
func (c *Core) sendHeartbeat() {
	b := peer.Heartbeat{Member: c.cfg.Member, Inc: c.incarnation, StateOK: c.stateFine(), Heard: map[string]int64{}, Open: map[string][]string{}}
	for name, m := range c.replica.machines {
		if m.rt != nil && c.usable(m.part()) && c.acceptsTasks(m) {
			b.Open[name] = slices.Sorted(maps.Keys(m.rt.images))
		}
	}
	for m, at := range c.heard {
		if c.now-at > 2*c.cfg.Settings.Lease() {
			delete(c.heard, m)
			continue
		}
		b.Heard[m] = int64(c.now - at)
	}
	c.lately += (float64(c.spent) - c.lately) * recentWeight
	c.spent = 0
	if c.chainsEnabled() {
		b.Ended, b.Writes = c.endedForOthers(), c.lately
	}
	c.out = append(c.out, SendHeartbeat{b})
}

// heartbeatLife is how long a heartbeat tells of the present.
const heartbeatLife = 3 * units.Second

// heartbeatOf is the latest heartbeat of one process, if it is recent.
func (c *Core) heartbeatOf(member, incarnation string) (peer.Heartbeat, bool) {
	p, ok := c.peers[member]
	if !ok || p.heartbeat.Inc != incarnation || c.now-p.at > heartbeatLife {
		return peer.Heartbeat{}, false
	}
	return p.heartbeat, true
}

// recentWeight is how much the last second counts among the changes made lately.
const recentWeight = 0.4

const summaryEvery = 30 * units.Second

// summary tells the state in one line, so that a log can be read from anywhere.
func (c *Core) summary() {
	jobs, services, waiting, bound := 0, 0, 0, 0
	for _, j := range c.replica.jobs {
		if j.known && !j.cancelled() {
			jobs++
			if j.spec.Service {
				services++
			}
			waiting += j.waiting()
			bound += len(j.bound)
		}
	}
	mine := 0
	for _, m := range c.replica.machines {
		if m.rt != nil {
			mine++
		}
	}
	c.log.Info("summary", append(c.proof(), "epochs", c.epochs(), "entitled", c.entitled(), "invariants_violated", c.audit.violations, "state_ok", c.stateFine(),
		"jobs", jobs, "services", services, "tasks_waiting", waiting, "tasks_bound", bound,
		"machines", len(c.replica.machines), "machines_mine", mine, "requests_open", len(c.open), "written", c.written)...)
	c.written = map[string]int{}
}

func (c *Core) stateFine() bool { return !c.stateBad && c.now-c.stateOK < 3*units.Second }

// mark makes a value that no other commit has, so that after an unclear answer
// a reader can tell this commit's writes from all others.
func (c *Core) mark() string {
	c.markN++
	return c.incarnation + "-" + strconv.FormatUint(c.markN, 36)
}

func (c *Core) ownedParts() []int {
	return slices.Sorted(maps.Keys(c.owned))
}

// partOf parts the teams among the partitions, by their order in the settings.
func (c *Core) partOf(team string) int {
	for i, t := range c.cfg.Settings.Teams {
		if t.Name == team {
			return i % c.cfg.Settings.Size
		}
	}
	return 0
}

func (c *Core) team(name string) *config.Team {
	for i := range c.cfg.Settings.Teams {
		if c.cfg.Settings.Teams[i].Name == name {
			return &c.cfg.Settings.Teams[i]
		}
	}
	return nil
}

func (c *Core) machineType(name string) *cloud.Type {
	for i := range c.cloud.types {
		if c.cloud.types[i].Name == name {
			return &c.cloud.types[i]
		}
	}
	return nil
}

// sortedMachines lists the machines in the order of their names: map order
// would make runs differ.
func (c *Core) sortedMachines() []*machine {
	r := c.replica
	if r.byName == nil {
		r.byName = slices.SortedFunc(maps.Values(r.machines), func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return r.byName
}

// sortedJobs lists the accepted jobs that are not over, the oldest first.
func (c *Core) sortedJobs() []*job {
	r := c.replica
	if r.byAge == nil {
		r.byAge = make([]*job, 0, len(r.jobs))
		for _, j := range r.jobs {
			if j.known {
				r.byAge = append(r.byAge, j)
			}
		}
		slices.SortFunc(r.byAge, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.spec.At, b.spec.At), strings.Compare(a.id, b.id))
		})
	}
	return r.byAge
}
