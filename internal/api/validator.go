package api

import (
	"fmt"
	"math"
	"slices"
)

// validator checks the fields of a submission and keeps the error of the first invalid one.
// Its methods return the value of a field; after an error the value is meaningless.
type validator struct{ firstError *MalformedError }

// require records an error if the condition is false and none has been recorded before.
func (v *validator) require(condition bool, field, reason string) {
	if !condition && v.firstError == nil {
		v.firstError = &MalformedError{Field: field, Reason: reason}
	}
}

// text returns a string field, which must be present, not empty and not longer than maxTextLength.
func (v *validator) text(field string, value *string) string {
	if value == nil || *value == "" || len(*value) > maxTextLength {
		v.require(false, field, "missing, empty or too long")
		return ""
	}
	return *value
}

// number returns a numeric field, which must be present and from 0 to maxNumber.
func (v *validator) number(field string, value *float64) float64 {
	v.require(value != nil, field, "missing")
	return v.optionalNumber(field, value)
}

// optionalNumber returns a numeric field, which must be from 0 to maxNumber; 0 if it is missing.
func (v *validator) optionalNumber(field string, value *float64) float64 {
	if value == nil {
		return 0
	}
	inRange := *value >= 0 && *value <= maxNumber && !math.IsNaN(*value)
	v.require(inRange, field, "out of range")
	return *value
}

// flag returns a Boolean field, which must be present.
func (v *validator) flag(field string, value *bool) bool {
	if value == nil {
		v.require(false, field, "missing")
		return false
	}
	return *value
}

// service checks the kind of a job and reports whether it is a service; otherwise it is an array.
func (v *validator) service(field string, value *string) bool {
	kind := v.text(field, value)
	v.require(kind == kindArray || kind == kindService, field, "unknown")
	return kind == kindService
}

// priority returns the rank of a priority name.
func (v *validator) priority(field string, value *string) int {
	rank, known := priorities[v.text(field, value)]
	v.require(known, field, "unknown")
	return rank
}

// taskCount returns the number of tasks, which must be from 1 to MaxTasks.
func (v *validator) taskCount(field string, value *int) int {
	if value == nil || *value < 1 || *value > MaxTasks {
		v.require(false, field, "missing or not from 1 to 100000")
		return 0
	}
	return *value
}

// typeNames returns the allowed machine types. A missing list allows all types; an empty one is an error.
func (v *validator) typeNames(field string, names []string) []string {
	v.require(names == nil || len(names) > 0, field, "empty")
	v.require(len(names) <= maxTypes, field, "too many")
	for _, name := range names {
		v.require(name != "" && len(name) <= maxTypeNameLength, field, "bad name")
	}
	return names
}

// jobIDs returns a list of job ids without duplicates.
func (v *validator) jobIDs(field string, ids []string) []string {
	invalid := func(id string) bool { return !ValidJobID(id) }
	if i := slices.IndexFunc(ids, invalid); i >= 0 {
		v.require(false, field, fmt.Sprintf("%q is not of the form j-000412", ids[i]))
	}
	return deduplicate(ids)
}

// deduplicate returns the names in their order, each once.
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
