package simulator

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
)

// TestUpgrades runs random scenarios in which controllers are upgraded one after the other.
func TestUpgrades(t *testing.T) { runSeeds(t, rollingUpgradeScenario, "UPGRADES", 12) }

// TestUpgradesFound runs the seeds that once broke a rule. Seed 84, like seed 12, which TestUpgrades runs,
// lost the machines of shards whose sibling shards were split differently. Seed 197 endlessly repeated a
// transaction that had become too large.
func TestUpgradesFound(t *testing.T) {
	for _, seed := range []int{84, 197} {
		runSeed(t, rollingUpgradeScenario, seed)
	}
}

// TestMixedChanges runs random scenarios with upgrades and splits of documents in which the changes in a
// watch answer are in random order.
func TestMixedChanges(t *testing.T) { runSeeds(t, mixedChangesScenario, "MIXED", 6) }

// mixedChangesScenario generates a scenario with an upgrade in which a watch answer has only the newest
// change of each key, in random order.
func mixedChangesScenario(seed uint64) string {
	return rollingUpgradeScenario(seed) + "at 5 mixed_changes for=500\n"
}

// rollingUpgradeScenario generates a scenario that starts with the previous version. The controllers crash
// one after the other and restart upgraded. Afterwards users submit jobs with dependencies, and the
// announced lower limits of the key-value store come into force at an unannounced time. Faults coincide
// throughout.
func rollingUpgradeScenario(seed uint64) string {
	g := newScenarioGenerator(seed, 19)
	base, pipelines := coincidingFaultsScenario(seed), 5
	if seed%6 == 0 { // a large fleet, which fills many documents
		base, pipelines = largeFleetScenario(seed), 12
	}
	settings, rest, _ := strings.Cut(base, "\n")
	settings = regexp.MustCompile(`value=\d+`).ReplaceAllString(settings, "value="+g.pick("4", "100", "100")) // the larger the limit, the fuller the documents
	g.line("%s old=yes nextvalue=%s nextops=%s nextwrites=%s", settings, g.pick("1", "2", "2"), g.pick("4", "10"), g.pick("18", "28"))
	g.text.WriteString(rest)
	at, interval := 15+g.upTo(40), 4+g.upTo(12)
	g.line("at %.1f upgrade every=%.1f for=%.1f", at, interval, g.pickScaled(0.3, 5))
	upgraded := at + 5*interval + 25
	g.line("at %.1f limits", upgraded+g.upTo(120))
	for i := range pipelines {
		writePipeline(g, 200+i*10, upgraded+g.upTo(150))
	}
	g.line("expect format is=1\nexpect small")
	return g.text.String()
}

// writePipeline writes jobs that depend on each other. Each is submitted as soon as its dependencies are
// accepted, the last one sometimes later; in some pipelines one of the first four jobs is cancelled.
func writePipeline(g *scenarioGenerator, firstNumber int, at float64) {
	id := func(stage int) string { return fmt.Sprintf("j-%06d", firstNumber+stage) }
	submit := func(at float64, stage, tasks, seconds int, grade string, needs ...string) {
		g.line("at %.1f submit %s n=%d run=%d team=%s cpus=%s grade=%s spot=%s gb=%s needs=%s class=link%d", at, id(stage), tasks, seconds,
			g.pick("red", "blue", "green"), g.pick("1", "2"), grade, g.pick("yes", "no"), g.pick("0.2", "1"), strings.Join(needs, ","), stage)
	}
	submit(at, 0, 1+g.rng.IntN(4), 3+g.rng.IntN(10), "best_effort")
	submit(at, 1, 1+g.rng.IntN(12), 5+g.rng.IntN(20), "best_effort", id(0))
	submit(at, 2, 1+g.rng.IntN(12), 5+g.rng.IntN(20), "best_effort", id(0))
	submit(at, 3, 1+g.rng.IntN(3), 3+g.rng.IntN(10), "standard", id(1), id(2))
	lastSubmittedAt := at
	if g.rng.IntN(4) == 0 {
		lastSubmittedAt += 20 + g.upTo(60)
	}
	submit(lastSubmittedAt, 4, 1+g.rng.IntN(3), 2+g.rng.IntN(5), "urgent", id(3), id(0))
	if g.rng.IntN(3) == 0 {
		g.line("at %.1f cancel %s", at+1+g.upTo(40), id(g.rng.IntN(4)))
	}
}
