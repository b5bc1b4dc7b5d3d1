package simulator

import (
	"fmt"
	"testing"
)

// TestLongProgress runs random scenarios with arrays whose tasks differ in length, so that their progress has many gaps and
// often does not fit into a value, while machines die, leaders change and smaller limits take effect. Every array must
// go on (review/4: an accepted job must run), and no stored completion may be lost.
func TestLongProgress(t *testing.T) { runSeeds(t, longProgressScenario, "GAPS", 10) }

// longProgressScenario generates such a scenario.
func longProgressScenario(seed uint64) string {
	g := newScenarioGenerator(seed, 73)
	value := g.pick("1", "2", "4", "4", "16", "64")
	next := map[string]string{"1": "1", "2": "1", "4": "2", "16": "4", "64": "4"}[value]
	g.line("set nodes=3 end=420 seed=%d value=%s ops=%s writes=%s nextvalue=%s nextops=%s nextwrites=18 changes=%s keep=%s flaky=%.3f lease=22 cancel=47 old=%s",
		seed, value, g.pick("4", "12", "32"), g.pick("20", "25", "40"), next, g.pick("4", "10"), g.pick("oldest", "newest", "shuffled"),
		g.pick("20", "10000"), g.upTo(0.02), g.pick("yes", "no"))
	g.line("team red\nteam blue max=%d", 30+g.rng.IntN(60))
	g.line("type big cpus=64 mem=512 zones=a,b count=2\ntype small cpus=16 mem=128 zones=a,b count=4")
	g.line("machines big n=2 zone=a\nmachines small n=2 zone=a\nmachines small n=2 zone=b")
	const arrays = 4
	for number := 1; number <= arrays; number++ {
		g.line("at %.1f submit j-%d n=%d run=%d every=%d longrun=%d cpus=%s mem=0.1 gb=0.1 team=%s ckpt=0 class=gaps%d", 3+g.upTo(60), number,
			200+g.rng.IntN(900), 1+g.rng.IntN(3), 2+g.rng.IntN(3), 12+g.rng.IntN(40), g.pick("0.1", "0.2", "0.3"), g.pick("red", "red", "blue"), number)
	}
	for number := 10; number < 22; number++ {
		g.at(5+g.upTo(150), "submit j-%d n=%d run=%d cpus=%s team=%s class=small", number, 1+g.rng.IntN(20), 2+g.rng.IntN(15), g.pick("0.5", "2"), g.pick("red", "blue"))
	}
	for range 6 {
		at := 8 + g.upTo(140)
		longProgressFaults[g.rng.IntN(len(longProgressFaults))](g, at, 2+g.upTo(10))
	}
	g.at(20+g.upTo(20), "upgrade every=%.1f for=%.1f", 3+g.upTo(5), 0.3+g.upTo(2))
	g.at(60+g.upTo(60), "limits")
	g.line("expect all_over\nexpect small")
	return g.text.String()
}

var longProgressFaults = []fault{
	func(g *scenarioGenerator, at, _ float64) { g.at(at, "die any n=%d", 1+g.rng.IntN(2)) },
	func(g *scenarioGenerator, at, _ float64) { g.at(at, "die busiest") },
	func(g *scenarioGenerator, at, _ float64) {
		g.at(at, "crash node%d for=%.1f", g.rng.IntN(3), 0.2+g.upTo(8))
	},
	func(g *scenarioGenerator, at, _ float64) { g.at(at, "crash node0,node1,node2 for=%.1f", 0.2+g.upTo(3)) },
	func(g *scenarioGenerator, at, _ float64) { g.at(at, "reboot any n=2") },
	func(g *scenarioGenerator, at, duration float64) { g.at(at, "outage for=%.1f", duration) },
	func(g *scenarioGenerator, at, duration float64) { g.at(at, "late_writes share=0.3 for=%.1f", duration) },
	func(g *scenarioGenerator, at, duration float64) { g.at(at, "sick any n=2 for=%.1f after=0", duration) },
}

// TestLongProgressLimits plays the loss of machines and leaders of many_gaps with other limits of the key-value store: the
// array goes on whatever the size of a value, of a transaction and the rate of changes, and does no task again.
func TestLongProgressLimits(t *testing.T) {
	for _, limits := range []string{
		"value=1 ops=3 writes=6", "value=2 ops=12 writes=12", "value=4 ops=3 writes=3", "value=16 ops=12 writes=25", "value=64 ops=3 writes=40", "value=64 ops=12 writes=3",
	} {
		t.Run(limits, func(t *testing.T) {
			t.Parallel()
			runText(t, fmt.Sprintf(`set nodes=3 end=700 seed=3 lease=42 cancel=62 %s
team red
team blue
type small cpus=16 mem=128 zones=a
type large cpus=64 mem=256 zones=a
machines small n=4
machines large n=2
at 5 submit j-1 n=2400 run=2 longrun=20 every=3 cpus=0.08 mem=0.1 gb=0
at 19 die n-000004
at 19 die n-000005
at 40 crash node0 for=4
at 60 crash node0,node1,node2 for=1
expect done j-000001
expect repeated max=0`, limits))
		})
	}
}
