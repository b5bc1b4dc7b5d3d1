package simulator

import "testing"

// TestFullEntries runs random scenarios in which a few machines hold so many one-task jobs that the entry of one
// machine fills a document by itself, while smaller limits are announced and take effect, controllers crash
// together, and documents are unreadable for a while (review/1: ran_twice, forgotten).
func TestFullEntries(t *testing.T) { runSeeds(t, fullEntriesScenario, "FULL", 10) }

// fullEntriesScenario generates such a scenario. The quota of one team is small, so that entries that are not
// released keep others of its tasks waiting.
func fullEntriesScenario(seed uint64) string {
	g := newScenarioGenerator(seed, 40)
	g.line("set nodes=%d end=460 seed=%d lease=%s cancel=62 flaky=%.3f value=%s ops=%s writes=%s nextvalue=%s nextops=%s nextwrites=28 old=%s",
		2+g.rng.IntN(3), seed, g.pick("22", "42"), g.upTo(0.03), g.pick("4", "16"), g.pick("12", "32"), g.pick("30", "40"), g.pick("1", "1", "2"),
		g.pick("4", "10"), g.pick("yes", "no"))
	g.line("team red\nteam blue max=%d", 20+g.rng.IntN(30))
	g.line("type big cpus=64 mem=512 zones=a,b count=8\nmachines big n=%d zone=a\nmachines big n=%d zone=b", 1+g.rng.IntN(3), 1+g.rng.IntN(2))
	number := 0
	for range 50 + g.rng.IntN(60) {
		number += 1 + g.rng.IntN(19000)
		g.line("at %.1f submit j-%d kind=%s count=%d n=1 run=%d cpus=0.25 mem=0.5 team=%s class=%s spot=yes", 2+g.upTo(45), number,
			g.pick("array", "array", "array", "service"), 1+g.rng.IntN(6), 20+g.rng.IntN(160), g.pick("red", "red", "blue"), g.pick("c", "d"))
	}
	upgradedAt := 20 + g.upTo(30)
	g.line("at %.1f upgrade every=%.1f for=%.1f", upgradedAt, 3+g.upTo(3), g.pickScaled(0.3, 2))
	g.line("at %.1f limits", upgradedAt+20+g.upTo(60))
	for range 3 {
		at := 55 + g.upTo(110)
		g.line("at %.1f crash node0,node1 for=%.1f", at, g.pickScaled(0.2, 4))
		g.line("at %.1f cancel_now count=%d", at+g.upTo(20)-10, 4+g.rng.IntN(30))
	}
	if g.rng.IntN(2) == 0 {
		g.line("at %.1f unreadable n-00000%d for=%.1f", 90+g.upTo(60), g.rng.IntN(2), g.upTo(15))
	}
	g.line("at 180 submit j-%d count=20 n=2 run=20 cpus=0.5 team=blue", number+10)
	g.line("expect small\nexpect all_over\nexpect up")
	return g.text.String()
}
