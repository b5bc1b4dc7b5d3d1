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

// scenarioGenerator generates a random scenario in the text format, line by line.
type scenarioGenerator struct {
	text strings.Builder
	rng  *rand.Rand
}

// newScenarioGenerator returns a generator with an empty scenario. Each kind of scenario has its own stream
// of random numbers.
func newScenarioGenerator(seed, stream uint64) *scenarioGenerator {
	return &scenarioGenerator{rng: rand.New(rand.NewPCG(seed, stream))}
}

func (g *scenarioGenerator) line(format string, args ...any) {
	fmt.Fprintf(&g.text, format+"\n", args...)
}

// at writes a step at the given time, but not earlier than 0.5 seconds after the start of the run.
func (g *scenarioGenerator) at(seconds float64, format string, args ...any) {
	g.line("at %.2f "+format, append([]any{max(seconds, 0.5)}, args...)...)
}

// pick returns a random one of the given words.
func (g *scenarioGenerator) pick(words ...string) string { return words[g.rng.IntN(len(words))] }

// partitionMode returns a random mode of a network partition.
func (g *scenarioGenerator) partitionMode() string { return g.pick("hold", "drop") }

// upTo returns a random number from 0 to limit, excluding limit.
func (g *scenarioGenerator) upTo(limit float64) float64 { return g.rng.Float64() * limit }

// pickScaled picks one of two numbers and multiplies it by a random factor from 1 to 2.
func (g *scenarioGenerator) pickScaled(x, y float64) float64 {
	if g.rng.IntN(2) == 0 {
		return x * (1 + g.rng.Float64())
	}
	return y * (1 + g.rng.Float64())
}

// fault writes the steps of a random fault. at is when it starts and duration about how long it lasts, both
// in seconds.
type fault func(g *scenarioGenerator, at, duration float64)

// withRepeatedCalls has half of the direct commands, and some requests to the key-value store and the cloud, arrive again
// in every second scenario.
func withRepeatedCalls(generate func(seed uint64) string) func(seed uint64) string {
	return func(seed uint64) string {
		scenario := generate(seed)
		if seed%2 == 0 {
			scenario = strings.Replace(scenario, "set ", "set repeats=0.5 apirepeats=0.1 ", 1)
		}
		return scenario
	}
}

// runSeeds runs the scenarios of the seeds from 1 to last, every second one with repeated calls. The environment
// variable named env may give another range, as FROM-TO.
func runSeeds(t *testing.T, generate func(seed uint64) string, env string, last int) {
	t.Helper()
	generate = withRepeatedCalls(generate)
	first := 1
	if value := os.Getenv(env); value != "" {
		first, last = seedRange(t, value)
	}
	for seed := first; seed <= last; seed++ {
		runSeed(t, generate, seed)
	}
}

// seedRange parses a range of seeds given as FROM-TO.
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

// runSeed runs the scenario of one seed. A fault whose machine does not exist is skipped.
func runSeed(t *testing.T, generate func(seed uint64) string, seed int) {
	t.Helper()
	t.Run(strconv.Itoa(seed), func(t *testing.T) {
		t.Parallel()
		runText(t, generate(uint64(seed)))
	})
}

// runText runs a scenario. A fault whose machine does not exist is skipped.
func runText(t *testing.T, text string) {
	t.Helper()
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
}
