package simulator

import "testing"

// TestChaos plays random days of small fleets.
func TestChaos(t *testing.T) { runSeeds(t, smallFleetDay, "CHAOS", 20) }

// smallFleetDay writes a scenario of random jobs and overlapping faults.
func smallFleetDay(seed uint64) string {
	d := newDay(seed, 7)
	writeSmallFleet(d, seed)
	for number := 1; number <= 18; number++ {
		writeSmallFleetJob(d, number)
	}
	for range 12 {
		at, duration := 3+d.upTo(280), 3+d.upTo(40)
		smallFleetFaults[d.rng.IntN(len(smallFleetFaults))](d, at, duration)
	}
	return d.text.String()
}

func writeSmallFleet(d *day, seed uint64) {
	d.line("set nodes=%d end=420 seed=%d flaky=%.3f keep=%s copies=%s lease=%s cancel=%s value=%s", 2+d.rng.IntN(3), seed, d.upTo(0.06),
		d.pick("20", "10000"), d.pick("0", "0.1"), d.pick("12", "22"), d.pick("40", "47"), d.pick("4", "100")) // large values: many machines in one document
	d.line("team red cpus=20 max=40\nteam blue max=60\nteam green cpus=30")
	d.line("type big cpus=16 mem=64 gpus=1 zones=a,b count=5 spot=3\ntype small cpus=4 mem=16 zones=a,b count=6 spot=4")
	d.line("machines big n=%d zone=a\nmachines small n=%d zone=b\nmachines big n=1 zone=b spot=yes", 1+d.rng.IntN(4), 1+d.rng.IntN(4))
}

// writeSmallFleetJob writes a job that may be cancelled and submitted again later.
func writeSmallFleetJob(d *day, number int) {
	kind := d.pick("service", "array", "array")
	tasks := 1 + d.rng.IntN(3)
	if kind == "array" {
		tasks = 1 + d.rng.IntN(25)
	}
	d.line("at %.1f submit j-%d kind=%s n=%d team=%s run=%d cpus=%s spread=%s onezone=%s spot=%s grade=%s ckpt=%s save=%s image=img%d broken=%s",
		2+d.upTo(180), number, kind, tasks, d.pick("red", "blue", "green"), 3+d.rng.IntN(30), d.pick("1", "2", "3.5"), d.pick("no", "no", "yes"),
		d.pick("no", "no", "yes"), d.pick("yes", "no"), d.pick("standard", "best_effort", "urgent", "production"), d.pick("0", "5"),
		d.pick("1", "3"), d.rng.IntN(4), d.pick("no", "no", "no", "no", "yes"))
	if d.rng.IntN(3) == 0 {
		d.line("at %.1f cancel j-%06d", 190+d.upTo(60), number)
	}
	if d.rng.IntN(3) == 0 {
		d.line("at %.1f repeat j-%06d broken=%s", 200+d.upTo(200), number, d.pick("yes", "no"))
	}
}

var smallFleetFaults = []fault{
	func(d *day, at, _ float64) { d.line("at %.1f crash node0 for=%.1f", at, 0.2+d.upTo(8)) },
	func(d *day, at, _ float64) {
		d.line("at %.1f roll every=%.1f for=%.1f", at, 1+d.upTo(15), 0.2+d.upTo(6))
	},
	func(d *day, at, duration float64) { d.line("at %.1f hang busiest for=%.1f", at, duration) },
	func(d *day, at, duration float64) {
		d.line("at %.1f cut node%d state for=%.1f mode=%s", at, d.rng.IntN(2), duration, d.partitionMode())
	},
	func(d *day, at, duration float64) {
		d.line("at %.1f cut node* n-* for=%.1f mode=%s", at, duration/2, d.partitionMode())
	},
	func(d *day, at, duration float64) {
		d.line("at %.1f cut node0 * for=%.1f mode=%s", at, duration, d.partitionMode())
	},
	func(d *day, at, duration float64) { d.line("at %.1f outage for=%.1f", at, duration) },
	func(d *day, at, duration float64) { d.line("at %.1f refuse node0 for=%.1f", at, duration) },
	func(d *day, at, duration float64) { d.line("at %.1f sick busiest for=%.1f", at, duration) },
	func(d *day, at, duration float64) {
		d.line("at %.1f %s busiest for=%.1f", at, d.pick("die", "notice", "take", "reboot"), duration)
	},
	func(d *day, at, duration float64) {
		d.line("at %.1f cut n-00000%d * for=%.1f mode=deaf", at, 1+d.rng.IntN(5), duration*2)
	},
	func(d *day, at, duration float64) { // workers are all that this controller reaches
		d.line("at %.1f cut node0 state for=%.1f\nat %.1f cut node0 node* for=%.1f", at, duration*2, at, duration*2)
	},
	func(d *day, at, _ float64) {
		d.line("at %.1f crash node0,node1 for=%.2f\nat %.1f crash node0 for=%.2f", at, d.upTo(1), at+d.upTo(4), d.upTo(1))
	},
	func(d *day, at, duration float64) {
		d.line("at %.1f cloud_outage for=%.1f\nat %.1f cut node1 n-* for=%.1f mode=hold", at, duration, at+1, duration)
	},
}
