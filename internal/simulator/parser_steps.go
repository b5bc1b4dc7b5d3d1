package simulator

import (
	"fmt"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// stepParser parses the arguments of a step.
type stepParser struct {
	isFault bool // the step starts a fault, which lasts for the step's duration
	parse   func(args *arguments) (step, error)
}

// regularStep returns the parser of a step that starts no fault.
func regularStep(parse func(args *arguments) (step, error)) stepParser {
	return stepParser{parse: parse}
}

// faultStep returns the parser of a step that starts a fault. parse gets the arguments and the duration.
func faultStep(parse func(args *arguments, duration units.Micros) step) stepParser {
	return stepParser{isFault: true, parse: func(args *arguments) (step, error) { return parse(args, args.faultDuration()), nil }}
}

// stepParsers holds the parsers of steps, by keyword.
var stepParsers = map[string]stepParser{
	"submit":     regularStep(parseSubmission),
	"cancel":     regularStep(func(args *arguments) (step, error) { return cancelJob{args.word(0)}, nil }),
	"repeat":     regularStep(func(args *arguments) (step, error) { return resubmitJob{args.word(0), args.flag("broken")}, nil }),
	"cancel_now": regularStep(parseCancelRunning),
	"limits":     regularStep(func(*arguments) (step, error) { return applyNextLimits{}, nil }),

	"crash":   faultStep(parseCrash),
	"roll":    faultStep(parseRoll),
	"upgrade": faultStep(parseUpgrade),
	"freeze":  faultStep(func(args *arguments, duration units.Micros) step { return pauseController{args.word(0), duration} }),

	"cut":          faultStep(parseHostPartition),
	"lose":         faultStep(parseMachinePartition),
	"zonecut":      faultStep(parseZonePartition),
	"slow_answers": faultStep(parseDelayedAnswers),
	"late_reports": faultStep(parseDuplicateHeartbeats),
	"repeat_calls": faultStep(parseRepeatedCommands),

	"refuse": faultStep(func(args *arguments, duration units.Micros) step { return refuseController{args.word(0), duration} }),
	"outage": faultStep(func(_ *arguments, duration units.Micros) step { return storeOutage{duration} }),
	"late_writes": faultStep(func(args *arguments, duration units.Micros) step {
		return lateCommits{args.number("share", 0.3), duration}
	}),
	"slow_state": faultStep(func(args *arguments, duration units.Micros) step {
		return slowStore{args.duration("by", 0.5), duration}
	}),
	"slow_results": faultStep(func(args *arguments, duration units.Micros) step {
		return delayStoreAnswers{args.word(0), args.duration("by", 0.8), duration}
	}),
	"unreadable":    faultStep(func(args *arguments, duration units.Micros) step { return corruptShard{args.word(0), duration} }),
	"blind":         faultStep(func(args *arguments, duration units.Micros) step { return loseWatches{args.word(0), duration} }),
	"mixed_changes": faultStep(func(_ *arguments, duration units.Micros) step { return coalesceWatchEvents{duration} }),
	"cloud_outage":  faultStep(func(_ *arguments, duration units.Micros) step { return cloudOutage{duration} }),

	"cancel_at_end": faultStep(func(args *arguments, duration units.Micros) step {
		return cancelAtEnd{args.number("share", 0.5), duration}
	}),
	"odd": faultStep(func(_ *arguments, duration units.Micros) step { return invalidRequests{duration} }),

	"die":  faultStep(machineFaultParser(func(*arguments, units.Micros) machineFault { return crashMachine{} })),
	"hang": faultStep(machineFaultParser(func(_ *arguments, duration units.Micros) machineFault { return hangMachine{duration} })),
	"sick": faultStep(machineFaultParser(func(args *arguments, duration units.Micros) machineFault {
		return failTasks{args.duration("after", defaultFailSeconds), duration}
	})),
	"slow":   faultStep(machineFaultParser(func(args *arguments, _ units.Micros) machineFault { return slowTasks{args.number("factor", 4)} })),
	"reboot": faultStep(machineFaultParser(func(*arguments, units.Micros) machineFault { return rebootMachine{} })),
	"take":   faultStep(machineFaultParser(func(*arguments, units.Micros) machineFault { return reclaimMachine{} })),
	"notice": faultStep(machineFaultParser(func(_ *arguments, duration units.Micros) machineFault { return interruptSpot{duration} })),
}

// defaultFailSeconds is how long tasks run on a machine that fails them, unless the step gives another time.
const defaultFailSeconds = 2

// partitionModes holds the modes of a network partition between hosts, by keyword.
var partitionModes = map[string]partitionMode{
	"drop": dropMessages,
	"hold": delayRequests,
	"deaf": dropInbound,
	"mute": dropInboundRequests,
}

// twoWayModes holds the modes of a network partition that affects both directions alike, by keyword.
var twoWayModes = map[string]partitionMode{"drop": dropMessages, "hold": delayRequests}

// priorities holds the values of schema.Job.Priority, by keyword of the grade option.
var priorities = map[string]int{"best_effort": 0, "standard": 1, "urgent": 2, "production": 3}

func parseCrash(args *arguments, duration units.Micros) step {
	return crashControllers{names: strings.Split(args.word(0), ","), downtime: duration}
}

func parseRoll(args *arguments, duration units.Micros) step {
	return restartInTurn{interval: args.duration("every", 20), downtime: duration}
}

func parseUpgrade(args *arguments, duration units.Micros) step {
	return restartInTurn{interval: args.duration("every", 20), downtime: duration, upgrade: true}
}

func parseHostPartition(args *arguments, duration units.Micros) step {
	return partitionHosts{host: args.word(0), peer: args.word(1), mode: choice(args, "mode", "drop", partitionModes), duration: duration}
}

func parseMachinePartition(args *arguments, duration units.Micros) step {
	return partitionRandomMachines{count: args.count("n", 1), mode: choice(args, "mode", "drop", twoWayModes), duration: duration}
}

func parseZonePartition(args *arguments, duration units.Micros) step {
	return partitionZone{zone: args.word(0), mode: choice(args, "mode", "drop", twoWayModes), duration: duration}
}

func parseDelayedAnswers(args *arguments, duration units.Micros) step {
	return delayAnswers{maxDelay: args.duration("by", 3), duration: duration}
}

func parseDuplicateHeartbeats(args *arguments, duration units.Micros) step {
	return duplicateHeartbeats{rate: args.number("share", 0.3), duration: duration}
}

func parseRepeatedCommands(args *arguments, duration units.Micros) step {
	return repeatCommands{rate: args.number("share", 0.3), duration: duration}
}

func parseCancelRunning(args *arguments) (step, error) {
	return cancelRunning{count: args.count("count", 8), hang: args.duration("hang", 0)}, nil
}

// machineFaultParser returns the parser of a machine fault and its target: a machine by name, the busiest
// machine, or some random ones.
func machineFaultParser(parse func(args *arguments, duration units.Micros) machineFault) func(*arguments, units.Micros) step {
	return func(args *arguments, duration units.Micros) step {
		name := args.word(0)
		return injectMachineFault{name: name, random: name == "any", count: args.count("n", 1), fault: parse(args, duration)}
	}
}

func parseSubmission(args *arguments) (step, error) {
	first := args.word(0)
	number, err := strconv.Atoi(strings.TrimPrefix(first, "j-"))
	if err != nil {
		return nil, fmt.Errorf("bad id %q", first)
	}
	return submitJobs{
		firstNumber:         number,
		count:               args.count("count", 1),
		spec:                parseJob(args),
		long:                longTasks{every: args.count("every", 0), runSeconds: args.number("longrun", 0)},
		failsEverywhere:     args.flag("broken"),
		ignoresDependencies: args.flag("atonce"),
	}, nil
}

// parseJob parses the options of a job; it does not set the job's id.
func parseJob(args *arguments) schema.Job {
	service := choice(args, "kind", "array", map[string]bool{"array": false, "service": true})
	defaultGrade := "standard"
	if service {
		defaultGrade = "production"
	}
	return schema.Job{
		Class:                     args.text("class", "c"),
		Team:                      args.text("team", "red"),
		Service:                   service,
		Priority:                  choice(args, "grade", defaultGrade, priorities),
		Tasks:                     args.count("n", 1),
		CPUs:                      args.number("cpus", 2),
		GPUs:                      args.number("gpus", 0),
		MemGB:                     args.number("mem", 4),
		Types:                     args.list("types"),
		Zone:                      args.text("zone", ""),
		OneZone:                   args.flag("onezone"),
		Spread:                    args.flag("spread"),
		Spot:                      args.flag("spot"),
		Image:                     args.text("image", "img"),
		ImageGB:                   args.number("gb", 1),
		EstimatedSeconds:          args.number("run", 20),
		CheckpointIntervalSeconds: args.number("ckpt", 0),
		CheckpointSeconds:         args.number("save", 0),
		DeadlineSeconds:           args.number("due", 0),
		Needs:                     args.list("needs"),
	}
}
