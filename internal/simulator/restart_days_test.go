package simulator

import "testing"

// TestRestarts runs random scenarios in which agents restart again and again while late copies of their heartbeats
// arrive, teams are at their quota, and jobs are cancelled.
func TestRestarts(t *testing.T) { runSeeds(t, restartsScenario, "RESTARTS", 6) }

// TestRestartsFound runs the seeds that once broke a rule: with 8 and 79 a team exceeded its quota, since a copy of a
// heartbeat from before a restart proved tasks absent; with 1, 9 and 55 a controller showed a deleted document.
func TestRestartsFound(t *testing.T) {
	for _, seed := range []int{1, 8, 9, 55, 79} {
		runSeed(t, restartsScenario, seed)
	}
}

// restartsScenario generates a scenario of machines that restart every few seconds.
func restartsScenario(seed uint64) string {
	g := newScenarioGenerator(seed, 91)
	g.line("set nodes=3 end=260 seed=%d copies=0.4 writes=60 ops=32 value=8 %s", seed, g.pick("report=1 lease=11 cancel=36", "report=3 lease=22 cancel=47"))
	g.line("team red max=44\nteam blue max=40")
	g.line("type big cpus=16 mem=64 zones=a,b count=4 spot=4 boot=20\nmachines big n=3 zone=a spot=yes\nmachines big n=3 zone=b")
	g.line("at 2 submit j-1 kind=service n=2 count=6 spot=yes cpus=2")
	const jobs, lastSubmission, lastRestart = 120, 180.0, 200.0
	for i := range jobs {
		at := lastSubmission * float64(i) / jobs
		g.at(at, "submit j-%d n=%d run=%d cpus=%s team=%s spot=yes", 100+i, 1+g.rng.IntN(4), 4+g.rng.IntN(20), g.pick("1", "2", "4"), g.pick("red", "blue"))
		if g.rng.IntN(3) == 0 {
			g.at(at+g.upTo(15), "cancel j-%06d", 100+i)
		}
	}
	for at := 10 + g.upTo(10); at < lastRestart; at += 4 + g.upTo(8) {
		g.at(at, "reboot any n=%d", 1+g.rng.IntN(2))
	}
	for at := 30 + g.upTo(10); at < lastRestart; at += 20 + g.upTo(30) {
		g.at(at, "crash node%d for=%.1f", g.rng.IntN(3), 0.3+g.upTo(3))
	}
	return g.text.String()
}
