package schema

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Tasks is written as text, since a value holds little: for each job, the
// numbers of its tasks with their attempts. Neighbours that are alike are one
// range:
//
//	000412:3-7~1z141z4,9~1z141z5K;000413:0~1z141z4
//
// A task's flags follow its attempt: S or K when it is to be stopped, and
// !TENTHS when it is done.
type Tasks []Task

const jobPrefix = "j-"

func (t *Task) flagText() string {
	flags := ""
	switch t.StopMode {
	case StopGracefully:
		flags = "S"
	case StopImmediately:
		flags = "K"
	}
	if t.DoneTenths > 0 {
		flags += "!" + strconv.Itoa(t.DoneTenths)
	}
	return flags
}

func (ts Tasks) encode() string {
	sorted := slices.Clone(ts)
	slices.SortStableFunc(sorted, func(a, b Task) int {
		if c := strings.Compare(a.Job, b.Job); c != 0 {
			return c
		}
		return a.Index - b.Index
	})
	var b strings.Builder
	for start := 0; start < len(sorted); {
		first, end := sorted[start], start+1
		for end < len(sorted) {
			next := sorted[end]
			if next.Job != first.Job || next.Index != first.Index+end-start || next.Attempt != first.Attempt || next.StopMode != first.StopMode || next.DoneTenths != first.DoneTenths {
				break
			}
			end++
		}
		switch {
		case start == 0 || sorted[start-1].Job != first.Job:
			if start > 0 {
				b.WriteByte(';')
			}
			b.WriteString(strings.TrimPrefix(first.Job, jobPrefix))
			b.WriteByte(':')
		default:
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(first.Index))
		if end-start > 1 {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(first.Index + end - start - 1))
		}
		b.WriteByte('~')
		b.WriteString(strconv.FormatUint(first.Attempt, 36))
		b.WriteString(first.flagText())
		start = end
	}
	return b.String()
}

// MarshalJSON writes the text form.
func (ts Tasks) MarshalJSON() ([]byte, error) { return json.Marshal(ts.encode()) }

// UnmarshalJSON reads the text form.
func (ts *Tasks) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("tasks: %w", err)
	}
	parsed, err := ParseTasks(text)
	*ts = parsed
	return err
}

// ParseTasks reads the text form.
func ParseTasks(text string) (Tasks, error) {
	var tasks Tasks
	if text == "" {
		return tasks, nil
	}
	for _, jobText := range strings.Split(text, ";") {
		job, ranges, ok := strings.Cut(jobText, ":")
		if !ok {
			return nil, fmt.Errorf("tasks: no job in %q", jobText)
		}
		for _, rangeText := range strings.Split(ranges, ",") {
			indexes, attemptText, ok := strings.Cut(rangeText, "~")
			if !ok {
				return nil, fmt.Errorf("tasks: no attempt in %q", rangeText)
			}
			task := Task{Job: jobPrefix + job}
			var err error
			if remainder, tenths, ok := strings.Cut(attemptText, "!"); ok {
				attemptText = remainder
				if task.DoneTenths, err = strconv.Atoi(tenths); err != nil {
					return nil, fmt.Errorf("tasks: %q: %w", rangeText, err)
				}
			}
			if trimmed, ok := strings.CutSuffix(attemptText, "S"); ok {
				attemptText, task.StopMode = trimmed, StopGracefully
			} else if trimmed, ok := strings.CutSuffix(attemptText, "K"); ok {
				attemptText, task.StopMode = trimmed, StopImmediately
			}
			if task.Attempt, err = strconv.ParseUint(attemptText, 36, 64); err != nil {
				return nil, fmt.Errorf("tasks: %q: %w", rangeText, err)
			}
			firstText, lastText, isRange := strings.Cut(indexes, "-")
			if task.Index, err = strconv.Atoi(firstText); err != nil {
				return nil, fmt.Errorf("tasks: %q: %w", rangeText, err)
			}
			last := task.Index
			if isRange {
				if last, err = strconv.Atoi(lastText); err != nil {
					return nil, fmt.Errorf("tasks: %q: %w", rangeText, err)
				}
			}
			for ; task.Index <= last; task.Index++ {
				tasks = append(tasks, task)
			}
		}
	}
	return tasks, nil
}
