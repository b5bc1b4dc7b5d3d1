package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// build makes a controller's binary in a directory; extra are further arguments of go build.
func build(t *testing.T, source, target string, extra ...string) {
	t.Helper()
	args := append([]string{"build", "-ldflags=-linkmode=external", "-o", target}, extra...)
	cmd := exec.Command("go", append(args, "./cmd/frostdock")...)
	cmd.Dir = source
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
}

// buildProduction builds the version that deploy/service.toml names as in production, from the
// repository's history; it reports false where that is not there.
func buildProduction(t *testing.T, dir string) (string, bool) {
	t.Helper()
	root := "../.."
	raw, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"`).FindSubmatch(raw)
	if found == nil {
		return "", false
	}
	source := filepath.Join(dir, "production")
	if err := os.Mkdir(source, 0o700); err != nil {
		t.Fatal(err)
	}
	archive := exec.Command("git", "archive", string(found[1]))
	archive.Dir = root
	tar, err := archive.Output()
	if err != nil {
		return "", false // a shallow clone
	}
	unpack := exec.Command("tar", "x", "-C", source)
	unpack.Stdin = bytes.NewReader(tar)
	if out, err := unpack.CombinedOutput(); err != nil {
		t.Fatalf("unpack: %v\n%s", err, out)
	}
	target := filepath.Join(dir, "frostdock-production")
	build(t, source, target)
	return target, true
}

// envNumber reads a variable, or gives the default.
func envNumber(t *testing.T, name string, usual int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// seeds are those of SOAK, FROM-TO, or a few fixed ones.
func seeds(t *testing.T) (from, to int) {
	t.Helper()
	text := os.Getenv("SOAK")
	if text == "" {
		return 1, 4
	}
	first, last, _ := strings.Cut(text, "-")
	from, err := strconv.Atoi(first)
	if err != nil {
		t.Fatalf("SOAK: %v", err)
	}
	to = from
	if last != "" {
		if to, err = strconv.Atoi(last); err != nil {
			t.Fatalf("SOAK: %v", err)
		}
	}
	return from, to
}

// scaleLimits lets the state service take more of a larger fleet, which has more users: a run asks
// for no more than the deployment takes, since what is over in time depends on that.
func scaleLimits(machines int) {
	factor := max(1, float64(machines)/usualWorkers)
	for _, limits := range []*storeLimits{&currentLimits, &announcedLimits} {
		limits.changesPerSecond *= factor
		limits.requestsPerSecond *= factor
	}
}

// TestSoak runs real processes among stand-ins while faults come; see the package. Every third
// seed rolls the version in production to this one.
//
// SOAK=1-50 plays other seeds, SOAK_S sets the seconds of trouble, SOAK_WORKERS the machines,
// SOAK_CALM_S how long all may take to end afterwards (a large fleet has many users, and the teams'
// limits do not grow with it), SOAK_AT_ONCE the runs at a time, SOAK_RACE=1 builds with the race detector.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "frostdock")
	var extra []string
	if os.Getenv("SOAK_RACE") != "" {
		extra = append(extra, "-race")
	}
	build(t, "../..", binary, extra...)
	production, ok := buildProduction(t, dir)
	if !ok {
		t.Log("not run: the roll from the version in production, whose history is missing here")
	}
	scaleLimits(envNumber(t, "SOAK_WORKERS", usualWorkers))
	from, to := seeds(t)
	slots := make(chan int, 8)
	for i := range min(envNumber(t, "SOAK_AT_ONCE", 4), cap(slots)) {
		slots <- i
	}
	t.Run("seeds", func(t *testing.T) {
		for seed := from; seed <= to; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				slot := <-slots
				defer func() { slots <- slot }()
				before := ""
				if seed%3 == 0 {
					before = production
				}
				soak(t, Options{
					Seed: uint64(seed), Binary: binary, PreviousBinary: before, Instance: slot, Workers: envNumber(t, "SOAK_WORKERS", usualWorkers),
					FaultTime: time.Duration(envNumber(t, "SOAK_S", 25)) * time.Second, SettleTime: time.Duration(envNumber(t, "SOAK_CALM_S", 75)) * time.Second,
				})
			})
		}
	})
}

// maxJudgedStall is the most that the host may have stood still in all for a run whose rules on time
// are to be judged: the protocol's times have that much to spare.
const maxJudgedStall = 2 * time.Second

// timedRules are the rules that a host which stands still breaks by itself.
var timedRules = []string{" ran_cancelled: ", " orphaned: "}

func soak(t *testing.T, opts Options) {
	t.Helper()
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", opts.Seed))
	if err != nil {
		t.Fatal(err)
	}
	opts.Dir = dir
	begun := time.Now()
	report, err := Run(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d, %d machines, production first %v: %.0f s, %d jobs, %d answers, %d tasks started, %d of them of jobs called cancelled, within the time allowed; the host stood still for %v",
		opts.Seed, opts.Workers, opts.PreviousBinary != "", time.Since(begun).Seconds(), report.Jobs, report.Answers, report.Started, report.LateStarts, report.Stalled.Round(time.Millisecond))
	broken := append(slices.Clone(report.Broken), report.Exits...)
	for _, id := range report.Unfinished {
		broken = append(broken, "not over at the end: "+id)
	}
	if report.Stalled > maxJudgedStall && len(broken) > 0 && !slices.ContainsFunc(report.Broken, func(line string) bool { return !isTimed(line) }) && len(report.Exits) == 0 {
		t.Skipf("NOT JUDGED: the host stood still for %v, and only rules on time seem broken: %v; logs in %s", report.Stalled, broken, dir)
	}
	if len(broken) == 0 {
		_ = os.RemoveAll(dir)
		return
	}
	for _, line := range broken {
		t.Error(line)
	}
	timeline, err := merge(dir)
	if err != nil {
		t.Error(err)
	}
	t.Logf("faults of seed %d:\n%s", opts.Seed, strings.Join(matching(timeline, "fault: "), "\n"))
	t.Logf("logs, settings and the merged timeline are in %s", dir)
}

func isTimed(line string) bool {
	return slices.ContainsFunc(timedRules, func(rule string) bool { return strings.Contains(line, rule) })
}

func matching(lines []string, what string) []string {
	return slices.DeleteFunc(slices.Clone(lines), func(line string) bool { return !strings.Contains(line, what) })
}

// merge writes all logs of a run in the order of their times.
func merge(dir string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		source := strings.TrimSuffix(filepath.Base(file), ".log")
		for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
			stamp, rest, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
			if at, err := time.Parse(time.RFC3339Nano, stamp); err == nil {
				line = at.UTC().Format("15:04:05.000000") + " " + source + " " + rest
			}
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(a[:min(15, len(a))], b[:min(15, len(b))]) })
	return lines, os.WriteFile(filepath.Join(dir, "timeline.txt"), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}
