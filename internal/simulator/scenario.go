package simulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// arguments are a line's words: positional ones, and name=value pairs.
type arguments struct {
	words   []string
	options map[string]string
	err     error
}

func parseArgs(words []string) *arguments {
	a := &arguments{options: map[string]string{}}
	for _, word := range words {
		if key, value, ok := strings.Cut(word, "="); ok {
			a.options[key] = value
		} else {
			a.words = append(a.words, word)
		}
	}
	return a
}

func (a *arguments) word(i int) string {
	if i < len(a.words) {
		return a.words[i]
	}
	if a.err == nil {
		a.err = fmt.Errorf("word %d is missing", i+1)
	}
	return ""
}

func (a *arguments) number(key string, def float64) float64 {
	text, ok := a.options[key]
	if !ok {
		return def
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil && a.err == nil {
		a.err = fmt.Errorf("%s=%s: not a number", key, text)
	}
	return number
}

func (a *arguments) text(key, def string) string {
	if value, ok := a.options[key]; ok {
		return value
	}
	return def
}

func (a *arguments) duration(key string, def float64) units.Micros {
	return units.FromSeconds(a.number(key, def))
}

// Scenario is a parsed text file; see testdata/README.md for the format.
type Scenario struct {
	seed         uint64
	controllers  int
	end          units.Micros
	settings     *arguments
	teams        []config.Team
	machineTypes []cloud.MachineType
	offers       map[string]int
	machines     []*arguments
	steps        []step
	expectations []expectation

	Trace *Trace // records what controllers send; may be nil
}

type step struct {
	at   units.Micros
	kind string
	args *arguments
}

type expectation struct {
	line string
	args *arguments
}

// Parse reads a scenario.
func Parse(r io.Reader) (*Scenario, error) {
	s := &Scenario{seed: 1, controllers: 3, end: 120 * units.Second, settings: parseArgs(nil), offers: map[string]int{}}
	scanner := bufio.NewScanner(r)
	for number := 1; scanner.Scan(); number++ {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := s.parseLine(words); err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	return s, nil
}

func (s *Scenario) parseLine(words []string) error {
	args := parseArgs(words[1:])
	switch words[0] {
	case "set":
		s.settings = args
		s.seed, s.controllers = uint64(args.number("seed", 1)), int(args.number("nodes", 3))
		s.end = args.duration("end", 120)
	case "team":
		s.teams = append(s.teams, config.Team{Name: args.word(0), GuaranteedCPUs: args.number("cpus", 0), QuotaCPUs: args.number("max", 0), GuaranteedGPUs: args.number("gpus", 0), QuotaGPUs: args.number("gpumax", 0)})
	case "type":
		parsed := cloud.MachineType{Name: args.word(0), CPUs: args.number("cpus", 16), GPUs: args.number("gpus", 0), MemGB: args.number("mem", 64), CacheGB: 50,
			FetchGBPerSecond: args.number("fetch", 0.5), HourlyPrice: args.number("price", 1), SpotHourlyPrice: args.number("spotprice", 0.4), BootSeconds: args.number("boot", 30),
			Zones: strings.Split(args.text("zones", "a"), ",")}
		s.machineTypes = append(s.machineTypes, parsed)
		for _, zone := range parsed.Zones {
			s.offers[offerKey(parsed.Name, zone, false)] = int(args.number("count", 0))
			s.offers[offerKey(parsed.Name, zone, true)] = int(args.number("spot", 0))
		}
	case "machines":
		s.machines = append(s.machines, args)
	case "at":
		parsed, err := strconv.ParseFloat(args.word(0), 64)
		if err != nil || len(args.words) < 2 {
			return fmt.Errorf("at: needs a time and what happens")
		}
		kind := args.words[1]
		args.words = args.words[2:]
		s.steps = append(s.steps, step{units.FromSeconds(parsed), kind, args})
	case "expect":
		s.expectations = append(s.expectations, expectation{strings.Join(words, " "), args})
	default:
		return fmt.Errorf("unknown word %q", words[0])
	}
	return args.err
}

// Run plays the scenario. It returns what did not come out as expected, broken
// rules first.
func (s *Scenario) Run(log io.Writer) ([]string, error) {
	world := newWorld(s.seed, log)
	world.trace = s.Trace
	cfg := config.Settings{Size: s.controllers, Teams: s.teams, Zones: []string{"a", "b"}}
	cfg.Workers.HeartbeatS, cfg.Workers.LeaseS, cfg.Workers.CancelS = s.settings.number("report", 3), s.settings.number("lease", 22), s.settings.number("cancel", 47)
	cfg.KVStore.RPS, cfg.KVStore.WriteRPS, cfg.KVStore.ValueKB, cfg.KVStore.TxnOps = 250, s.settings.number("writes", 25), s.settings.number("value", 4), int(s.settings.number("ops", 12))
	cfg.Cloud.RPS, cfg.Cloud.ListLagS = 8, 8
	cfg.ProcessLimits.MemoryMB, cfg.ProcessLimits.Sockets = 200, 2000
	next := s.nextLimits()
	cfg.KVStore.Next = &next
	world.store.limits = cfg.KVStore.KVLimits
	world.store.writeBudget.rate = cfg.KVStore.WriteRPS
	world.store.historyLength = int(s.settings.number("keep", 10000))
	world.lossRate, world.duplicateRate = s.settings.number("flaky", 0), s.settings.number("copies", 0)
	world.Checker.CancelDeadline = units.FromSeconds(cfg.Workers.CancelS)
	world.cloud.machineTypes, world.cloud.available = s.machineTypes, s.offers
	world.cloud.bootFailureRate, world.cloud.bootFactor = s.settings.number("bootfail", 0), s.settings.number("bootfactor", 1)
	for _, team := range s.teams {
		world.Checker.cpuLimit[team.Name], world.Checker.gpuLimit[team.Name] = team.QuotaCPUs, team.QuotaGPUs
	}
	for i := range s.controllers {
		member := &config.Config{Member: fmt.Sprintf("node%d", i), Settings: cfg}
		world.addProcess(member, s.settings.text("old", "no") == "yes")
	}
	for _, args := range s.machines {
		for range int(args.number("n", 1)) {
			name := world.cloud.create(args.word(0), args.text("zone", "a"), args.text("spot", "no") == "yes")
			world.cloud.machines[name].listed.State = cloud.Running
			world.cloud.bootCompleted(name)
		}
		if args.err != nil {
			return nil, args.err
		}
	}
	var failure error
	for _, planned := range s.steps {
		world.at(units.Second+planned.at, func() {
			if err := world.applyStep(planned.kind, planned.args); err != nil && failure == nil {
				failure = fmt.Errorf("at %v %s: %w", planned.at.Seconds(), planned.kind, err)
			}
		})
	}
	for _, planned := range s.steps {
		if !slices.Contains([]string{"submit", "cancel", "repeat", "cancel_now", "limits"}, planned.kind) {
			over := units.Second + planned.at + planned.args.duration("for", 30)
			if planned.kind == "roll" || planned.kind == "upgrade" {
				over += units.Micros(s.controllers) * planned.args.duration("every", 20)
			}
			world.Checker.FaultsEndAt = max(world.Checker.FaultsEndAt, over)
		}
	}
	world.every(500*units.Millisecond, world.Checker.CheckDeadlines)
	world.every(waitCheckInterval, world.checkWaiting)
	world.every(3*units.Second, world.users.pollUnknownJob)
	world.run(units.Second + s.end)
	if failure != nil {
		return nil, failure
	}
	world.Checker.Finish()
	out := append([]string{}, world.Checker.Violations...)
	for _, expected := range s.expectations {
		why, err := world.checkExpectation(expected.args)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", expected.line, err)
		}
		if why != "" {
			out = append(out, expected.line+": "+why)
		}
	}
	return out, nil
}

// nextLimits are the limits that the state service is said to have later.
func (s *Scenario) nextLimits() config.KVLimitsOverride {
	var next config.KVLimitsOverride
	if _, ok := s.settings.options["nextvalue"]; ok {
		value := s.settings.number("nextvalue", 0)
		next.ValueKB = &value
	}
	if _, ok := s.settings.options["nextops"]; ok {
		ops := int(s.settings.number("nextops", 0))
		next.TxnOps = &ops
	}
	if _, ok := s.settings.options["nextwrites"]; ok {
		writes := s.settings.number("nextwrites", 0)
		next.WriteRPS = &writes
	}
	return next
}

// parseJob builds a job from a line.
func parseJob(id string, args *arguments) *userJob {
	job := &userJob{runSeconds: args.number("run", 20), failing: args.text("broken", "no") == "yes"}
	grades := map[string]int{"best_effort": 0, "standard": 1, "urgent": 2, "production": 3}
	job.spec = schema.Job{
		ID: id, Class: args.text("class", "c"), Team: args.text("team", "red"), Service: args.text("kind", "array") == "service",
		Tasks: int(args.number("n", 1)), CPUs: args.number("cpus", 2), GPUs: args.number("gpus", 0), MemGB: args.number("mem", 4),
		Zone: args.text("zone", ""), OneZone: args.text("onezone", "no") == "yes", Spread: args.text("spread", "no") == "yes",
		Spot: args.text("spot", "no") == "yes", Image: args.text("image", "img"), ImageGB: args.number("gb", 1), EstimatedSeconds: job.runSeconds,
		CheckpointIntervalSeconds: args.number("ckpt", 0), CheckpointSeconds: args.number("save", 0), DeadlineSeconds: args.number("due", 0),
	}
	job.spec.Priority = grades[args.text("grade", "standard")]
	if job.spec.Service {
		job.spec.Priority = grades[args.text("grade", "production")]
	}
	if list := args.text("types", ""); list != "" {
		job.spec.Types = strings.Split(list, ",")
	}
	if list := args.text("needs", ""); list != "" {
		job.spec.Needs = strings.Split(list, ",")
	}
	job.ignoresNeeds = args.text("atonce", "no") == "yes"
	return job
}

// applyStep carries out one step.
func (w *World) applyStep(kind string, args *arguments) error {
	length := args.duration("for", 30)
	switch kind {
	case "submit":
		first := args.word(0)
		n, err := strconv.Atoi(strings.TrimPrefix(first, "j-"))
		if err != nil {
			return fmt.Errorf("bad id %q", first)
		}
		for i := range int(args.number("count", 1)) {
			w.users.submit(parseJob(fmt.Sprintf("j-%06d", n+i), args))
		}
	case "cancel":
		w.users.cancel(args.word(0))
	case "repeat":
		w.users.repeat(args.word(0), args.text("broken", "no") == "yes")
	case "crash":
		for _, name := range strings.Split(args.word(0), ",") {
			n := w.findProcess(name)
			if n == nil {
				return fmt.Errorf("no node %q", name)
			}
			n.crash()
			w.after(length, n.start)
		}
	case "roll", "upgrade": // one after the other; those that are upgraded come back with the present version
		for i, n := range w.processes {
			w.after(units.Micros(i)*args.duration("every", 20), func() {
				n.previousVersion = n.previousVersion && kind == "roll"
				n.crash()
				w.after(length, n.start)
			})
		}
	case "limits": // those that the settings announce hold from now on
		w.store.limits = w.processes[0].cfg.Settings.NextKVLimits()
		w.store.writeBudget.rate = w.store.limits.WriteRPS
	case "cut":
		mode := args.text("mode", "drop")
		w.networkPartitions = append(w.networkPartitions, &networkPartition{host: args.word(0), peer: args.word(1), until: w.now + length, delayed: mode == "hold", inboundLost: mode == "deaf", inboundRequestsLost: mode == "mute"})
	case "freeze":
		n := w.findProcess(args.word(0))
		if n == nil {
			return fmt.Errorf("no node %q", args.word(0))
		}
		n.pausedUntil = w.now + length
	case "lose": // the way to some machines
		machines := map[string]bool{}
		for _, worker := range w.randomWorkers(int(args.number("n", 1))) {
			machines[worker.name] = true
		}
		w.networkPartitions = append(w.networkPartitions, &networkPartition{machines: machines, until: w.now + length, delayed: args.text("mode", "drop") == "hold"})
	case "zonecut":
		w.networkPartitions = append(w.networkPartitions, &networkPartition{zone: args.word(0), until: w.now + length, delayed: args.text("mode", "drop") == "hold"})
	case "refuse":
		w.store.unavailableUntil[args.word(0)] = w.now + length
	case "outage":
		w.store.startOutage(length)
	case "cloud_outage":
		w.cloud.down = true
		w.after(length, func() { w.cloud.down = false })
	case "die", "hang", "sick", "slow", "take", "notice", "reboot":
		workers := []*fakeAgent{w.findWorker(args.word(0))}
		if args.word(0) == "any" {
			workers = w.randomWorkers(int(args.number("n", 1)))
		}
		for _, worker := range workers {
			if worker == nil {
				return fmt.Errorf("no machine %q", args.word(0))
			}
			w.applyMachineFault(kind, worker, args, length)
		}
	default:
		return w.applyTrafficFault(kind, args, length)
	}
	return args.err
}

// applyTrafficFault carries out a step that concerns messages, the state service or users.
func (w *World) applyTrafficFault(kind string, args *arguments, length units.Micros) error {
	switch kind {
	case "slow_answers":
		w.maxAnswerDelay = args.duration("by", 3)
		w.after(length, func() { w.maxAnswerDelay = 0 })
	case "late_writes":
		w.store.lateCommitRate = args.number("share", 0.3)
		w.after(length, func() { w.store.lateCommitRate = 0 })
	case "late_reports":
		w.duplicateRate = args.number("share", 0.3)
		w.after(length, func() { w.duplicateRate = 0 })
	case "slow_state":
		w.store.maxDelay = args.duration("by", 0.5)
		w.after(length, func() { w.store.maxDelay = 0 })
	case "blind":
		w.store.watchesLostUntil[args.word(0)] = w.now + length
	case "cancel_now":
		w.cancelRunning(int(args.number("count", 8)), args.duration("hang", 0))
	case "cancel_at_end":
		w.users.cancelAtEnd = args.number("share", 0.5)
		w.after(length, func() { w.users.cancelAtEnd = 0 })
	case "odd":
		w.users.sendInvalid(w.now + length)
	default:
		return fmt.Errorf("unknown step")
	}
	return args.err
}

func (w *World) findProcess(name string) *controllerProcess {
	for _, process := range w.processes {
		if process.name == name {
			return process
		}
	}
	return nil
}

// findWorker finds a machine by name, or the one with the most tasks.
func (w *World) findWorker(name string) *fakeAgent {
	if name != "busiest" {
		return w.workers[name]
	}
	var busiest *fakeAgent
	for _, name := range w.workerNames {
		if worker := w.workers[name]; worker != nil && (busiest == nil || len(worker.tasks) > len(busiest.tasks)) {
			busiest = worker
		}
	}
	return busiest
}

// randomWorkers draws so many machines.
func (w *World) randomWorkers(n int) []*fakeAgent {
	var running []*fakeAgent
	for _, name := range w.workerNames {
		if worker := w.workers[name]; worker != nil {
			running = append(running, worker)
		}
	}
	w.rng.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	return running[:min(n, len(running))]
}

// cancelRunning has users call off arrays that run and have long to go, within a fifth
// of a second; up to eight of their machines hang for a while.
func (w *World) cancelRunning(count int, hang units.Micros) {
	hung := 0
	for _, job := range w.users.sortedJobs() {
		machines := w.Checker.machinesOf(job.spec.ID)
		if job.cancelRequested || job.acceptedAt == 0 || job.runSeconds < 10 || len(machines) == 0 || count == 0 {
			continue
		}
		count--
		w.after(units.Micros(w.rng.Int64N(int64(units.Second/5))), func() { w.users.cancel(job.spec.ID) })
		if worker := w.workers[machines[0]]; worker != nil && hang > 0 && hung < 8 && w.now >= worker.hungUntil {
			hung++
			w.applyMachineFault("hang", worker, nil, hang)
		}
	}
}

func (w *World) applyMachineFault(kind string, worker *fakeAgent, args *arguments, length units.Micros) {
	switch kind {
	case "die":
		w.cloud.crash(worker.name)
	case "hang":
		worker.hungUntil = w.now + length
		for _, running := range worker.tasks { // it makes no progress meanwhile
			running.endsAt += length
			running.imageReadyAt += length
		}
	case "sick":
		worker.failsTasks = true
		w.after(length, func() { worker.failsTasks = false })
	case "slow":
		worker.slowdown = args.number("factor", 4)
	case "reboot": // back at once, with nothing on it and its counts begun anew
		for _, running := range worker.sortedTasks() {
			worker.drop(running)
		}
		worker.epoch, worker.seq, worker.token, worker.leaseRenewedAt, worker.changed = 1, 0, 0, w.now, true
	case "take":
		w.cloud.remove(worker.name)
	case "notice":
		seconds := length.Seconds()
		worker.spotNotice, worker.changed = &seconds, true
		w.after(length, func() { w.cloud.remove(worker.name) })
	}
}

// checkExpectation answers an expectation: empty if it holds.
func (w *World) checkExpectation(args *arguments) (string, error) {
	kind := args.word(0)
	switch kind {
	case "done", "cancelled", "running":
		for _, id := range args.words[1:] {
			job := w.users.jobs[id]
			if job == nil {
				return "", fmt.Errorf("no job %s", id)
			}
			if job.stage != kind {
				return fmt.Sprintf("%s is %q", id, job.stage), nil
			}
		}
	case "denied":
		if job := w.users.jobs[args.word(1)]; job == nil || job.rejectedStatus != int(args.number("status", 422)) {
			return "it was not", nil
		}
	case "all_over":
		for _, job := range w.users.sortedJobs() {
			if job.rejectedStatus == 0 && !job.spec.Service && !job.failing && job.stage != "done" && job.stage != "cancelled" {
				return fmt.Sprintf("%s is %q", job.spec.ID, job.stage), nil
			}
		}
	case "up": // services that run in full
		for _, job := range w.users.sortedJobs() {
			if !job.spec.Service || job.cancelRequested || job.rejectedStatus > 0 {
				continue
			}
			for num := range job.spec.Tasks {
				if !w.Checker.IsRunning(job.spec.ID, num) {
					return fmt.Sprintf("%s/%d is not on a machine", job.spec.ID, num), nil
				}
			}
		}
	case "begun": // within so many seconds of their submission
		for _, id := range args.words[1:] {
			job := w.users.jobs[id]
			if job == nil {
				return "", fmt.Errorf("no job %s", id)
			}
			if at, ok := w.Checker.startedAt[id]; !ok || at-job.acceptedAt > args.duration("within", 240) {
				return fmt.Sprintf("%s is not, or late: at %.1f s", id, at.Seconds()), nil
			}
		}
	default:
		return w.checkCounts(kind, args)
	}
	return "", args.err
}

// checkCounts answers an expectation about machines and numbers.
func (w *World) checkCounts(kind string, args *arguments) (string, error) {
	switch kind {
	case "gone", "there": // machines that were given back or have died; or have not
		for _, n := range args.words[1:] {
			if (w.workers[n] != nil) != (kind == "there") {
				return n + " is not " + kind, nil
			}
		}
	case "kept": // no machine's lease has run out
		for _, n := range w.workerNames {
			if worker := w.workers[n]; worker != nil && worker.epoch > 1 {
				return fmt.Sprintf("%s is in session %d", n, worker.epoch), nil
			}
		}
	case "known": // entries of machines in the store
		n := strings.Count(w.store.textUnder(schema.MachineShardPrefix), `"a":"`)
		if least, most := int(args.number("min", 0)), int(args.number("max", 1e9)); n < least || n > most {
			return fmt.Sprintf("there are %d", n), nil
		}
	case "started":
		if least, most := int(args.number("min", 0)), int(args.number("max", 1e9)); w.Checker.Starts < least || w.Checker.Starts > most {
			return fmt.Sprintf("%d tasks were started", w.Checker.Starts), nil
		}
	case "machines":
		if least, most := int(args.number("min", 0)), int(args.number("max", 1e9)); len(w.workers) < least || len(w.workers) > most {
			return fmt.Sprintf("there are %d", len(w.workers)), nil
		}
	default:
		return w.checkDocuments(kind, args)
	}
	return "", args.err
}

// checkDocuments answers an expectation about the documents in the store.
func (w *World) checkDocuments(kind string, args *arguments) (string, error) {
	switch kind {
	case "format": // of the documents in the store
		var layout schema.Layout
		if stored := w.store.keys[schema.LayoutKey]; stored != nil {
			if err := json.Unmarshal(stored.value, &layout); err != nil {
				return "", fmt.Errorf("layout: %w", err)
			}
		}
		if layout.Format != int(args.number("is", 0)) {
			return fmt.Sprintf("it is %d", layout.Format), nil
		}
	case "small": // no transaction was too large, and no value is
		if w.store.oversizedTxns > 0 {
			return fmt.Sprintf("%d transactions were too large", w.store.oversizedTxns), nil
		}
		for key, stored := range w.store.keys {
			if float64(len(stored.value)) > w.processes[0].cfg.Settings.NextKVLimits().ValueKB*1024 {
				return fmt.Sprintf("%s has %d bytes", key, len(stored.value)), nil
			}
		}
	default:
		return "", fmt.Errorf("unknown expectation")
	}
	return "", args.err
}
