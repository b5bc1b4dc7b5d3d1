package simulator

import "testing"

// TestAnswerOrders runs random scenarios in which answers of the key-value store tell their stories in any order and
// late: watches show changes with the newest first or shuffled, with every change of a key, after the answers to
// transactions or before them, and after a reload only the end. Machines fail tasks at once, so that an entry and its
// release meet in one answer (review/5: left_waiting).
func TestAnswerOrders(t *testing.T) { runSeeds(t, answerOrderScenario, "ORDERS", 16) }

// TestAnswerOrdersFound runs seeds that once broke a rule: with 124 a task stayed bound without an entry, with 144 and 292
// several controllers showed deleted documents.
func TestAnswerOrdersFound(t *testing.T) {
	for _, seed := range []int{124, 144, 292} {
		runSeed(t, withRepeatedCalls(answerOrderScenario), seed)
	}
}

// answerOrderScenario generates such a scenario: two teams of different partitions use machines of two types, each
// commanded by another controller, so that most entries are written by one controller and released by another.
func answerOrderScenario(seed uint64) string {
	g := newScenarioGenerator(seed, 55)
	g.line("set nodes=3 end=300 seed=%d changes=%s keep=%s flaky=%.3f lease=22 value=%s", seed, g.pick("newest", "newest", "shuffled"),
		g.pick("6", "20", "10000"), g.upTo(0.02), g.pick("4", "16"))
	g.line("team red\nteam blue max=%d\nteam green", 40+g.rng.IntN(40))
	g.line("type big cpus=16 mem=64 zones=a,b count=3\ntype small cpus=4 mem=16 zones=a,b count=3 spot=2")
	g.line("machines big n=2 zone=a\nmachines small n=2 zone=b\nmachines big n=1 zone=b")
	number := 0
	for at := 4 + g.upTo(6); at < 185; at += 6 + g.upTo(10) {
		answerOrderFaults[g.rng.IntN(len(answerOrderFaults))](g, at, 2+g.upTo(8))
		g.at(at, "sick any n=%d for=%.1f after=%s", 1+g.rng.IntN(4), 1+g.upTo(4), g.pick("0", "0.1", "2"))
		for range 4 { // the watch is held up, and the answers to transactions even longer
			controller, begin := g.rng.IntN(3), at+g.upTo(4)
			g.at(begin, "slow_results node%d by=%.2f for=3", controller, 0.6+g.upTo(0.8))
			g.at(begin+g.upTo(0.6), "blind node%d for=%.2f", controller, 0.4+g.upTo(1.2))
		}
		for range 2 + g.rng.IntN(4) {
			number++
			writeAnswerOrderJob(g, number, at+g.upTo(3))
		}
	}
	g.line("expect all_over")
	return g.text.String()
}

// writeAnswerOrderJob writes a job with short tasks; some jobs are cancelled.
func writeAnswerOrderJob(g *scenarioGenerator, number int, at float64) {
	g.at(at, "submit j-%d n=%d run=%d team=%s cpus=%s types=%s spot=yes gb=0", number, 1+g.rng.IntN(6), 1+g.rng.IntN(12),
		g.pick("red", "blue", "green"), g.pick("0.5", "1", "4"), g.pick("big", "small", "big,small"))
	if g.rng.IntN(6) == 0 {
		g.at(at+g.upTo(12), "cancel j-%06d", number)
	}
}

// answerOrderFaults are the faults beside late answers and failing machines.
var answerOrderFaults = []fault{
	func(g *scenarioGenerator, at, duration float64) {
		g.at(at, "slow_state by=%.2f for=%.1f", 0.05+g.upTo(0.4), duration)
	},
	func(g *scenarioGenerator, at, duration float64) {
		g.at(at, "cut node%d state for=%.1f mode=%s", g.rng.IntN(3), duration/2, g.partitionMode())
	},
	func(g *scenarioGenerator, at, _ float64) {
		g.at(at, "crash node%d for=%.1f", g.rng.IntN(3), 0.2+g.upTo(6))
	},
	func(g *scenarioGenerator, at, duration float64) { g.at(at, "late_writes share=0.2 for=%.1f", duration) },
	func(g *scenarioGenerator, at, _ float64) { g.at(at, "%s any n=1", g.pick("die", "reboot")) },
	func(g *scenarioGenerator, at, duration float64) {
		g.at(at, "refuse node%d for=%.1f", g.rng.IntN(3), duration)
	},
}
