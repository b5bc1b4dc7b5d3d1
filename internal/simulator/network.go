package simulator

import (
	"strings"

	"frostdock.example/frostdock/internal/units"
)

// Hosts that are neither controllers nor machines.
const (
	storeHost    = "state"
	cloudHost    = "cloud"
	usersHost    = "users"
	hostWildcard = "*" // at the end of a host pattern: any suffix
)

const (
	defaultLatency = 4 * units.Millisecond
	spikeRate      = 0.005 // probability that a message takes up to maxSpike longer
	maxSpike       = 300 * units.Millisecond
	maxLateSeconds = 30 // a late request arrives after 1 s plus up to this many seconds
)

// network holds the delays, losses and partitions that apply to messages.
type network struct {
	latency        units.Micros
	lossRate       float64      // probability that an answer is lost; with half of it, a request arrives late
	duplicateRate  float64      // probability that a late copy of a worker heartbeat is sent to a random controller
	repeatRate     float64      // probability that direct commands that were carried out and answered arrive again
	apiRepeatRate  float64      // the same for requests to the key-value store and the cloud
	maxAnswerDelay units.Micros // maximum extra delay of an answer to a worker heartbeat; 0: none
	partitions     []*networkPartition
}

// partitionMode says what a network partition does to messages.
type partitionMode int

const (
	dropMessages        partitionMode = iota
	delayRequests                     // requests arrive after the partition, answers are lost
	dropInbound                       // only messages from the peer to the host are lost
	dropInboundRequests               // only requests from the peer to the host are lost, not answers
)

// networkPartition interrupts messages between some hosts.
type networkPartition struct {
	crosses func(from, to string) bool // reports whether a message goes from the host's side to the peer's
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

// partitionHosts partitions two groups of hosts, each given by a pattern, from each other.
func (w *World) partitionHosts(hostPattern, peerPattern string, mode partitionMode, duration units.Micros) {
	w.addPartition(mode, duration, func(from, to string) bool {
		return matchesHost(hostPattern, from) && matchesHost(peerPattern, to)
	})
}

// partitionMachines partitions machines from all hosts, including each other.
func (w *World) partitionMachines(machines map[string]bool, mode partitionMode, duration units.Micros) {
	w.addPartition(mode, duration, func(from, to string) bool { return machines[from] || machines[to] })
}

// partitionZone partitions a zone from all hosts outside it.
func (w *World) partitionZone(zone string, mode partitionMode, duration units.Micros) {
	w.addPartition(mode, duration, func(from, to string) bool { return (w.zoneOf(from) == zone) != (w.zoneOf(to) == zone) })
}

func (w *World) addPartition(mode partitionMode, duration units.Micros, crosses func(from, to string) bool) {
	w.network.partitions = append(w.network.partitions, &networkPartition{crosses: crosses, mode: mode, until: w.now + duration})
}

// partitionBetween returns a partition that interrupts a request or an answer from one host to another,
// or nil if there is none.
func (w *World) partitionBetween(from, to string, answer bool) *networkPartition {
	for _, partition := range w.network.partitions {
		if w.now < partition.until && partition.interrupts(from, to, answer) {
			return partition
		}
	}
	return nil
}

// matchesHost reports whether a host matches a pattern; a * at the end matches any suffix.
func matchesHost(pattern, host string) bool {
	if prefix, ok := strings.CutSuffix(pattern, hostWildcard); ok {
		return strings.HasPrefix(host, prefix)
	}
	return pattern == host
}

// networkDelay draws the time that one message takes through the network.
func (w *World) networkDelay() units.Micros {
	latency := w.network.latency
	delay := latency/2 + units.Micros(w.rng.Int64N(int64(latency)))
	if w.rng.Float64() < spikeRate {
		delay += units.Micros(w.rng.Int64N(int64(maxSpike)))
	}
	return delay
}

// answerDelay draws the extra delay of an answer to a host; only machines have one.
func (w *World) answerDelay(host string) units.Micros {
	if w.network.maxAnswerDelay == 0 || w.workers[host] == nil {
		return 0
	}
	return units.Micros(w.rng.Int64N(int64(w.network.maxAnswerDelay)))
}

// delayAnswers delays answers to worker heartbeats by up to maxDelay, for a duration.
func (w *World) delayAnswers(maxDelay, duration units.Micros) {
	w.network.maxAnswerDelay = maxDelay
	w.after(duration, func() { w.network.maxAnswerDelay = 0 })
}

// duplicateHeartbeats sends late copies of worker heartbeats at a rate, for a duration.
func (w *World) duplicateHeartbeats(rate float64, duration units.Micros) {
	w.network.duplicateRate = rate
	w.after(duration, func() { w.network.duplicateRate = 0 })
}

// repeatCommands delivers direct commands again, at a rate, for a duration.
func (w *World) repeatCommands(rate float64, duration units.Micros) {
	w.network.repeatRate = rate
	w.after(duration, func() { w.network.repeatRate = 0 })
}

// call sends a request from one host to another. serve runs at the receiver and passes its response to
// answer; received runs at the sender with that response, or with ok false after the timeout. Requests
// may be lost, or delayed and served after the sender has given up.
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

// deliver serves a request at its receiver, unless a network partition drops or delays the request.
func (w *World) deliver(from, to string, serve func()) {
	partition := w.partitionBetween(from, to, false)
	switch {
	case partition == nil:
		serve()
	case partition.mode == delayRequests:
		w.at(partition.until+w.networkDelay(), func() { w.deliver(from, to, serve) })
	}
}
