package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/units"
)

// Only the parser files know the keywords of the text format. They turn a file into typed settings, steps
// and expectations, and report mistakes in the file before its run begins.

// lineParsers holds a parser for each kind of line, by the line's first word.
var lineParsers = map[string]func(s *Scenario, args *arguments) error{
	"set":      (*Scenario).parseSettings,
	"team":     (*Scenario).parseTeam,
	"type":     (*Scenario).parseMachineType,
	"machines": (*Scenario).parseMachines,
	"at":       (*Scenario).parseStep,
	"expect":   (*Scenario).parseExpectation,
}

// changeOrders holds the orders of the changes in an answer to a watch, by keyword.
var changeOrders = map[string]changeOrder{"oldest": oldestFirst, "newest": newestFirst, "shuffled": shuffled}

// Parse reads a scenario in the text format. An error names the line.
func Parse(r io.Reader) (*Scenario, error) {
	s := &Scenario{options: worldOptions{offers: map[offer]int{}}}
	if err := s.parseLine("set"); err != nil { // applies the defaults to a file without a set line
		return nil, err
	}
	scanner := bufio.NewScanner(r)
	for number := 1; scanner.Scan(); number++ {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		if err := s.parseLine(line); err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	return s, nil
}

func (s *Scenario) parseLine(line string) error {
	words := strings.Fields(line)
	if len(words) == 0 {
		return nil
	}
	parse := lineParsers[words[0]]
	if parse == nil {
		return fmt.Errorf("unknown word %q", words[0])
	}
	args := parseArguments(words[1:])
	if err := parse(s, args); err != nil {
		return err
	}
	return args.err
}

func (s *Scenario) parseSettings(args *arguments) error {
	o := &s.options
	o.seed = uint64(args.number("seed", 1))
	o.controllers = args.count("nodes", 3)
	o.previousVersion = args.flag("old")
	o.duration = args.duration("end", 120)
	o.heartbeatSeconds = args.number("report", 3)
	o.leaseSeconds = args.number("lease", 22)
	o.cancelSeconds = args.number("cancel", 47)
	o.limits = config.KVLimits{RPS: 250, WriteRPS: args.number("writes", 25), ValueKB: args.number("value", 4), TxnOps: args.count("ops", 12)}
	o.nextLimits = parseNextLimits(args)
	o.historyLength = args.count("keep", 10000)
	o.changeOrder = choice(args, "changes", "oldest", changeOrders)
	o.sockets = args.count("sockets", 2000)
	o.lossRate = args.number("flaky", 0)
	o.duplicateRate = args.number("copies", 0)
	o.repeatRate = args.number("repeats", 0)
	o.apiRepeatRate = args.number("apirepeats", 0)
	o.bootFailureRate = args.number("bootfail", 0)
	o.bootFactor = args.number("bootfactor", 1)
	return nil
}

// parseNextLimits parses the limits of the key-value store that the settings announce for later.
func parseNextLimits(args *arguments) config.KVLimitsOverride {
	var next config.KVLimitsOverride
	if args.has("nextvalue") {
		value := args.number("nextvalue", 0)
		next.ValueKB = &value
	}
	if args.has("nextops") {
		operations := args.count("nextops", 0)
		next.TxnOps = &operations
	}
	if args.has("nextwrites") {
		writes := args.number("nextwrites", 0)
		next.WriteRPS = &writes
	}
	return next
}

func (s *Scenario) parseTeam(args *arguments) error {
	s.options.teams = append(s.options.teams, config.Team{
		Name:           args.word(0),
		GuaranteedCPUs: args.number("cpus", 0),
		QuotaCPUs:      args.number("max", 0),
		GuaranteedGPUs: args.number("gpus", 0),
		QuotaGPUs:      args.number("gpumax", 0),
	})
	return nil
}

func (s *Scenario) parseMachineType(args *arguments) error {
	machineType := cloud.MachineType{
		Name:             args.word(0),
		CPUs:             args.number("cpus", 16),
		GPUs:             args.number("gpus", 0),
		MemGB:            args.number("mem", 64),
		CacheGB:          50,
		FetchGBPerSecond: args.number("fetch", 0.5),
		HourlyPrice:      args.number("price", 1),
		SpotHourlyPrice:  args.number("spotprice", 0.4),
		BootSeconds:      args.number("boot", 30),
		Zones:            strings.Split(args.text("zones", "a"), ","),
	}
	s.options.machineTypes = append(s.options.machineTypes, machineType)
	for _, zone := range machineType.Zones {
		s.options.offers[offer{machineType.Name, zone, false}] = args.count("count", 0)
		s.options.offers[offer{machineType.Name, zone, true}] = args.count("spot", 0)
	}
	return nil
}

func (s *Scenario) parseMachines(args *arguments) error {
	s.machines = append(s.machines, initialMachines{
		offer: offer{machineType: args.word(0), zone: args.text("zone", "a"), spot: args.flag("spot")},
		count: args.count("n", 1),
	})
	return nil
}

func (s *Scenario) parseStep(args *arguments) error {
	seconds, err := strconv.ParseFloat(args.word(0), 64)
	word := args.word(1)
	if err != nil || word == "" {
		return errors.New("at: needs a time and a step")
	}
	parser, ok := stepParsers[word]
	if !ok {
		return fmt.Errorf("unknown step %q", word)
	}
	args.words = args.words[2:]
	parsed, err := parser.parse(args)
	if err != nil {
		return fmt.Errorf("%s: %w", word, err)
	}
	s.steps = append(s.steps, plannedStep{
		at:       units.FromSeconds(seconds),
		word:     word,
		step:     parsed,
		isFault:  parser.isFault,
		duration: args.faultDuration(),
	})
	return nil
}

func (s *Scenario) parseExpectation(args *arguments) error {
	word := args.word(0)
	parse := expectationParsers[word]
	if parse == nil {
		return fmt.Errorf("unknown expectation %q", word)
	}
	args.words = args.words[1:]
	s.expectations = append(s.expectations, plannedExpectation{line: "expect " + args.line, expectation: parse(args)})
	return nil
}
