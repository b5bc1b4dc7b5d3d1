package simulator

import (
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/units"
)

// startOutage makes the store unavailable to all controllers for a duration. At its end each lease is
// renewed for its full TTL.
func (s *fakeStore) startOutage(duration units.Micros) {
	s.down = true
	s.world.after(duration, func() {
		s.down = false
		for _, lease := range s.leases {
			lease.expiresAt = s.world.now + lease.ttl
		}
		s.notifyWatches()
	})
}

// refuse makes the store unavailable to one controller for a duration.
func (s *fakeStore) refuse(caller string, duration units.Micros) {
	s.unavailableUntil[caller] = s.world.now + duration
}

// loseWatches leaves a controller's watches unanswered for a duration.
func (s *fakeStore) loseWatches(caller string, duration units.Micros) {
	s.watchesLostUntil[caller] = s.world.now + duration
}

// coalesceChanges makes watches return only the newest change of each key, in random order, for a
// duration.
func (s *fakeStore) coalesceChanges(duration units.Micros) { s.coalesceUntil = s.world.now + duration }

// commitLate begins a fault during which some transactions get no answer and are committed seconds later.
func (s *fakeStore) commitLate(rate float64, duration units.Micros) {
	s.lateCommitRate = rate
	s.world.after(duration, func() { s.lateCommitRate = 0 })
}

// slowDown delays all requests by averageDelay on average, for a duration.
func (s *fakeStore) slowDown(averageDelay, duration units.Micros) {
	s.averageDelay = averageDelay
	s.world.after(duration, func() { s.averageDelay = 0 })
}

// delayAnswers delays the answers to a controller by up to maxDelay, for a duration; its requests are carried out without
// delay.
func (s *fakeStore) delayAnswers(caller string, maxDelay, duration units.Micros) {
	s.answerDelays[caller] = maxDelay
	s.world.after(duration, func() { delete(s.answerDelays, caller) })
}

// delayed returns a function that passes an answer on, under a fault later.
func (s *fakeStore) delayed(caller string, answer func(kv.Response)) func(kv.Response) {
	return func(response kv.Response) {
		maxDelay := s.answerDelays[caller]
		if maxDelay == 0 {
			answer(response)
			return
		}
		s.world.after(maxDelay/2+units.Micros(s.world.rng.Int64N(int64(maxDelay/2))), func() { answer(response) })
	}
}

func (s *fakeStore) unavailable(caller string) bool {
	return s.down || s.world.now < s.unavailableUntil[caller]
}
