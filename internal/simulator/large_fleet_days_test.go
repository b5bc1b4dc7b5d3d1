package simulator

import (
	"fmt"
	"testing"
)

// TestFleets runs random scenarios of large fleets.
func TestFleets(t *testing.T) { runSeeds(t, largeFleetScenario, "FLEETS", 4) }

// largeFleetScenario generates a scenario with a fleet in two zones that fills many documents. Its faults
// affect many machines or all controllers at the same time, and up to three occur within seconds of each other.
func largeFleetScenario(seed uint64) string {
	g := newScenarioGenerator(seed, 11)
	writeLargeFleet(g, seed)
	writeLargeFleetJobs(g)
	writeLargeFleetCancellations(g)
	for at := 20.0; at < 300; at += 15 + g.upTo(45) {
		for range 1 + g.rng.IntN(3) { // up to three at about the same time
			start, duration := at+g.upTo(8), 5+g.upTo(60)
			node := fmt.Sprintf("node%d", g.rng.IntN(5))
			largeFleetFaults[g.rng.IntN(len(largeFleetFaults))](g, node, start, duration)
		}
	}
	return g.text.String()
}

func writeLargeFleet(g *scenarioGenerator, seed uint64) {
	g.line("set nodes=5 end=460 seed=%d flaky=%.3f copies=%s report=%s lease=31 cancel=56 value=%s writes=35 ops=%s", seed, g.upTo(0.02),
		g.pick("0", "0.02"), g.pick("6", "10"), g.pick("2", "4", "16"), g.pick("12", "32"))
	g.line("team red cpus=300 max=1300\nteam blue\nteam green cpus=200 max=1100")
	g.line("type big cpus=32 mem=128 zones=a,b count=20 spot=6 boot=25 fetch=1\ntype small cpus=8 mem=32 zones=a,b count=120 spot=30 boot=20 fetch=1")
	g.line("machines small n=70 zone=a\nmachines small n=60 zone=b\nmachines big n=10 zone=a\nmachines big n=6 zone=b")
}

// writeLargeFleetJobs writes 130 services at the start and more later, arrays throughout the run, and a
// burst of arrays.
func writeLargeFleetJobs(g *scenarioGenerator) {
	for i := range 13 {
		writeServices(g, 1+g.upTo(1), 1000+10*i, 10)
	}
	for i := range 45 {
		writeServices(g, 20+g.upTo(240), 2000+i, 1)
	}
	for i := range 60 {
		writeArray(g, 1+g.upTo(240), 3000+i)
	}
	burst := 60 + g.upTo(100)
	for i := range 25 {
		writeArray(g, burst+g.upTo(40), 4000+i)
	}
}

func writeServices(g *scenarioGenerator, at float64, number, count int) {
	g.line("at %.1f submit j-%d count=%d kind=service class=live n=%d team=%s cpus=2 mem=4 gb=0.5 image=img%d spread=%s", at, number, count,
		2+g.rng.IntN(5), g.pick("red", "blue", "green"), g.rng.IntN(6), g.pick("yes", "no"))
}

// writeArray writes an array of up to 150 tasks; small arrays are more frequent.
func writeArray(g *scenarioGenerator, at float64, number int) {
	tasks := 1 + int(150*g.rng.Float64()*g.rng.Float64())
	g.line("at %.1f submit j-%d class=%s n=%d team=%s run=%d cpus=%s mem=4 spot=yes grade=%s ckpt=%s save=2 gb=0.5 image=img%d broken=%s", at, number,
		g.pick("tiles", "logs"), tasks, g.pick("red", "blue", "green"), 10+g.rng.IntN(40), g.pick("1", "2", "4"), g.pick("standard", "best_effort"), g.pick("0", "10"), 6+g.rng.IntN(6),
		g.pick("no", "no", "no", "no", "no", "no", "no", "yes"))
}

func writeLargeFleetCancellations(g *scenarioGenerator) {
	for i := range 12 {
		number := 2000 + g.rng.IntN(45)
		if i%2 == 0 {
			number = 3000 + g.rng.IntN(60)
		}
		g.line("at %.1f cancel j-%06d", 262+g.upTo(20), number)
		g.line("at %.1f repeat j-%06d broken=%s", 262+g.upTo(190), 3000+g.rng.IntN(60), g.pick("yes", "no"))
	}
}

// downtime returns a random downtime of a controller, for a quick or a slow restart.
func (g *scenarioGenerator) downtime() float64 { return g.pickScaled(0.2, 6) }

// largeFleetFaults are the faults of large fleets. node is the controller that a fault affects, for faults
// that affect one.
var largeFleetFaults = []func(g *scenarioGenerator, node string, at, duration float64){
	crashAllOfFive,
	crashAllOfFive, // listed twice, to occur twice as often as the others
	func(g *scenarioGenerator, node string, at, _ float64) {
		g.line("at %.1f crash %s for=%.2f\nat %.1f crash %s for=%.2f", at, node, g.downtime(), at+g.upTo(7), node, g.downtime())
	},
	func(g *scenarioGenerator, _ string, at, _ float64) {
		g.line("at %.1f roll every=%.1f for=%.2f", at, 2+g.upTo(13), g.downtime())
	},
	func(g *scenarioGenerator, _ string, at, duration float64) {
		g.line("at %.1f zonecut %s for=%.1f mode=%s", at, g.pick("a", "b"), duration, g.partitionMode())
	},
	func(g *scenarioGenerator, _ string, at, duration float64) {
		g.line("at %.1f lose n=%d for=%.1f mode=%s", at, 5+g.rng.IntN(50), duration, g.partitionMode())
	},
	func(g *scenarioGenerator, _ string, at, duration float64) {
		g.line("at %.1f hang any n=%d for=%.1f", at, 5+g.rng.IntN(30), duration)
	},
	func(g *scenarioGenerator, _ string, at, _ float64) {
		g.line("at %.1f die any n=%d for=30", at, 2+g.rng.IntN(18))
	},
	func(g *scenarioGenerator, node string, at, duration float64) {
		g.line("at %.1f freeze %s for=%.1f", at, node, duration)
	},
	func(g *scenarioGenerator, _ string, at, duration float64) {
		g.line("at %.1f outage for=%.1f", at, duration/3)
	},
	func(g *scenarioGenerator, node string, at, duration float64) {
		g.line("at %.1f cut %s state for=%.1f mode=%s\nat %.1f cut %s node* for=%.1f", at, node, duration, g.partitionMode(), at, node, duration)
	},
	func(g *scenarioGenerator, node string, at, duration float64) {
		g.line("at %.1f cut %s n-* for=%.1f mode=%s\nat %.1f reboot any n=%d", at, node, duration, g.partitionMode(), at, 1+g.rng.IntN(8))
	},
	func(g *scenarioGenerator, node string, at, duration float64) {
		g.line("at %.1f cut node* node* for=%.1f\nat %.1f refuse %s for=%.1f", at, duration, at, node, duration)
	},
}

func crashAllOfFive(g *scenarioGenerator, _ string, at, _ float64) {
	g.line("at %.1f crash node0,node1,node2,node3,node4 for=%.2f", at, g.downtime())
}
