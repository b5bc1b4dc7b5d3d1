package simulator

import (
	"math"
	"net/http"
)

// expectationParsers holds the parsers of expectations, by keyword.
var expectationParsers = map[string]func(args *arguments) expectation{
	"done":      func(args *arguments) expectation { return jobsInStage{args.words, stageDone} },
	"cancelled": func(args *arguments) expectation { return jobsInStage{args.words, stageCancelled} },
	"running":   func(args *arguments) expectation { return jobsInStage{args.words, stageRunning} },
	"denied":    parseRejection,
	"all_over":  func(*arguments) expectation { return allJobsOver{} },
	"up":        func(*arguments) expectation { return allServicesRunning{} },
	"begun":     func(args *arguments) expectation { return jobsStarted{args.words, args.duration("within", 240)} },
	"gone":      func(args *arguments) expectation { return machinesPresent{args.words, false} },
	"there":     func(args *arguments) expectation { return machinesPresent{args.words, true} },
	"kept":      func(*arguments) expectation { return noLeaseExpired{} },
	"known":     func(args *arguments) expectation { return registeredMachines{parseRange(args)} },
	"started":   func(args *arguments) expectation { return taskStarts{parseRange(args)} },
	"repeated":  func(args *arguments) expectation { return repeatedStarts{parseRange(args)} },
	"machines":  func(args *arguments) expectation { return machineCount{parseRange(args)} },
	"format":    func(args *arguments) expectation { return documentFormat{args.count("is", 0)} },
	"small":     func(*arguments) expectation { return sizesWithinLimits{} },
}

func parseRejection(args *arguments) expectation {
	return jobRejected{id: args.word(0), status: args.count("status", http.StatusUnprocessableEntity)}
}

func parseRange(args *arguments) countRange {
	return countRange{min: args.count("min", 0), max: args.count("max", math.MaxInt32)}
}
