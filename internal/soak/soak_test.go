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

// TestSoak runs real controller processes with stand-ins while faults are injected; see the package
// comment. Every third seed upgrades the controllers from the production version to this one.
//
// SOAK=1-50 runs other seeds, SOAK_S sets the seconds of faults, SOAK_WORKERS the number of machines,
// SOAK_CALM_S the seconds that all jobs may take to end afterwards (a large fleet has many users, and
// the teams' quotas do not grow with it), SOAK_AT_ONCE the number of concurrent runs, SOAK_RACE=1
// builds with the race detector.
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
		t.Log("not run: the upgrade from the production version, which is missing in this repository's history")
	}
	options := Options{
		Binary: binary, Workers: envNumber(t, "SOAK_WORKERS", baseWorkers),
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

// soak executes one run and reports its failures as test errors.
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
	t.Logf("seed %d, %d machines, upgrade from production %v: %.0f s, %d jobs, %d responses, "+
		"%d tasks started, %d of them after their job was reported as cancelled, within the time allowed; the host was stalled for %v",
		opts.Seed, opts.Workers, opts.PreviousBinary != "", time.Since(startedAt).Seconds(), report.Jobs, report.Responses,
		report.TasksStarted, report.LateStarts, report.Stalled.Round(time.Millisecond))
	failures := failureLines(report)
	if len(failures) == 0 {
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
		return
	}
	if report.Stalled > maxJudgedStall && onlyTimedRulesBroken(report) {
		t.Skipf("NOT JUDGED: the host was stalled for %v, and only time-based checks failed: %v; logs in %s", report.Stalled, failures, dir)
	}
	for _, line := range failures {
		t.Error(line)
	}
	logTimeline(t, opts.Seed, dir)
}

// failureLines lists everything that fails a run.
func failureLines(report *Report) []string {
	var lines []string
	for _, violation := range report.Violations {
		lines = append(lines, violation.String())
	}
	lines = append(lines, report.ControllerFailures...)
	for _, id := range report.Unfinished {
		lines = append(lines, "job not over at the end: "+id)
	}
	return lines
}

// maxJudgedStall is the longest total stall of the host for which violations of the timed rules count:
// the protocol's deadlines have that much slack.
const maxJudgedStall = 2 * time.Second

// timedRules are the rules that a stall of the host can break, without a fault of the controllers.
var timedRules = []Rule{RuleRanCancelled, RuleOrphaned}

// onlyTimedRulesBroken reports whether a stall of the host may explain everything that fails a run.
func onlyTimedRulesBroken(report *Report) bool {
	isUntimed := func(violation Violation) bool { return !slices.Contains(timedRules, violation.Rule) }
	return len(report.ControllerFailures) == 0 && !slices.ContainsFunc(report.Violations, isUntimed)
}

// scaleLimits raises the key-value store's rates for a larger fleet, which has more users. The load of
// a run must stay within what the deployment can take, or else jobs would not end in time.
func scaleLimits(machines int) {
	factor := max(1, float64(machines)/baseWorkers)
	for _, limits := range []*storeLimits{&currentLimits, &announcedLimits} {
		limits.operationsPerSecond *= factor
		limits.requestsPerSecond *= factor
	}
}

// envNumber returns the integer in an environment variable, or the default if it is not set.
func envNumber(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

// envSeconds returns the duration in an environment variable in seconds, or the default if it is not set.
func envSeconds(t *testing.T, name string, defaultValue int) time.Duration {
	t.Helper()
	return time.Duration(envNumber(t, name, defaultValue)) * time.Second
}

// seeds returns the range of seeds in SOAK, given as FROM-TO or as one seed, or a few fixed ones.
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
