package simulator

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
)

// TestUpgrades plays random days on which controllers are upgraded one after the other.
func TestUpgrades(t *testing.T) { runSeeds(t, rollingUpgradeDay, "UPGRADES", 12) }

// TestUpgradesFound plays the days that have broken a rule before: 12, which is among those above, and
// 84 lost machines of shards whose siblings were split differently, 197 repeated a transaction that had
// become too large for ever.
func TestUpgradesFound(t *testing.T) {
	for _, seed := range []int{84, 197} {
		runSeed(t, rollingUpgradeDay, seed)
	}
}

// TestMixedChanges plays random days of upgrades, with splits of documents, on which the changes of an
// answer come in any order.
func TestMixedChanges(t *testing.T) { runSeeds(t, mixedChangesDay, "MIXED", 6) }

// mixedChangesDay writes a day of an upgrade on which answers of watches tell the newest change of each key,
// in any order.
func mixedChangesDay(seed uint64) string {
	return rollingUpgradeDay(seed) + "at 5 mixed_changes for=500\n"
}

// rollingUpgradeDay writes a day that begins with the previous version: its controllers are crashed one
// after the other and come back upgraded. Afterwards users submit jobs with dependencies, and the limits
// of the key-value store fall without notice. Faults coincide all the while.
func rollingUpgradeDay(seed uint64) string {
	d := newDay(seed, 19)
	before, pipelines := coincidingFaultsDay(seed), 5
	if seed%6 == 0 { // a fleet that fills its documents
		before, pipelines = largeFleetDay(seed), 12
	}
	settings, rest, _ := strings.Cut(before, "\n")
	settings = regexp.MustCompile(`value=\d+`).ReplaceAllString(settings, "value="+d.pick("4", "100", "100")) // the larger, the fuller the documents
	d.line("%s old=yes nextvalue=%s nextops=%s nextwrites=%s", settings, d.pick("1", "2", "2"), d.pick("4", "10"), d.pick("18", "28"))
	d.text.WriteString(rest)
	at, interval := 15+d.upTo(40), 4+d.upTo(12)
	d.line("at %.1f upgrade every=%.1f for=%.1f", at, interval, d.aboutOneOf(0.3, 5))
	upgraded := at + 5*interval + 25
	d.line("at %.1f limits", upgraded+d.upTo(120))
	for i := range pipelines {
		writePipeline(d, 200+i*10, upgraded+d.upTo(150))
	}
	d.line("expect format is=1\nexpect small")
	return d.text.String()
}

// writePipeline writes jobs with dependencies on each other as users submit them: each as soon as those
// that it needs are accepted, the last one sometimes late, and some cancelled in the middle.
func writePipeline(d *day, firstNumber int, at float64) {
	id := func(stage int) string { return fmt.Sprintf("j-%06d", firstNumber+stage) }
	submit := func(at float64, stage, tasks, seconds int, grade string, needs ...string) {
		d.line("at %.1f submit %s n=%d run=%d team=%s cpus=%s grade=%s spot=%s gb=%s needs=%s class=link%d", at, id(stage), tasks, seconds,
			d.pick("red", "blue", "green"), d.pick("1", "2"), grade, d.pick("yes", "no"), d.pick("0.2", "1"), strings.Join(needs, ","), stage)
	}
	submit(at, 0, 1+d.rng.IntN(4), 3+d.rng.IntN(10), "best_effort")
	submit(at, 1, 1+d.rng.IntN(12), 5+d.rng.IntN(20), "best_effort", id(0))
	submit(at, 2, 1+d.rng.IntN(12), 5+d.rng.IntN(20), "best_effort", id(0))
	submit(at, 3, 1+d.rng.IntN(3), 3+d.rng.IntN(10), "standard", id(1), id(2))
	late := at
	if d.rng.IntN(4) == 0 {
		late += 20 + d.upTo(60)
	}
	submit(late, 4, 1+d.rng.IntN(3), 2+d.rng.IntN(5), "urgent", id(3), id(0))
	if d.rng.IntN(3) == 0 {
		d.line("at %.1f cancel %s", at+1+d.upTo(40), id(d.rng.IntN(4)))
	}
}
