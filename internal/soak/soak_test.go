package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestSoak runs real processes among stand-ins while faults come; see the package. Every third
// seed upgrades the version in production to this one.
//
// SOAK=1-50 plays other seeds, SOAK_S sets the seconds of faults, SOAK_WORKERS the machines,
// SOAK_CALM_S how long all may take to end afterwards (a large fleet has many users, and the teams'
// quotas do not grow with it), SOAK_AT_ONCE the runs at a time, SOAK_RACE=1 builds with the race detector.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "frostdock")
	var extra []string
	if os.Getenv("SOAK_RACE") != "" {
		extra = append(extra, "-race")
	}
	build(t, repositoryRoot, binary, extra...)
	production, ok := buildProduction(t, dir)
	if !ok {
		t.Log("not run: the upgrade from the version in production, whose history is missing here")
	}
	options := Options{
		Binary: binary, Workers: envNumber(t, "SOAK_WORKERS", usualWorkers),
		FaultTime: envSeconds(t, "SOAK_S", 25), SettleTime: envSeconds(t, "SOAK_CALM_S", 75),
	}
	scaleLimits(options.Workers)
	from, to := seeds(t)
	instances := make(chan int, maxInstances)
	for i := range min(envNumber(t, "SOAK_AT_ONCE", 4), cap(instances)) {
		instances <- i
	}
	t.Run("seeds", func(t *testing.T) {
		for seed := from; seed <= to; seed++ {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				opts := options
				opts.Seed, opts.Instance = uint64(seed), <-instances
				defer func() { instances <- opts.Instance }()
				if seed%3 == 0 {
					opts.PreviousBinary = production
				}
				soak(t, opts)
			})
		}
	})
}

// soak plays one run and fails for all that was broken in it.
func soak(t *testing.T, opts Options) {
	t.Helper()
	// Not t.TempDir: the directory is kept when the run fails.
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", opts.Seed))
	if err != nil {
		t.Fatal(err)
	}
	opts.Dir = dir
	startedAt := time.Now()
	report, err := Run(t.Context(), opts)
	if err != nil {
		t.Error(err)
	}
	if report == nil {
		return
	}
	t.Logf("seed %d, %d machines, production first %v: %.0f s, %d jobs, %d answers, "+
		"%d tasks started, %d of them of jobs called cancelled, within the time allowed; the host stood still for %v",
		opts.Seed, opts.Workers, opts.PreviousBinary != "", time.Since(startedAt).Seconds(), report.Jobs, report.Answers,
		report.TasksStarted, report.LateStarts, report.Stalled.Round(time.Millisecond))
	broken := brokenLines(report)
	if len(broken) == 0 {
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
		return
	}
	if report.Stalled > maxJudgedStall && onlyTimedRulesBroken(report) {
		t.Skipf("NOT JUDGED: the host stood still for %v, and only rules on time seem broken: %v; logs in %s", report.Stalled, broken, dir)
	}
	for _, line := range broken {
		t.Error(line)
	}
	logTimeline(t, opts.Seed, dir)
}

// brokenLines lists all that fails a run.
func brokenLines(report *Report) []string {
	var lines []string
	for _, violation := range report.Violations {
		lines = append(lines, violation.String())
	}
	lines = append(lines, report.Exits...)
	for _, id := range report.Unfinished {
		lines = append(lines, "not over at the end: "+id)
	}
	return lines
}

// maxJudgedStall is the most that the host may have stood still in all for a run whose rules on time
// are to be judged: the protocol's times have that much to spare.
const maxJudgedStall = 2 * time.Second

// timedRules are the rules that a host which stands still breaks by itself.
var timedRules = []Rule{RuleRanCancelled, RuleOrphaned}

// onlyTimedRulesBroken reports whether all that fails a run may come of a host that stood still.
func onlyTimedRulesBroken(report *Report) bool {
	isUntimed := func(violation Violation) bool { return !slices.Contains(timedRules, violation.Rule) }
	return len(report.Exits) == 0 && !slices.ContainsFunc(report.Violations, isUntimed)
}

// scaleLimits lets the key-value store take more of a larger fleet, which has more users: a run asks
// for no more than the deployment takes, since what is over in time depends on that.
func scaleLimits(machines int) {
	factor := max(1, float64(machines)/usualWorkers)
	for _, limits := range []*storeLimits{&currentLimits, &announcedLimits} {
		limits.operationsPerSecond *= factor
		limits.requestsPerSecond *= factor
	}
}

// envNumber reads a variable, or gives the default.
func envNumber(t *testing.T, name string, usual int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

// envSeconds reads a variable of so many seconds, or gives the default.
func envSeconds(t *testing.T, name string, usual int) time.Duration {
	t.Helper()
	return time.Duration(envNumber(t, name, usual)) * time.Second
}

// seeds are those of SOAK, FROM-TO, or a few fixed ones.
func seeds(t *testing.T) (from, to int) {
	t.Helper()
	text := os.Getenv("SOAK")
	if text == "" {
		return 1, 4
	}
	first, last, isRange := strings.Cut(text, "-")
	from, err := strconv.Atoi(first)
	if err != nil {
		t.Fatalf("SOAK: %v", err)
	}
	if !isRange || last == "" {
		return from, from
	}
	if to, err = strconv.Atoi(last); err != nil {
		t.Fatalf("SOAK: %v", err)
	}
	return from, to
}
