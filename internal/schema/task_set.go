package schema

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// TaskSet is a set of task numbers. It is immutable: operations return new sets, which may share
// memory with the old ones. Its text form lists the ranges: "0-7,9".
type TaskSet struct{ ranges []taskRange } // sorted, disjoint and not adjacent

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// errInvalidTaskRange is returned for task numbers that no job can have, and for a range whose last
// number is below its first.
var errInvalidTaskRange = errors.New("invalid range of task numbers")

// taskRange is the range of task numbers from first to last, both included.
type taskRange struct{ first, last int }

// ParseTaskSet reads the text form. It expects the ranges in the order that String writes, and does not
// check it.
func ParseTaskSet(text string) (TaskSet, error) {
	var set TaskSet
	if text == "" {
		return set, nil
	}
	for _, rangeText := range strings.Split(text, ",") {
		numbers, err := parseTaskRange(rangeText)
		if err != nil {
			return TaskSet{}, fmt.Errorf("parse task range %q: %w", rangeText, err)
		}
		set.ranges = append(set.ranges, numbers)
	}
	return set, nil
}

// parseTaskRange reads "3-7", or "3" for a single number.
func parseTaskRange(text string) (taskRange, error) {
	firstText, lastText, isRange := strings.Cut(text, "-")
	if !isRange {
		lastText = firstText
	}
	first, err := strconv.Atoi(firstText)
	if err != nil {
		return taskRange{}, err
	}
	last, err := strconv.Atoi(lastText)
	if err != nil {
		return taskRange{}, err
	}
	if first < 0 || last < first || last >= MaxTasks {
		return taskRange{}, errInvalidTaskRange
	}
	return taskRange{first, last}, nil
}

// appendTo appends the text form of the range, which parseTaskRange reads.
func (r taskRange) appendTo(text []byte) []byte {
	text = strconv.AppendInt(text, int64(r.first), 10)
	if r.last > r.first {
		text = append(text, '-')
		text = strconv.AppendInt(text, int64(r.last), 10)
	}
	return text
}

// String writes the text form.
func (s TaskSet) String() string {
	var text []byte
	for i, numbers := range s.ranges {
		if i > 0 {
			text = append(text, ',')
		}
		text = numbers.appendTo(text)
	}
	return string(text)
}

// search returns the index of the first range that ends at or after n.
func (s TaskSet) search(n int) int {
	return sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].last >= n })
}

// Contains reports whether n is in the set.
func (s TaskSet) Contains(n int) bool {
	i := s.search(n)
	return i < len(s.ranges) && s.ranges[i].first <= n
}

// Len returns the number of task numbers in the set.
func (s TaskSet) Len() int {
	count := 0
	for _, numbers := range s.ranges {
		count += numbers.last - numbers.first + 1
	}
	return count
}

// RangeCount returns the number of ranges, on which the stored size of the set depends.
func (s TaskSet) RangeCount() int { return len(s.ranges) }

// FirstMissing returns the smallest number, from 0 on, that is not in the set.
func (s TaskSet) FirstMissing() int {
	if len(s.ranges) > 0 && s.ranges[0].first == 0 {
		return s.ranges[0].last + 1
	}
	return 0
}

// End returns one more than the largest number in the set; 0 for the empty set.
func (s TaskSet) End() int {
	if len(s.ranges) == 0 {
		return 0
	}
	return s.ranges[len(s.ranges)-1].last + 1
}

// With returns the set with n added.
func (s TaskSet) With(n int) TaskSet {
	if s.Contains(n) {
		return s
	}
	i := s.search(n) // insertion point of n: after all ranges that end before it
	extended := make([]taskRange, 0, len(s.ranges)+1)
	extended = append(extended, s.ranges[:i]...)
	extended = append(extended, taskRange{n, n})
	extended = append(extended, s.ranges[i:]...)
	if i+1 < len(extended) && extended[i+1].first == n+1 {
		extended[i].last = extended[i+1].last
		extended = append(extended[:i+1], extended[i+2:]...)
	}
	if i > 0 && extended[i-1].last == n-1 {
		extended[i-1].last = extended[i].last
		extended = append(extended[:i], extended[i+1:]...)
	}
	return TaskSet{extended}
}

// Union returns the numbers that are in either set.
func (s TaskSet) Union(other TaskSet) TaskSet {
	all := append(slices.Clone(s.ranges), other.ranges...)
	slices.SortFunc(all, func(a, b taskRange) int { return cmp.Compare(a.first, b.first) })
	var merged []taskRange
	for _, numbers := range all {
		if last := len(merged) - 1; last >= 0 && numbers.first <= merged[last].last+1 {
			merged[last].last = max(merged[last].last, numbers.last)
			continue
		}
		merged = append(merged, numbers)
	}
	return TaskSet{merged}
}
