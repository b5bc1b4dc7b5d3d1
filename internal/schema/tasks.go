package schema

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Task is one attempt of a task, assigned to a machine.
type Task struct {
	Job        string
	Index      int
	Attempt    uint64
	StopMode   StopMode
	DoneTenths int // 0: not known to be done; else 1 plus its run time in tenths of a second
}

// StopMode says whether and how a task is to be stopped. Of two modes the larger one takes precedence.
type StopMode int

// The modes of stopping a task.
const (
	KeepRunning     StopMode = iota
	StopGracefully           // the task gets time to save a checkpoint, if it can
	StopImmediately          // its capacity is needed immediately
)

// Tasks is the list of tasks on a machine. It is stored as text: for each job the numbers of its tasks,
// each with its attempt in base 36. Consecutive tasks that differ only in their number are one range:
//
//	000412:3-7~1z141z4,9~1z141z5K;000413:0~1z141z4
//
// A task's flags follow its attempt: S or K when it is to be stopped, gracefully or immediately,
// and !N when it is done, N being its DoneTenths.
type Tasks []Task

// Separators and flags of the text form.
const (
	jobSeparator      = ';' // between jobs
	jobEnd            = ':' // between a job and its ranges
	rangeSeparator    = ',' // between the ranges of a job
	attemptSeparator  = '~' // between a range and the attempt
	doneFlag          = '!' // before the DoneTenths
	gracefulStopFlag  = 'S'
	immediateStopFlag = 'K'
	attemptBase       = 36 // its digits are lower case, so the flags S and K are not mistaken for digits
)

// errMissingAttempt is returned for a range of tasks without an attempt.
var errMissingAttempt = errors.New("missing attempt")

// MarshalJSON writes the text form.
func (ts Tasks) MarshalJSON() ([]byte, error) { return json.Marshal(ts.encode()) }

// UnmarshalJSON reads the text form.
func (ts *Tasks) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("decode tasks: %w", err)
	}
	parsed, err := parseTasks(text)
	*ts = parsed
	return err
}

// encode writes the text form.
func (ts Tasks) encode() string {
	sorted := slices.Clone(ts)
	slices.SortStableFunc(sorted, compareTasks)
	var text []byte
	for start := 0; start < len(sorted); {
		first, end := &sorted[start], start+1
		for end < len(sorted) && sorted[end].continues(first, end-start) {
			end++
		}
		switch {
		case start == 0:
			text = appendJob(text, first.Job)
		case sorted[start-1].Job != first.Job:
			text = appendJob(append(text, jobSeparator), first.Job)
		default:
			text = append(text, rangeSeparator)
		}
		text = taskRange{first.Index, first.Index + end - start - 1}.appendTo(text)
		text = first.appendAttempt(text)
		start = end
	}
	return string(text)
}

// compareTasks orders tasks by job and number.
func compareTasks(a, b Task) int {
	if byJob := strings.Compare(a.Job, b.Job); byJob != 0 {
		return byJob
	}
	return a.Index - b.Index
}

// continues reports whether the number of t is first's plus distance, and t equals first otherwise.
func (t *Task) continues(first *Task, distance int) bool {
	return t.Job == first.Job && t.Index == first.Index+distance && t.Attempt == first.Attempt &&
		t.StopMode == first.StopMode && t.DoneTenths == first.DoneTenths
}

// appendJob appends the id of a job and the separator before its ranges.
func appendJob(text []byte, job string) []byte {
	text = append(text, strings.TrimPrefix(job, jobPrefix)...)
	return append(text, jobEnd)
}

// appendAttempt appends the attempt of a task and its flags.
func (t *Task) appendAttempt(text []byte) []byte {
	text = append(text, attemptSeparator)
	text = strconv.AppendUint(text, t.Attempt, attemptBase)
	switch t.StopMode {
	case StopGracefully:
		text = append(text, gracefulStopFlag)
	case StopImmediately:
		text = append(text, immediateStopFlag)
	case KeepRunning:
	}
	if t.DoneTenths > 0 {
		text = append(text, doneFlag)
		text = strconv.AppendInt(text, int64(t.DoneTenths), 10)
	}
	return text
}

// parseTasks reads the text form.
func parseTasks(text string) (Tasks, error) {
	var tasks Tasks
	if text == "" {
		return tasks, nil
	}
	for _, jobText := range strings.Split(text, string(jobSeparator)) {
		job, ranges, found := strings.Cut(jobText, string(jobEnd))
		if !found {
			return nil, fmt.Errorf("parse tasks: no job id in %q", jobText)
		}
		for _, rangeText := range strings.Split(ranges, string(rangeSeparator)) {
			var err error
			if tasks, err = appendParsed(tasks, jobPrefix+job, rangeText); err != nil {
				return nil, fmt.Errorf("parse tasks: %q: %w", rangeText, err)
			}
		}
	}
	return tasks, nil
}

// appendParsed parses one range of a job's tasks and appends the tasks.
func appendParsed(tasks Tasks, job, rangeText string) (Tasks, error) {
	indexText, attemptText, found := strings.Cut(rangeText, string(attemptSeparator))
	if !found {
		return nil, errMissingAttempt
	}
	task := Task{Job: job}
	if err := task.parseAttempt(attemptText); err != nil {
		return nil, err
	}
	numbers, err := parseTaskRange(indexText)
	if err != nil {
		return nil, err
	}
	for task.Index = numbers.first; task.Index <= numbers.last; task.Index++ {
		tasks = append(tasks, task)
	}
	return tasks, nil
}

// parseAttempt reads the attempt and the flags that appendAttempt writes after the separator.
func (t *Task) parseAttempt(text string) error {
	var err error
	text, tenthsText, isDone := strings.Cut(text, string(doneFlag))
	if isDone {
		if t.DoneTenths, err = strconv.Atoi(tenthsText); err != nil {
			return err
		}
	}
	if attemptText, found := strings.CutSuffix(text, string(gracefulStopFlag)); found {
		text, t.StopMode = attemptText, StopGracefully
	} else if attemptText, found := strings.CutSuffix(text, string(immediateStopFlag)); found {
		text, t.StopMode = attemptText, StopImmediately
	}
	t.Attempt, err = strconv.ParseUint(text, attemptBase, 64)
	return err
}
