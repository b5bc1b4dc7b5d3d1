package schema

import (
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

// NextMissing returns the smallest number from n on that is not in the set.
func (s TaskSet) NextMissing(n int) int {
	if i := s.search(n); i < len(s.ranges) && s.ranges[i].first <= n {
		return s.ranges[i].last + 1
	}
	return n
}

// First returns the smallest number in the set; 0 for the empty set.
func (s TaskSet) First() int {
	if len(s.ranges) == 0 {
		return 0
	}
	return s.ranges[0].first
}

// Empty reports whether the set has no numbers.
func (s TaskSet) Empty() bool { return len(s.ranges) == 0 }

// NewTaskSet returns the set of the given numbers, which must be sorted.
func NewTaskSet(sorted []int) TaskSet {
	var set TaskSet
	for _, n := range sorted {
		set.ranges = appendMerged(set.ranges, taskRange{n, n})
	}
	return set
}

// appendMerged appends a range that begins no earlier than the last one, or extends the last one if they meet.
func appendMerged(ranges []taskRange, numbers taskRange) []taskRange {
	if last := len(ranges) - 1; last >= 0 && numbers.first <= ranges[last].last+1 {
		ranges[last].last = max(ranges[last].last, numbers.last)
		return ranges
	}
	return append(ranges, numbers)
}

// SplitAt returns the numbers of the set below n, and those from n on.
func (s TaskSet) SplitAt(n int) (below, from TaskSet) {
	i := s.search(n)
	below.ranges = slices.Clone(s.ranges[:i])
	if i < len(s.ranges) && s.ranges[i].first < n {
		below.ranges = append(below.ranges, taskRange{s.ranges[i].first, n - 1})
		from.ranges = append(from.ranges, taskRange{n, s.ranges[i].last})
		i++
	}
	from.ranges = append(from.ranges, s.ranges[i:]...)
	return below, from
}

// Halves splits a set, which must not be empty, into two with about the same stored size. The lower one is
// empty if the set has a single number.
func (s TaskSet) Halves() (lower, upper TaskSet) {
	if len(s.ranges) == 1 {
		return s.SplitAt((s.ranges[0].first + s.ranges[0].last + 1) / 2)
	}
	return s.SplitAt(s.ranges[len(s.ranges)/2].first)
}

// Without returns the numbers that are in the set and not in the other one.
func (s TaskSet) Without(other TaskSet) TaskSet {
	var rest TaskSet
	for _, numbers := range s.ranges {
		for n := other.NextMissing(numbers.first); n <= numbers.last; {
			last := numbers.last
			if i := other.search(n); i < len(other.ranges) {
				last = min(last, other.ranges[i].first-1)
			}
			rest.ranges = append(rest.ranges, taskRange{n, last})
			n = other.NextMissing(last + 1)
		}
	}
	return rest
}

// Union returns the numbers that are in either set.
func (s TaskSet) Union(other TaskSet) TaskSet {
	merged := make([]taskRange, 0, len(s.ranges)+len(other.ranges))
	a, b := s.ranges, other.ranges
	for len(a) > 0 && len(b) > 0 {
		if a[0].first <= b[0].first {
			merged, a = appendMerged(merged, a[0]), a[1:]
		} else {
			merged, b = appendMerged(merged, b[0]), b[1:]
		}
	}
	for _, numbers := range slices.Concat(a, b) { // one of them is empty
		merged = appendMerged(merged, numbers)
	}
	return TaskSet{merged}
}
