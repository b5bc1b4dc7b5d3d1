package simulator

import (
	"fmt"
	"strings"
	"testing"
)

// TestMeetings plays random days on which faults coincide in pairs.
func TestMeetings(t *testing.T) { runSeeds(t, coincidingFaultsDay, "MEETINGS", 24) }

// TestMeetingsFound plays the days that have broken a rule before: 585 a team's quota, the others left
// tasks waiting beside free capacity for them.
func TestMeetingsFound(t *testing.T) {
	for _, seed := range []int{47, 286, 315, 335, 396, 585, 771, 812, 827, 1144} {
		runSeed(t, coincidingFaultsDay, seed)
	}
}

// TestHeldAnswers plays random days on which answers are delayed.
func TestHeldAnswers(t *testing.T) { runSeeds(t, delayedAnswersDay, "HELD", 6) }

// TestFewSockets plays random days of coinciding faults with so few sockets that calls of agents must wait.
func TestFewSockets(t *testing.T) { runSeeds(t, fewSocketsDay, "SOCKETS", 6) }

// fewSocketsDay writes a day of coinciding faults, or every third time of a large fleet, on which a
// controller may have eight calls of agents of each kind under way.
func fewSocketsDay(seed uint64) string {
	day := coincidingFaultsDay(seed)
	if seed%3 == 0 {
		day = largeFleetDay(seed)
	}
	return strings.Replace(day, "set ", "set sockets=64 ", 1)
}

// delayedAnswersDay writes a day of coinciding faults on which answers to worker heartbeats are delayed
// as well.
func delayedAnswersDay(seed uint64) string {
	d := newDay(seed, 17)
	d.text.WriteString(coincidingFaultsDay(seed))
	for range 2 {
		d.line("at %.1f slow_answers by=%.1f for=%.1f", 10+d.upTo(200), 1+d.upTo(2.9), 20+d.upTo(80))
	}
	return d.text.String()
}

// coincidingFaultsDay writes a scenario in which faults coincide in pairs, within seconds of each other:
// those that operators have listed, on a small fleet with leases and cancel times like those of sites.
func coincidingFaultsDay(seed uint64) string {
	d := newDay(seed, 13)
	writeFleetInTwoZones(d, seed)
	writeMixedJobs(d)
	for at := 25 + d.upTo(20); at < 230; at += 40 + d.upTo(50) {
		for range 2 {
			coincidingFaults[d.rng.IntN(len(coincidingFaults))](d, at+d.upTo(8), 5+d.upTo(45))
		}
	}
	return d.text.String()
}

func writeFleetInTwoZones(d *day, seed uint64) {
	times := d.pick("report=1 lease=11 cancel=36", "report=3 lease=22 cancel=47", "report=6 lease=31 cancel=56", "report=3 lease=42 cancel=62")
	d.line("set nodes=%s end=520 seed=%d flaky=%s copies=%s value=%s writes=%s ops=%s keep=%s %s", d.pick("3", "3", "5"), seed,
		d.pick("0", "0", "0.02"), d.pick("0", "0.05"), d.pick("2", "4", "8"), d.pick("25", "40"), d.pick("12", "32"), d.pick("40", "10000"), times)
	d.line("team red cpus=40 max=90\nteam blue max=70\nteam green cpus=30")
	d.line("type big cpus=16 mem=64 zones=a,b count=8 spot=4 fetch=0.3 boot=20\ntype small cpus=4 mem=16 zones=a,b count=6 boot=20")
	d.line("machines big n=5 zone=a\nmachines big n=4 zone=b\nmachines small n=3 zone=b")
}

// writeMixedJobs writes arrays of many lengths, and a few services.
func writeMixedJobs(d *day) {
	for i := range 34 {
		tasks := 1 + d.rng.IntN(12)
		if d.rng.IntN(3) == 0 {
			tasks = 2 + d.rng.IntN(2)
		}
		d.line("at %.1f submit j-%d n=%d team=%s run=%d cpus=%s spot=%s onezone=%s zone=%s grade=%s ckpt=%s save=%s gb=%s image=img%d broken=%s", 1+d.upTo(220), 10+i, tasks,
			d.pick("red", "blue", "green"), 5+int(d.rng.Float64()*d.rng.Float64()*140), d.pick("1", "2", "4"), d.pick("yes", "no"), d.pick("no", "no", "yes"), d.pick("", "", "a", "b"),
			d.pick("standard", "best_effort", "urgent"), d.pick("0", "0", "5"), d.pick("1", "4"), d.pick("0.2", "3"), d.rng.IntN(5), d.pick("no", "no", "no", "no", "no", "yes"))
	}
	for i := range 5 {
		d.line("at %.1f submit j-%d kind=service n=%d team=%s cpus=2 spread=%s", 1+d.upTo(60), 80+i, 1+d.rng.IntN(4), d.pick("blue", "green"), d.pick("yes", "no"))
	}
}

// node draws one of the controllers that all days have.
func (d *day) node() string { return fmt.Sprintf("node%d", d.rng.IntN(3)) }

// moment draws a length below a second.
func (d *day) moment() float64 { return 0.15 + d.upTo(0.8) }

