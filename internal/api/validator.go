package api

import (
	"fmt"
	"math"
	"slices"
)

// validator reads the fields of a submission and keeps the error of the first one that is wrong.
// Its methods return the value of a field; after an error the value means nothing.
type validator struct{ first *MalformedError }

// require notes an error unless the condition holds or one has been noted before.
func (v *validator) require(condition bool, field, reason string) {
	if !condition && v.first == nil {
		v.first = &MalformedError{Field: field, Reason: reason}
	}
}

// text reads a field that must be there and not be empty.
func (v *validator) text(field string, value *string) string {
	if value == nil || *value == "" || len(*value) > maxTextLength {
		v.require(false, field, "missing, empty or too long")
		return ""
	}
	return *value
}

// number reads a field that must be there and not be negative.
func (v *validator) number(field string, value *float64) float64 {
	v.require(value != nil, field, "missing")
	return v.optionalNumber(field, value)
}

// optionalNumber reads a field that must not be negative; 0 if it is missing.
func (v *validator) optionalNumber(field string, value *float64) float64 {
	if value == nil {
		return 0
	}
	inRange := *value >= 0 && *value <= maxNumber && !math.IsNaN(*value)
	v.require(inRange, field, "out of range")
	return *value
}

// flag reads a field that must be there.
func (v *validator) flag(field string, value *bool) bool {
	if value == nil {
		v.require(false, field, "missing")
		return false
	}
	return *value
}

// service reads the kind of a job: whether it is a service, and not an array.
func (v *validator) service(field string, value *string) bool {
	kind := v.text(field, value)
	v.require(kind == kindArray || kind == kindService, field, "unknown")
	return kind == kindService
}

// priority reads the rank of a priority.
func (v *validator) priority(field string, value *string) int {
	rank, known := priorities[v.text(field, value)]
	v.require(known, field, "unknown")
	return rank
}

// taskCount reads how many tasks a job has.
func (v *validator) taskCount(field string, value *int) int {
	if value == nil || *value < 1 || *value > MaxTasks {
		v.require(false, field, "missing or not from 1 to 100000")
		return 0
	}
	return *value
}

// typeNames reads the allowed machine types; a list that is missing allows all.
func (v *validator) typeNames(field string, names []string) []string {
	v.require(names == nil || len(names) > 0, field, "empty")
	v.require(len(names) <= maxTypes, field, "too many")
	for _, name := range names {
		v.require(name != "" && len(name) <= maxTypeNameLength, field, "bad name")
	}
	return names
}

// jobIDs reads the ids of jobs, each once.
func (v *validator) jobIDs(field string, ids []string) []string {
	invalid := func(id string) bool { return !ValidJobID(id) }
	if i := slices.IndexFunc(ids, invalid); i >= 0 {
		v.require(false, field, fmt.Sprintf("%q is not of the form j-000412", ids[i]))
	}
	return deduplicate(ids)
}

// deduplicate keeps the first of equal names.
func deduplicate(names []string) []string {
	var unique []string
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if !seen[name] {
			seen[name] = true
			unique = append(unique, name)
		}
	}
	return unique
}
