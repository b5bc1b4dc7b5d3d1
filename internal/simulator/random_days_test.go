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

// scenarioGenerator writes a random scenario, line by line.
type scenarioGenerator struct {
	text strings.Builder
	rng  *rand.Rand
}

// newScenarioGenerator returns an empty day. Each kind of day draws from a stream of its own.
func newScenarioGenerator(seed, stream uint64) *scenarioGenerator {
	return &scenarioGenerator{rng: rand.New(rand.NewPCG(seed, stream))}
}

func (g *scenarioGenerator) line(format string, args ...any) {
	fmt.Fprintf(&g.text, format+"\n", args...)
}

// at writes a step. None comes before the day has begun.
func (g *scenarioGenerator) at(seconds float64, format string, args ...any) {
	g.line("at %.2f "+format, append([]any{max(seconds, 0.5)}, args...)...)
}

// pick draws one of some words.
func (g *scenarioGenerator) pick(words ...string) string { return words[g.rng.IntN(len(words))] }

// partitionMode draws a mode of a network partition.
func (g *scenarioGenerator) partitionMode() string { return g.pick("hold", "drop") }

// upTo draws a length below the given one.
func (g *scenarioGenerator) upTo(limit float64) float64 { return g.rng.Float64() * limit }

// pickScaled is about one of two lengths.
func (g *scenarioGenerator) pickScaled(x, y float64) float64 {
	if g.rng.IntN(2) == 0 {
		return x * (1 + g.rng.Float64())
	}
	return y * (1 + g.rng.Float64())
}

// fault writes a random fault of some kind that begins at a time and lasts so long.
type fault func(g *scenarioGenerator, at, duration float64)

// runSeeds plays the days of some seeds from 1 on; the variable named env may hold others, FROM-TO.
func runSeeds(t *testing.T, generate func(seed uint64) string, env string, last int) {
	t.Helper()
	first := 1
	if value := os.Getenv(env); value != "" {
		first, last = seedRange(t, value)
	}
	for seed := first; seed <= last; seed++ {
		runSeed(t, generate, seed)
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
func runSeed(t *testing.T, generate func(seed uint64) string, seed int) {
	t.Helper()
	t.Run(strconv.Itoa(seed), func(t *testing.T) {
		t.Parallel()
		text := generate(uint64(seed))
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