// coincidingFaults are drawn in pairs; some are chains of faults themselves.
var coincidingFaults = []fault{
	leaderLosesStoreBeforeOutage,
	isolatedLeader,
	func(d *day, at, duration float64) {
		d.at(at, "late_writes share=%.2f for=%.1f", 0.1+d.upTo(0.5), duration*2)
	},
	manyFailovers,
	func(d *day, at, duration float64) { d.at(at, "cut node* n-* mode=mute for=%.1f", duration) },
	func(d *day, at, duration float64) { d.at(at, "cut %s n-* mode=mute for=%.1f", d.node(), duration) },
	func(d *day, at, duration float64) {
		d.at(at, "zonecut %s mode=%s for=%.1f", d.pick("a", "b"), d.partitionMode(), duration)
	},
	delayedHeartbeatsAcrossFailover,
	func(d *day, at, duration float64) {
		d.at(at, "late_reports share=%.2f for=%.1f", 0.1+d.upTo(0.4), duration*2)
	},
	crashAllThenOne,
	failoverWithUnreachableMachines,
	func(d *day, at, duration float64) {
		d.at(at, "cut n-00000%d * mode=deaf for=%.1f", d.rng.IntN(9), duration*2)
	},
	func(d *day, at, duration float64) { d.at(at, "slow_state by=%.2f for=%.1f", d.upTo(0.6), duration) },
	cancellationsAtEndAndInvalidRequests,
	delayedCommandsAndHungMachines,
	func(d *day, at, duration float64) { d.at(at, "hang any n=%d for=%.1f", 1+d.rng.IntN(5), duration) },
	func(d *day, at, duration float64) {
		d.at(at, "%s any n=%d for=%.1f", d.pick("die", "reboot", "sick", "notice"), 1+d.rng.IntN(3), duration)
	},
	func(d *day, at, duration float64) { // all controllers are away for long
		d.at(at, "crash node0,node1,node2,node%d for=%.1f", d.rng.IntN(3), 10+duration)
	},
	func(d *day, at, duration float64) { d.at(at, "freeze %s for=%.1f", d.node(), duration) },
	func(d *day, at, duration float64) { d.at(at, "blind %s for=%.1f", d.node(), duration) },
	func(d *day, at, _ float64) {
		d.at(at, "roll every=%.1f for=%.2f", 1+d.upTo(12), d.aboutOneOf(0.3, 6))
	},
	func(d *day, at, duration float64) { d.at(at, "cloud_outage for=%.1f", duration) },
	func(d *day, at, duration float64) { d.at(at, "cut node* node* for=%.1f", duration) },
	func(d *day, at, duration float64) {
		d.at(at, "outage for=%.1f", duration)
		d.at(at+d.upTo(duration), "crash %s for=%.2f", d.node(), d.moment())
	},
}

// leaderLosesStoreBeforeOutage takes the key-value store from one controller, has users cancel, and then
// takes it from all.
func leaderLosesStoreBeforeOutage(d *day, at, duration float64) {
	node := d.node()
	if d.rng.IntN(2) == 0 {
		d.at(at, "refuse %s for=%.1f", node, 4+duration/4)
	} else {
		d.at(at, "cut %s state for=%.1f mode=%s", node, 4+duration/4, d.partitionMode())
	}
	d.at(at+d.upTo(3)-1, "cancel_now count=%d hang=%.1f", 1+d.rng.IntN(5), float64(d.rng.IntN(2))*duration/3)
	d.at(at+1+d.upTo(2), "outage for=%.1f", 20+duration)
	if d.rng.IntN(2) == 0 {
		d.at(at+20+duration, "blind %s for=%.1f", node, d.upTo(4))
	}
}

// isolatedLeader cuts a controller off from the store and its peers, while users cancel.
func isolatedLeader(d *day, at, duration float64) {
	node := d.node()
	d.at(at, "cut %s state for=%.1f mode=%s", node, duration, d.partitionMode())
	d.at(at, "cut %s node* for=%.1f", node, duration)
	d.at(at+6+d.upTo(8), "cancel_now count=%d", 1+d.rng.IntN(4))
}

func manyFailovers(d *day, at, duration float64) {
	for i := range 6 {
		d.at(at+float64(i)*duration/6, "crash %s for=%.2f", d.node(), d.aboutOneOf(0.2, 5))
	}
}

func delayedHeartbeatsAcrossFailover(d *day, at, duration float64) {
	d.at(at, "cut %s n-* mode=hold for=%.1f", d.node(), duration/2)
	d.at(at+d.upTo(duration/2), "crash %s for=%.2f", d.node(), d.moment())
}

func crashAllThenOne(d *day, at, _ float64) {
	d.at(at, "crash node0,node1,node2 for=%.2f", d.aboutOneOf(0.3, 8))
	d.at(at+1+d.upTo(1), "crash %s for=%.2f", d.node(), d.moment())
}

// failoverWithUnreachableMachines cuts machines off, so that a new leader can't ask them what runs there,
// while users cancel.
func failoverWithUnreachableMachines(d *day, at, duration float64) {
	d.at(at, "lose n=%d mode=%s for=%.1f", 1+d.rng.IntN(5), d.partitionMode(), duration)
	d.at(at+d.upTo(4), "crash %s for=%.2f", d.node(), d.aboutOneOf(0.3, 6))
	d.at(at+d.upTo(8), "cancel_now count=%d", 1+d.rng.IntN(3))
}

func cancellationsAtEndAndInvalidRequests(d *day, at, duration float64) {
	d.at(at, "cancel_at_end share=%.1f for=%.1f", 0.2+d.upTo(0.6), duration)
	d.at(at, "odd for=%.1f", duration)
}

// delayedCommandsAndHungMachines delays commands or their answers, while users cancel jobs whose machines
// hang and go on.
func delayedCommandsAndHungMachines(d *day, at, duration float64) {
	d.at(at, "cut %s %s mode=hold for=%.1f", d.pick("node*", "n-*"), d.pick("n-*", "node*"), 2+duration/6)
	d.at(at+d.upTo(3), "cancel_now count=%d hang=%.1f", 1+d.rng.IntN(4), 2+duration/3)
}
