package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"frostdock.example/frostdock/internal/kv"
)

// randomStream is the second half of the generator's seed; the first half is the run's seed.
const randomStream = 23

// lockedRand is a random number generator that goroutines can share. All draw from one sequence.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRand(seed uint64) *lockedRand {
	return &lockedRand{rng: rand.New(rand.NewPCG(seed, randomStream))}
}

// intN draws a number from 0 to n-1.
func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// chance draws true with the given probability.
func (r *lockedRand) chance(probability float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < probability
}

// between draws a duration from low to high.
func (r *lockedRand) between(low, high time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return low + time.Duration(r.rng.Float64()*float64(high-low))
}

// doubledDelay draws a duration from low to at most high; each doubling of the duration is equally likely.
func (r *lockedRand) doubledDelay(low, high time.Duration) time.Duration {
	doublings := 0
	for delay := low; 2*delay <= high; delay *= 2 {
		doublings++
	}
	delay := low << r.intN(doublings)
	return r.between(delay, 2*delay)
}

// shuffle puts events into a random order.
func (r *lockedRand) shuffle(events []kv.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
}

// pick draws one of the values.
func pick[T any](rng *lockedRand, from ...T) T { return from[rng.intN(len(from))] }
