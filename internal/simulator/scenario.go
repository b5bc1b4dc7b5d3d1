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

// args are a line's words: positional ones, and name=value pairs.
type args struct {
	pos []string
	kv  map[string]string
	err error
}

func parseArgs(words []string) *args {
	a := &args{kv: map[string]string{}}
	for _, w := range words {
		if k, v, ok := strings.Cut(w, "="); ok {
			a.kv[k] = v
		} else {
			a.pos = append(a.pos, w)
		}
	}
	return a
}

func (a *args) str(i int) string {
	if i < len(a.pos) {
		return a.pos[i]
	}
	if a.err == nil {
		a.err = fmt.Errorf("word %d is missing", i+1)
	}
	return ""
}

func (a *args) num(key string, def float64) float64 {
	v, ok := a.kv[key]
	if !ok {
		return def
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil && a.err == nil {
		a.err = fmt.Errorf("%s=%s: not a number", key, v)
	}
	return x
}

func (a *args) val(key, def string) string {
	if v, ok := a.kv[key]; ok {
		return v
	}
	return def
}

func (a *args) dur(key string, def float64) units.Micros { return units.FromSeconds(a.num(key, def)) }

// Scenario is a parsed text file; see testdata/README.md for the format.
type Scenario struct {
	seed    uint64
	nodes   int
	end     units.Micros
	set     *args
	teams   []config.Team
	types   []cloud.Type
	left    map[string]int
	initial []*args
	steps   []step
	expects []expect

	Trace *Trace // records what controllers send; may be nil
}

type step struct {
	at units.Micros
	do string
	a  *args
}

type expect struct {
	line string
	a    *args
}

// Parse reads a scenario.
func Parse(r io.Reader) (*Scenario, error) {
	s := &Scenario{seed: 1, nodes: 3, end: 120 * units.Second, set: parseArgs(nil), left: map[string]int{}}
	sc := bufio.NewScanner(r)
	for n := 1; sc.Scan(); n++ {
		line, _, _ := strings.Cut(sc.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := s.line(words); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	return s, nil
}

func (s *Scenario) line(words []string) error {
	a := parseArgs(words[1:])
	switch words[0] {
	case "set":
		s.set = a
		s.seed, s.nodes = uint64(a.num("seed", 1)), int(a.num("nodes", 3))
		s.end = a.dur("end", 120)
	case "team":
		s.teams = append(s.teams, config.Team{Name: a.str(0), CPUs: a.num("cpus", 0), CPUsMax: a.num("max", 0), GPUs: a.num("gpus", 0), GPUsMax: a.num("gpumax", 0)})
	case "type":
		t := cloud.Type{Name: a.str(0), CPUs: a.num("cpus", 16), GPUs: a.num("gpus", 0), MemGB: a.num("mem", 64), CacheGB: 50,
			FetchGBs: a.num("fetch", 0.5), Price: a.num("price", 1), SpotPrice: a.num("spotprice", 0.4), BootS: a.num("boot", 30),
			Zones: strings.Split(a.val("zones", "a"), ",")}
		s.types = append(s.types, t)
		for _, z := range t.Zones {
			s.left[offer(t.Name, z, false)] = int(a.num("count", 0))
			s.left[offer(t.Name, z, true)] = int(a.num("spot", 0))
		}
	case "machines":
		s.initial = append(s.initial, a)
	case "at":
		t, err := strconv.ParseFloat(a.str(0), 64)
		if err != nil || len(a.pos) < 2 {
			return fmt.Errorf("at: needs a time and what happens")
		}
		what := a.pos[1]
		a.pos = a.pos[2:]
		s.steps = append(s.steps, step{units.FromSeconds(t), what, a})
	case "expect":
		s.expects = append(s.expects, expect{strings.Join(words, " "), a})
	default:
		return fmt.Errorf("unknown word %q", words[0])
	}
	return a.err
}

// Run plays the scenario. It returns what did not come out as expected, broken
// rules first.
func (s *Scenario) Run(log io.Writer) ([]string, error) {
	w := newWorld(s.seed, log)
	w.trace = s.Trace
	cfg := config.Settings{Size: s.nodes, Teams: s.teams, Zones: []string{"a", "b"}}
	cfg.Workers.ReportS, cfg.Workers.LeaseS, cfg.Workers.CancelS = s.set.num("report", 3), s.set.num("lease", 22), s.set.num("cancel", 47)
	cfg.State.RPS, cfg.State.WriteRPS, cfg.State.ValueKB, cfg.State.TxnOps = 250, s.set.num("writes", 25), s.set.num("value", 4), int(s.set.num("ops", 12))
	cfg.Cloud.RPS, cfg.Cloud.ListLagS = 8, 8
	cfg.Limits.MemoryMB, cfg.Limits.Sockets = 200, 2000
	next := s.nextLimits()
	cfg.State.Next = &next
	w.store.limits = cfg.State.StateLimits
	w.store.writes.rate = cfg.State.WriteRPS
	w.store.keep = int(s.set.num("keep", 10000))
	w.flaky, w.copies = s.set.num("flaky", 0), s.set.num("copies", 0)
	w.Rules.CancelIn = units.FromSeconds(cfg.Workers.CancelS)
	w.cloud.types, w.cloud.left = s.types, s.left
	w.cloud.fail, w.cloud.boot = s.set.num("bootfail", 0), s.set.num("bootfactor", 1)
	for _, t := range s.teams {
		w.Rules.limits[t.Name], w.Rules.gpuLimit[t.Name] = t.CPUsMax, t.GPUsMax
	}
	for i := range s.nodes {
		c := &config.Config{Member: fmt.Sprintf("node%d", i), Settings: cfg}
		w.addNode(c, s.set.val("old", "no") == "yes")
	}
	for _, a := range s.initial {
		for range int(a.num("n", 1)) {
			name := w.cloud.create(a.str(0), a.val("zone", "a"), a.val("spot", "no") == "yes")
			w.cloud.rows[name].l.State = cloud.Running
			w.cloud.up(name)
		}
		if a.err != nil {
			return nil, a.err
		}
	}
	var failure error
	for _, st := range s.steps {
		w.at(units.Second+st.at, func() {
			if err := w.act(st.do, st.a); err != nil && failure == nil {
				failure = fmt.Errorf("at %v %s: %w", st.at.Seconds(), st.do, err)
			}
		})
	}
	for _, st := range s.steps {
		if !slices.Contains([]string{"submit", "cancel", "repeat", "cancel_now", "limits"}, st.do) {
			over := units.Second + st.at + st.a.dur("for", 30)
			if st.do == "roll" || st.do == "upgrade" {
				over += units.Micros(s.nodes) * st.a.dur("every", 20)
			}
			w.Rules.Calm = max(w.Rules.Calm, over)
		}
	}
	w.every(500*units.Millisecond, w.Rules.Tick)
	w.every(waitEvery, w.waiting)
	w.every(3*units.Second, w.users.stranger)
	w.run(units.Second + s.end)
	if failure != nil {
		return nil, failure
	}
	w.Rules.End()
	out := append([]string{}, w.Rules.Broken...)
	for _, e := range s.expects {
		why, err := w.check(e.a)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", e.line, err)
		}
		if why != "" {
			out = append(out, e.line+": "+why)
		}
	}
	return out, nil
}

// nextLimits are the limits that the state service is said to have later.
func (s *Scenario) nextLimits() config.NextLimits {
	var next config.NextLimits
	if _, ok := s.set.kv["nextvalue"]; ok {
		value := s.set.num("nextvalue", 0)
		next.ValueKB = &value
	}
	if _, ok := s.set.kv["nextops"]; ok {
		ops := int(s.set.num("nextops", 0))
		next.TxnOps = &ops
	}
	if _, ok := s.set.kv["nextwrites"]; ok {
		writes := s.set.num("nextwrites", 0)
		next.WriteRPS = &writes
	}
	return next
}

// submission builds a job from a line.
func submission(id string, a *args) *userJob {
	j := &userJob{runS: a.num("run", 20), broken: a.val("broken", "no") == "yes"}
	grades := map[string]int{"best_effort": 0, "standard": 1, "urgent": 2, "production": 3}
	j.spec = schema.Job{
		ID: id, Class: a.val("class", "c"), Team: a.val("team", "red"), Service: a.val("kind", "array") == "service",
		Tasks: int(a.num("n", 1)), CPUs: a.num("cpus", 2), GPUs: a.num("gpus", 0), MemGB: a.num("mem", 4),
		Zone: a.val("zone", ""), OneZone: a.val("onezone", "no") == "yes", Spread: a.val("spread", "no") == "yes",
		Spot: a.val("spot", "no") == "yes", Image: a.val("image", "img"), ImageGB: a.num("gb", 1), EstS: j.runS,
		CkptS: a.num("ckpt", 0), SaveS: a.num("save", 0), DueS: a.num("due", 0),
	}
	j.spec.Grade = grades[a.val("grade", "standard")]
	if j.spec.Service {
		j.spec.Grade = grades[a.val("grade", "production")]
	}
	if t := a.val("types", ""); t != "" {
		j.spec.Types = strings.Split(t, ",")
	}
	if t := a.val("needs", ""); t != "" {
		j.spec.Needs = strings.Split(t, ",")
	}
	j.atOnce = a.val("atonce", "no") == "yes"
	return j
}

// act carries out one step.
func (w *World) act(do string, a *args) error {
	length := a.dur("for", 30)
	switch do {
	case "submit":
		first := a.str(0)
		n, err := strconv.Atoi(strings.TrimPrefix(first, "j-"))
		if err != nil {
			return fmt.Errorf("bad id %q", first)
		}
		for i := range int(a.num("count", 1)) {
			w.users.submit(submission(fmt.Sprintf("j-%06d", n+i), a))
		}
	case "cancel":
		w.users.cancel(a.str(0))
	case "repeat":
		w.users.repeat(a.str(0), a.val("broken", "no") == "yes")
	case "crash":
		for _, name := range strings.Split(a.str(0), ",") {
			n := w.node(name)
			if n == nil {
				return fmt.Errorf("no node %q", name)
			}
			n.crash()
			w.after(length, n.start)
		}
	case "roll", "upgrade": // one after the other; those that are upgraded come back with the present version
		for i, n := range w.nodes {
			w.after(units.Micros(i)*a.dur("every", 20), func() {
				n.old = n.old && do == "roll"
				n.crash()
				w.after(length, n.start)
			})
		}
	case "limits": // those that the settings announce hold from now on
		w.store.limits = w.nodes[0].cfg.Settings.NextState()
		w.store.writes.rate = w.store.limits.WriteRPS
	case "cut":
		mode := a.val("mode", "drop")
		w.cuts = append(w.cuts, &cut{a: a.str(0), b: a.str(1), until: w.now + length, hold: mode == "hold", deaf: mode == "deaf", mute: mode == "mute"})
	case "freeze":
		n := w.node(a.str(0))
		if n == nil {
			return fmt.Errorf("no node %q", a.str(0))
		}
		n.frozen = w.now + length
	case "lose": // the way to some machines
		some := map[string]bool{}
		for _, k := range w.any(int(a.num("n", 1))) {
			some[k.name] = true
		}
		w.cuts = append(w.cuts, &cut{some: some, until: w.now + length, hold: a.val("mode", "drop") == "hold"})
	case "zonecut":
		w.cuts = append(w.cuts, &cut{zone: a.str(0), until: w.now + length, hold: a.val("mode", "drop") == "hold"})
	case "refuse":
		w.store.refuse[a.str(0)] = w.now + length
	case "outage":
		w.store.outage(length)
	case "cloud_outage":
		w.cloud.down = true
		w.after(length, func() { w.cloud.down = false })
	case "die", "hang", "sick", "slow", "take", "notice", "reboot":
		ks := []*worker{w.pick(a.str(0))}
		if a.str(0) == "any" {
			ks = w.any(int(a.num("n", 1)))
		}
		for _, k := range ks {
			if k == nil {
				return fmt.Errorf("no machine %q", a.str(0))
			}
			w.harm(do, k, a, length)
		}
	default:
		return w.actOnTraffic(do, a, length)
	}
	return a.err
}

// actOnTraffic carries out a step that concerns messages, the state service or users.
func (w *World) actOnTraffic(do string, a *args, length units.Micros) error {
	switch do {
	case "slow_answers":
		w.slowAnswers = a.dur("by", 3)
		w.after(length, func() { w.slowAnswers = 0 })
	case "late_writes":
		w.store.late = a.num("share", 0.3)
		w.after(length, func() { w.store.late = 0 })
	case "late_reports":
		w.copies = a.num("share", 0.3)
		w.after(length, func() { w.copies = 0 })
	case "slow_state":
		w.store.slow = a.dur("by", 0.5)
		w.after(length, func() { w.store.slow = 0 })
	case "blind":
		w.store.blind[a.str(0)] = w.now + length
	case "cancel_now":
		w.cancelNow(int(a.num("count", 8)), a.dur("hang", 0))
	case "cancel_at_end":
		w.users.cancelAtEnd = a.num("share", 0.5)
		w.after(length, func() { w.users.cancelAtEnd = 0 })
	case "odd":
		w.users.odd(w.now + length)
	default:
		return fmt.Errorf("unknown step")
	}
	return a.err
}

func (w *World) node(name string) *process {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// pick finds a machine by name, or the one with the most tasks.
func (w *World) pick(name string) *worker {
	if name != "busiest" {
		return w.workers[name]
	}
	var best *worker
	for _, n := range w.names {
		if k := w.workers[n]; k != nil && (best == nil || len(k.tasks) > len(best.tasks)) {
			best = k
		}
	}
	return best
}

// any draws so many machines.
func (w *World) any(n int) []*worker {
	var up []*worker
	for _, name := range w.names {
		if k := w.workers[name]; k != nil {
			up = append(up, k)
		}
	}
	w.rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:min(n, len(up))]
}

// cancelNow has users call off arrays that run and have long to go, within a fifth
// of a second; up to eight of their machines hang for a while.
func (w *World) cancelNow(count int, hang units.Micros) {
	hung := 0
	for _, j := range w.users.sorted() {
		on := w.Rules.machinesOf(j.spec.ID)
		if j.abort || j.accepted == 0 || j.runS < 10 || len(on) == 0 || count == 0 {
			continue
		}
		count--
		w.after(units.Micros(w.rng.Int64N(int64(units.Second/5))), func() { w.users.cancel(j.spec.ID) })
		if k := w.workers[on[0]]; k != nil && hang > 0 && hung < 8 && w.now >= k.hungTo {
			hung++
			w.harm("hang", k, nil, hang)
		}
	}
}

func (w *World) harm(do string, k *worker, a *args, length units.Micros) {
	switch do {
	case "die":
		w.cloud.die(k.name)
	case "hang":
		k.hungTo = w.now + length
		for _, t := range k.tasks { // it makes no progress meanwhile
			t.ends += length
			t.ready += length
		}
	case "sick":
		k.sick = true
		w.after(length, func() { k.sick = false })
	case "slow":
		k.slow = a.num("factor", 4)
	case "reboot": // back at once, with nothing on it and its counts begun anew
		for _, t := range k.sorted() {
			k.drop(t)
		}
		k.session, k.seq, k.token, k.answered, k.changed = 1, 0, 0, w.now, true
	case "take":
		w.cloud.remove(k.name)
	case "notice":
		s := length.Seconds()
		k.notice, k.changed = &s, true
		w.after(length, func() { w.cloud.remove(k.name) })
	}
}

// check answers an expectation: empty if it holds.
func (w *World) check(a *args) (string, error) {
	what := a.str(0)
	switch what {
	case "done", "cancelled", "running":
		for _, id := range a.pos[1:] {
			j := w.users.jobs[id]
			if j == nil {
				return "", fmt.Errorf("no job %s", id)
			}
			if j.stage != what {
				return fmt.Sprintf("%s is %q", id, j.stage), nil
			}
		}
	case "denied":
		if j := w.users.jobs[a.str(1)]; j == nil || j.denied != int(a.num("status", 422)) {
			return "it was not", nil
		}
	case "all_over":
		for _, j := range w.users.sorted() {
			if j.denied == 0 && !j.spec.Service && !j.broken && j.stage != "done" && j.stage != "cancelled" {
				return fmt.Sprintf("%s is %q", j.spec.ID, j.stage), nil
			}
		}
	case "up": // services that run in full
		for _, j := range w.users.sorted() {
			if !j.spec.Service || j.abort || j.denied > 0 {
				continue
			}
			for n := range j.spec.Tasks {
				if !w.Rules.OnMachine(j.spec.ID, n) {
					return fmt.Sprintf("%s/%d is not on a machine", j.spec.ID, n), nil
				}
			}
		}
	case "begun": // within so many seconds of their submission
		for _, id := range a.pos[1:] {
			j := w.users.jobs[id]
			if j == nil {
				return "", fmt.Errorf("no job %s", id)
			}
			if at, ok := w.Rules.begun[id]; !ok || at-j.accepted > a.dur("within", 240) {
				return fmt.Sprintf("%s is not, or late: at %.1f s", id, at.Seconds()), nil
			}
		}
	default:
		return w.checkCounts(what, a)
	}
	return "", a.err
}

// checkCounts answers an expectation about machines and numbers.
func (w *World) checkCounts(what string, a *args) (string, error) {
	switch what {
	case "gone", "there": // machines that were given back or have died; or have not
		for _, n := range a.pos[1:] {
			if (w.workers[n] != nil) != (what == "there") {
				return n + " is not " + what, nil
			}
		}
	case "kept": // no machine's lease has run out
		for _, n := range w.names {
			if k := w.workers[n]; k != nil && k.session > 1 {
				return fmt.Sprintf("%s is in session %d", n, k.session), nil
			}
		}
	case "known": // entries of machines in the store
		n := strings.Count(w.store.text(schema.MachineShards), `"a":"`)
		if lo, hi := int(a.num("min", 0)), int(a.num("max", 1e9)); n < lo || n > hi {
			return fmt.Sprintf("there are %d", n), nil
		}
	case "started":
		if lo, hi := int(a.num("min", 0)), int(a.num("max", 1e9)); w.Rules.Started < lo || w.Rules.Started > hi {
			return fmt.Sprintf("%d tasks were started", w.Rules.Started), nil
		}
	case "machines":
		if lo, hi := int(a.num("min", 0)), int(a.num("max", 1e9)); len(w.workers) < lo || len(w.workers) > hi {
			return fmt.Sprintf("there are %d", len(w.workers)), nil
		}
	default:
		return w.checkStore(what, a)
	}
	return "", a.err
}

// checkStore answers an expectation about the documents in the store.
func (w *World) checkStore(what string, a *args) (string, error) {
	switch what {
	case "format": // of the documents in the store
		var layout schema.Layout
		if e := w.store.keys[schema.LayoutOf]; e != nil {
			if err := json.Unmarshal(e.val, &layout); err != nil {
				return "", fmt.Errorf("layout: %w", err)
			}
		}
		if layout.Format != int(a.num("is", 0)) {
			return fmt.Sprintf("it is %d", layout.Format), nil
		}
	case "small": // no transaction was too large, and no value is
		if w.store.refusedSize > 0 {
			return fmt.Sprintf("%d transactions were too large", w.store.refusedSize), nil
		}
		for key, e := range w.store.keys {
			if float64(len(e.val)) > w.nodes[0].cfg.Settings.NextState().ValueKB*1024 {
				return fmt.Sprintf("%s has %d bytes", key, len(e.val)), nil
			}
		}
	default:
		return "", fmt.Errorf("unknown expectation")
	}
	return "", a.err
}
