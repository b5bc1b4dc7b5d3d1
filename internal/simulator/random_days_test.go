package simulator

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// day writes a random scenario, line by line.
type day struct {
	text strings.Builder
	rng  *rand.Rand
}

// newDay returns an empty day. Each kind of day draws from a stream of its own.
func newDay(seed, stream uint64) *day { return &day{rng: rand.New(rand.NewPCG(seed, stream))} }

func (d *day) line(format string, args ...any) { fmt.Fprintf(&d.text, format+"\n", args...) }

// at writes a step. None comes before the day has begun.
func (d *day) at(seconds float64, format string, args ...any) {
	d.line("at %.2f "+format, append([]any{max(seconds, 0.5)}, args...)...)
}

// pick draws one of some words.
func (d *day) pick(words ...string) string { return words[d.rng.IntN(len(words))] }

// partitionMode draws a mode of a network partition.
func (d *day) partitionMode() string { return d.pick("hold", "drop") }

// upTo draws a length below the given one.
func (d *day) upTo(most float64) float64 { return d.rng.Float64() * most }

// aboutOneOf is about one of two lengths.
func (d *day) aboutOneOf(x, y float64) float64 {
	if d.rng.IntN(2) == 0 {
		return x * (1 + d.rng.Float64())
	}
	return y * (1 + d.rng.Float64())
}

// fault writes a random fault of some kind that begins at a time and lasts so long.
type fault func(d *day, at, duration float64)

// runSeeds plays the days of some seeds from 1 on; the variable named env may hold others, FROM-TO.
func runSeeds(t *testing.T, write func(seed uint64) string, env string, last int) {
	t.Helper()
	first := 1
	if value := os.Getenv(env); value != "" {
		first, last = seedRange(t, value)
	}
	for seed := first; seed <= last; seed++ {
		runSeed(t, write, seed)
	}
}

// seedRange parses FROM-TO.
func seedRange(t *testing.T, value string) (first, last int) {
	t.Helper()
	from, to, _ := strings.Cut(value, "-")
	first, err := strconv.Atoi(from)
	if err != nil {
		t.Fatalf("seeds %q: %v", value, err)
	}
	if last, err = strconv.Atoi(to); err != nil {
		t.Fatalf("seeds %q: %v", value, err)
	}
	return first, last
}

// runSeed plays one day. A fault for which no machine is left is skipped.
func runSeed(t *testing.T, write func(seed uint64) string, seed int) {
	t.Helper()
	t.Run(strconv.Itoa(seed), func(t *testing.T) {
		t.Parallel()
		text := write(uint64(seed))
		s, err := Parse(strings.NewReader(text))
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		var log bytes.Buffer
		s.Trace = traceFor(t)
		problems, err := s.Run(&log)
		if err != nil && !strings.Contains(err.Error(), "no machine") {
			t.Fatalf("%v\n%s", err, text)
		}
		for _, problem := range problems {
			t.Error(problem)
		}
		if (t.Failed() || testing.Verbose()) && os.Getenv("SCENARIO_LOG") != "" {
			t.Log("\n" + text + log.String())
		}
	})
}
