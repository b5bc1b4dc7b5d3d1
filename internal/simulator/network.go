package simulator

import (
	"strings"

	"frostdock.example/frostdock/internal/units"
)

// Hosts that are neither controllers nor machines.
const (
	storeHost = "state"
	cloudHost = "cloud"
	usersHost = "users"
	anyHost   = "*" // as a pattern
)

const (
	defaultLatency = 4 * units.Millisecond
	spikeRate      = 0.005 // chance that a trip takes much longer
	maxSpike       = 300 * units.Millisecond
	maxLateSeconds = 30 // a request that is carried out late comes up to so much later
)

// network is what the network does to messages.
type network struct {
	latency        units.Micros
	lossRate       float64      // chance that an answer is lost; half of it: a request is carried out late
	duplicateRate  float64      // chance that a copy of a worker heartbeat comes late, to any controller
	maxAnswerDelay units.Micros // the most that an answer to a worker heartbeat is delayed
	partitions     []*networkPartition
}

// partitionMode says what a network partition does to messages.
type partitionMode int

const (
	dropMessages        partitionMode = iota
	delayRequests                     // requests are carried out after it, answers are lost
	dropInbound                       // only what the peer sends to the host is lost
	dropInboundRequests               // only the peer's requests are lost: it answers what it is asked
)

// networkPartition is an interruption between some hosts.
type networkPartition struct {
	crosses func(from, to string) bool // whether a message passes from the host's side to the peer's
	mode    partitionMode
	until   units.Micros
}

// interrupts reports whether a message between two hosts is lost or delayed.
func (p *networkPartition) interrupts(from, to string, answer bool) bool {
	switch p.mode {
	case dropInbound:
		return p.crosses(to, from)
	case dropInboundRequests:
		return !answer && p.crosses(to, from)
	default:
		return p.crosses(from, to) || p.crosses(to, from)
	}
}

// partitionHosts interrupts the way between two kinds of host.
func (w *World) partitionHosts(hostPattern, peerPattern string, mode partitionMode, duration units.Micros) {
	w.addPartition(mode, duration, func(from, to string) bool {
		return matchesHost(hostPattern, from) && matchesHost(peerPattern, to)
	})
}

// partitionMachines cuts some machines off from everything.
func (w *World) partitionMachines(machines map[string]bool, mode partitionMode, duration units.Micros) {
	w.addPartition(mode, duration, func(from, to string) bool { return machines[from] || machines[to] })
}

// partitionZone cuts a zone off from everything that is not in it.
func (w *World) partitionZone(zone string, mode partitionMode, duration units.Micros) {
	w.addPartition(mode, duration, func(from, to string) bool { return (w.zoneOf(from) == zone) != (w.zoneOf(to) == zone) })
}

func (w *World) addPartition(mode partitionMode, duration units.Micros, crosses func(from, to string) bool) {
	w.network.partitions = append(w.network.partitions, &networkPartition{crosses: crosses, mode: mode, until: w.now + duration})
}

// partitionBetween finds what interrupts a request or an answer from one host to another; nil:
// nothing does.
func (w *World) partitionBetween(from, to string, answer bool) *networkPartition {
	for _, partition := range w.network.partitions {
		if w.now < partition.until && partition.interrupts(from, to, answer) {
			return partition
		}
	}
	return nil
}

// matchesHost reports whether a pattern names a host; a star at its end stands for any rest.
func matchesHost(pattern, host string) bool {
	if prefix, ok := strings.CutSuffix(pattern, anyHost); ok {
		return strings.HasPrefix(host, prefix)
	}
	return pattern == host
}

// networkDelay draws the time of one trip through the network.
func (w *World) networkDelay() units.Micros {
	latency := w.network.latency
	delay := latency/2 + units.Micros(w.rng.Int64N(int64(latency)))
	if w.rng.Float64() < spikeRate {
		delay += units.Micros(w.rng.Int64N(int64(maxSpike)))
	}
	return delay
}

// answerDelay draws how much longer an answer to a host takes than usual.
func (w *World) answerDelay(host string) units.Micros {
	if w.network.maxAnswerDelay == 0 || w.workers[host] == nil {
		return 0
	}
	return units.Micros(w.rng.Int64N(int64(w.network.maxAnswerDelay)))
}

// delayAnswers delays answers to worker heartbeats for a while.
func (w *World) delayAnswers(most, duration units.Micros) {
	w.network.maxAnswerDelay = most
	w.after(duration, func() { w.network.maxAnswerDelay = 0 })
}

// duplicateHeartbeats repeats worker heartbeats late for a while.
func (w *World) duplicateHeartbeats(rate float64, duration units.Micros) {
	w.network.duplicateRate = rate
	w.after(duration, func() { w.network.duplicateRate = 0 })
}

// call sends a request from one host to another. serve runs there and passes its answer to the
// function that it is given; received runs here with that answer, or with ok false after the
// timeout. Requests may be lost, or delayed and carried out though nobody waits for them any more.
func call[T any](w *World, from, to string, timeout units.Micros, serve func(answer func(T)), received func(response T, ok bool)) {
	finished := false
	finish := func(response T, ok bool) {
		if !finished {
			finished = true
			received(response, ok)
		}
	}
	w.after(timeout, func() {
		var none T
		finish(none, false)
	})
	answer := func(response T) {
		if w.partitionBetween(to, from, true) != nil || w.rng.Float64() < w.network.lossRate {
			return
		}
		w.after(w.networkDelay()+w.answerDelay(from), func() { finish(response, true) })
	}
	deliver := func() { w.deliver(from, to, func() { serve(answer) }) }
	if w.rng.Float64() < w.network.lossRate/2 {
		w.after(units.FromSeconds(1+w.rng.Float64()*maxLateSeconds), deliver)
		return
	}
	w.after(w.networkDelay(), deliver)
}

// deliver carries a request out at its target, unless a network partition drops or delays it.
func (w *World) deliver(from, to string, serve func()) {
	partition := w.partitionBetween(from, to, false)
	switch {
	case partition == nil:
		serve()
	case partition.mode == delayRequests:
		w.at(partition.until+w.networkDelay(), func() { w.deliver(from, to, serve) })
	}
}
