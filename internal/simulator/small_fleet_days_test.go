package simulator

import "testing"

// TestChaos runs random scenarios of small fleets.
func TestChaos(t *testing.T) { runSeeds(t, smallFleetScenario, "CHAOS", 20) }

// smallFleetScenario generates a scenario with random jobs and overlapping faults on a small fleet.
func smallFleetScenario(seed uint64) string {
	g := newScenarioGenerator(seed, 7)
	writeSmallFleet(g, seed)
	for number := 1; number <= 18; number++ {
		writeSmallFleetJob(g, number)
	}
	for range 12 {
		at, duration := 3+g.upTo(280), 3+g.upTo(40)
		smallFleetFaults[g.rng.IntN(len(smallFleetFaults))](g, at, duration)
	}
	return g.text.String()
}

func writeSmallFleet(g *scenarioGenerator, seed uint64) {
	g.line("set nodes=%d end=420 seed=%d flaky=%.3f keep=%s copies=%s lease=%s cancel=%s value=%s", 2+g.rng.IntN(3), seed, g.upTo(0.06),
		g.pick("20", "10000"), g.pick("0", "0.1"), g.pick("12", "22"), g.pick("40", "47"), g.pick("4", "100")) // a large value limit puts many machines into one document
	g.line("team red cpus=20 max=40\nteam blue max=60\nteam green cpus=30")
	g.line("type big cpus=16 mem=64 gpus=1 zones=a,b count=5 spot=3\ntype small cpus=4 mem=16 zones=a,b count=6 spot=4")
	g.line("machines big n=%d zone=a\nmachines small n=%d zone=b\nmachines big n=1 zone=b spot=yes", 1+g.rng.IntN(4), 1+g.rng.IntN(4))
}

// writeSmallFleetJob writes a job. Some jobs are cancelled later, and some are submitted again.
func writeSmallFleetJob(g *scenarioGenerator, number int) {
	kind := g.pick("service", "array", "array")
	tasks := 1 + g.rng.IntN(3)
	if kind == "array" {
		tasks = 1 + g.rng.IntN(25)
	}
	g.line("at %.1f submit j-%d kind=%s n=%d team=%s run=%d cpus=%s spread=%s onezone=%s spot=%s grade=%s ckpt=%s save=%s image=img%d broken=%s",
		2+g.upTo(180), number, kind, tasks, g.pick("red", "blue", "green"), 3+g.rng.IntN(30), g.pick("1", "2", "3.5"), g.pick("no", "no", "yes"),
		g.pick("no", "no", "yes"), g.pick("yes", "no"), g.pick("standard", "best_effort", "urgent", "production"), g.pick("0", "5"),
		g.pick("1", "3"), g.rng.IntN(4), g.pick("no", "no", "no", "no", "yes"))
	if g.rng.IntN(3) == 0 {
		g.line("at %.1f cancel j-%06d", 190+g.upTo(60), number)
	}
	if g.rng.IntN(3) == 0 {
		g.line("at %.1f repeat j-%06d broken=%s", 200+g.upTo(200), number, g.pick("yes", "no"))
	}
}

var smallFleetFaults = []fault{
	func(g *scenarioGenerator, at, _ float64) { g.line("at %.1f crash node0 for=%.1f", at, 0.2+g.upTo(8)) },
	func(g *scenarioGenerator, at, _ float64) {
		g.line("at %.1f roll every=%.1f for=%.1f", at, 1+g.upTo(15), 0.2+g.upTo(6))
	},
	func(g *scenarioGenerator, at, duration float64) {
		g.line("at %.1f hang busiest for=%.1f", at, duration)
	},
	func(g *scenarioGenerator, at, duration float64) {
		g.line("at %.1f cut node%d state for=%.1f mode=%s", at, g.rng.IntN(2), duration, g.partitionMode())
	},
	func(g *scenarioGenerator, at, duration float64) {
		g.line("at %.1f cut node* n-* for=%.1f mode=%s", at, duration/2, g.partitionMode())
	},
	func(g *scenarioGenerator, at, duration float64) {
		g.line("at %.1f cut node0 * for=%.1f mode=%s", at, duration, g.partitionMode())
	},
	func(g *scenarioGenerator, at, duration float64) { g.line("at %.1f outage for=%.1f", at, duration) },
	func(g *scenarioGenerator, at, duration float64) {
		g.line("at %.1f refuse node0 for=%.1f", at, duration)
	},
	func(g *scenarioGenerator, at, duration float64) {
		g.line("at %.1f sick busiest for=%.1f", at, duration)
	},
	func(g *scenarioGenerator, at, duration float64) {
		g.line("at %.1f %s busiest for=%.1f", at, g.pick("die", "notice", "take", "reboot"), duration)
	},
	func(g *scenarioGenerator, at, duration float64) {
		g.line("at %.1f cut n-00000%d * for=%.1f mode=deaf", at, 1+g.rng.IntN(5), duration*2)
	},
	func(g *scenarioGenerator, at, duration float64) { // the controller reaches workers, but neither the store nor its peers
		g.line("at %.1f cut node0 state for=%.1f\nat %.1f cut node0 node* for=%.1f", at, duration*2, at, duration*2)
	},
	func(g *scenarioGenerator, at, _ float64) {
		g.line("at %.1f crash node0,node1 for=%.2f\nat %.1f crash node0 for=%.2f", at, g.upTo(1), at+g.upTo(4), g.upTo(1))
	},
	func(g *scenarioGenerator, at, duration float64) {
		g.line("at %.1f cloud_outage for=%.1f\nat %.1f cut node1 n-* for=%.1f mode=hold", at, duration, at+1, duration)
	},
}
