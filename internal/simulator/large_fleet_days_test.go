package simulator

import (
	"fmt"
	"testing"
)

// TestFleets plays random days of large fleets.
func TestFleets(t *testing.T) { runSeeds(t, largeFleetDay, "FLEETS", 4) }

// largeFleetDay writes a scenario of a fleet that fills many documents, in two zones, with faults that
// take many machines or all controllers at once, within moments of each other.
func largeFleetDay(seed uint64) string {
	d := newDay(seed, 11)
	writeLargeFleet(d, seed)
	writeLargeFleetJobs(d)
	writeLargeFleetCancellations(d)
	for at := 20.0; at < 300; at += 15 + d.upTo(45) {
		for range 1 + d.rng.IntN(3) { // some together
			start, duration := at+d.upTo(8), 5+d.upTo(60)
			node := fmt.Sprintf("node%d", d.rng.IntN(5))
			largeFleetFaults[d.rng.IntN(len(largeFleetFaults))](d, node, start, duration)
		}
	}
	return d.text.String()
}

func writeLargeFleet(d *day, seed uint64) {
	d.line("set nodes=5 end=460 seed=%d flaky=%.3f copies=%s report=%s lease=31 cancel=56 value=%s writes=35 ops=%s", seed, d.upTo(0.02),
		d.pick("0", "0.02"), d.pick("6", "10"), d.pick("2", "4", "16"), d.pick("12", "32"))
	d.line("team red cpus=300 max=1300\nteam blue\nteam green cpus=200 max=1100")
	d.line("type big cpus=32 mem=128 zones=a,b count=20 spot=6 boot=25 fetch=1\ntype small cpus=8 mem=32 zones=a,b count=120 spot=30 boot=20 fetch=1")
	d.line("machines small n=70 zone=a\nmachines small n=60 zone=b\nmachines big n=10 zone=a\nmachines big n=6 zone=b")
}

// writeLargeFleetJobs writes 130 services at the start and more later, arrays throughout, and a burst
// of them.
func writeLargeFleetJobs(d *day) {
	for i := range 13 {
		writeServices(d, 1+d.upTo(1), 1000+10*i, 10)
	}
	for i := range 45 {
		writeServices(d, 20+d.upTo(240), 2000+i, 1)
	}
	for i := range 60 {
		writeArray(d, 1+d.upTo(240), 3000+i)
	}
	burst := 60 + d.upTo(100)
	for i := range 25 {
		writeArray(d, burst+d.upTo(40), 4000+i)
	}
}

func writeServices(d *day, at float64, number, count int) {
	d.line("at %.1f submit j-%d count=%d kind=service class=live n=%d team=%s cpus=2 mem=4 gb=0.5 image=img%d spread=%s", at, number, count,
		2+d.rng.IntN(5), d.pick("red", "blue", "green"), d.rng.IntN(6), d.pick("yes", "no"))
}

// writeArray writes an array of up to 150 tasks; small ones are more frequent.
func writeArray(d *day, at float64, number int) {
	tasks := 1 + int(150*d.rng.Float64()*d.rng.Float64())
	d.line("at %.1f submit j-%d class=%s n=%d team=%s run=%d cpus=%s mem=4 spot=yes grade=%s ckpt=%s save=2 gb=0.5 image=img%d broken=%s", at, number,
		d.pick("tiles", "logs"), tasks, d.pick("red", "blue", "green"), 10+d.rng.IntN(40), d.pick("1", "2", "4"), d.pick("standard", "best_effort"), d.pick("0", "10"), 6+d.rng.IntN(6),
		d.pick("no", "no", "no", "no", "no", "no", "no", "yes"))
}

func writeLargeFleetCancellations(d *day) {
	for i := range 12 {
		number := 2000 + d.rng.IntN(45)
		if i%2 == 0 {
			number = 3000 + d.rng.IntN(60)
		}
		d.line("at %.1f cancel j-%06d", 262+d.upTo(20), number)
		d.line("at %.1f repeat j-%06d broken=%s", 262+d.upTo(190), 3000+d.rng.IntN(60), d.pick("yes", "no"))
	}
}

// downtime draws how long a controller is away: its restart is quick or slow.
func (d *day) downtime() float64 { return d.aboutOneOf(0.2, 6) }

// largeFleetFaults are the faults of large fleets; node is the controller of those that have one.
var largeFleetFaults = []func(d *day, node string, at, duration float64){
	crashAllOfFive,
	crashAllOfFive, // twice as often as the others
	func(d *day, node string, at, _ float64) {
		d.line("at %.1f crash %s for=%.2f\nat %.1f crash %s for=%.2f", at, node, d.downtime(), at+d.upTo(7), node, d.downtime())
	},
	func(d *day, _ string, at, _ float64) {
		d.line("at %.1f roll every=%.1f for=%.2f", at, 2+d.upTo(13), d.downtime())
	},
	func(d *day, _ string, at, duration float64) {
		d.line("at %.1f zonecut %s for=%.1f mode=%s", at, d.pick("a", "b"), duration, d.partitionMode())
	},
	func(d *day, _ string, at, duration float64) {
		d.line("at %.1f lose n=%d for=%.1f mode=%s", at, 5+d.rng.IntN(50), duration, d.partitionMode())
	},
	func(d *day, _ string, at, duration float64) {
		d.line("at %.1f hang any n=%d for=%.1f", at, 5+d.rng.IntN(30), duration)
	},
	func(d *day, _ string, at, _ float64) { d.line("at %.1f die any n=%d for=30", at, 2+d.rng.IntN(18)) },
	func(d *day, node string, at, duration float64) {
		d.line("at %.1f freeze %s for=%.1f", at, node, duration)
	},
	func(d *day, _ string, at, duration float64) { d.line("at %.1f outage for=%.1f", at, duration/3) },
	func(d *day, node string, at, duration float64) {
		d.line("at %.1f cut %s state for=%.1f mode=%s\nat %.1f cut %s node* for=%.1f", at, node, duration, d.partitionMode(), at, node, duration)
	},
	func(d *day, node string, at, duration float64) {
		d.line("at %.1f cut %s n-* for=%.1f mode=%s\nat %.1f reboot any n=%d", at, node, duration, d.partitionMode(), at, 1+d.rng.IntN(8))
	},
	func(d *day, node string, at, duration float64) {
		d.line("at %.1f cut node* node* for=%.1f\nat %.1f refuse %s for=%.1f", at, duration, at, node, duration)
	},
}

func crashAllOfFive(d *day, _ string, at, _ float64) {
	d.line("at %.1f crash node0,node1,node2,node3,node4 for=%.2f", at, d.downtime())
}
