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

func (t *Task) flags() string {
	f := ""
	switch t.Stop {
	case StopSave:
		f = "S"
	case StopNow:
		f = "K"
	}
	if t.Ran > 0 {
		f += "!" + strconv.Itoa(t.Ran)
	}
	return f
}

func (ts Tasks) text() string {
	sorted := slices.Clone(ts)
	slices.SortStableFunc(sorted, func(a, b Task) int {
		if c := strings.Compare(a.Job, b.Job); c != 0 {
			return c
		}
		return a.Num - b.Num
	})
	var b strings.Builder
	for i := 0; i < len(sorted); {
		t, k := sorted[i], i+1
		for k < len(sorted) {
			n := sorted[k]
			if n.Job != t.Job || n.Num != t.Num+k-i || n.Attempt != t.Attempt || n.Stop != t.Stop || n.Ran != t.Ran {
				break
			}
			k++
		}
		switch {
		case i == 0 || sorted[i-1].Job != t.Job:
			if i > 0 {
				b.WriteByte(';')
			}
			b.WriteString(strings.TrimPrefix(t.Job, jobPrefix))
			b.WriteByte(':')
		default:
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(t.Num))
		if k-i > 1 {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(t.Num + k - i - 1))
		}
		b.WriteByte('~')
		b.WriteString(strconv.FormatUint(t.Attempt, 36))
		b.WriteString(t.flags())
		i = k
	}
	return b.String()
}

// MarshalJSON writes the text form.
func (ts Tasks) MarshalJSON() ([]byte, error) { return json.Marshal(ts.text()) }

// UnmarshalJSON reads the text form.
func (ts *Tasks) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("tasks: %w", err)
	}
	got, err := ParseTasks(text)
	*ts = got
	return err
}

// ParseTasks reads the text form.
func ParseTasks(text string) (Tasks, error) {
	var out Tasks
	if text == "" {
		return out, nil
	}
	for _, of := range strings.Split(text, ";") {
		job, list, ok := strings.Cut(of, ":")
		if !ok {
			return nil, fmt.Errorf("tasks: no job in %q", of)
		}
		for _, f := range strings.Split(list, ",") {
			nums, rest, ok := strings.Cut(f, "~")
			if !ok {
				return nil, fmt.Errorf("tasks: no attempt in %q", f)
			}
			t := Task{Job: jobPrefix + job}
			var err error
			if head, ran, ok := strings.Cut(rest, "!"); ok {
				rest = head
				if t.Ran, err = strconv.Atoi(ran); err != nil {
					return nil, fmt.Errorf("tasks: %q: %w", f, err)
				}
			}
			if r, ok := strings.CutSuffix(rest, "S"); ok {
				rest, t.Stop = r, StopSave
			} else if r, ok := strings.CutSuffix(rest, "K"); ok {
				rest, t.Stop = r, StopNow
			}
			if t.Attempt, err = strconv.ParseUint(rest, 36, 64); err != nil {
				return nil, fmt.Errorf("tasks: %q: %w", f, err)
			}
			lo, hi, two := strings.Cut(nums, "-")
			if t.Num, err = strconv.Atoi(lo); err != nil {
				return nil, fmt.Errorf("tasks: %q: %w", f, err)
			}
			last := t.Num
			if two {
				if last, err = strconv.Atoi(hi); err != nil {
					return nil, fmt.Errorf("tasks: %q: %w", f, err)
				}
			}
			for ; t.Num <= last; t.Num++ {
				out = append(out, t)
			}
		}
	}
	return out, nil
}
