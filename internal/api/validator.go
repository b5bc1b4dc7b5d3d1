package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// validator reads the fields of a submission and keeps the error of the first one that is wrong.
// Its methods return the value of a field; after an error the value means nothing.
type validator struct {
	fields   fields
	mistyped *MalformedError // the first field of another JSON type
	first    *MalformedError // the first field that is wrong otherwise
}

// err returns the error that users are told, or nil.
func (v *validator) err() error {
	switch {
	case v.mistyped != nil:
		return v.mistyped
	case v.first != nil:
		return v.first
	}
	return nil
}

// require notes an error unless the condition holds or one has been noted before.
func (v *validator) require(condition bool, field, reason string) {
	if !condition && v.first == nil {
		v.first = &MalformedError{Field: field, Reason: reason}
	}
}

// lookup reads a field. It is missing if it is not there, null, or of another type.
func lookup[T any](v *validator, field string) (value T, ok bool) {
	raw, ok := v.fields[field]
	if !ok || string(raw) == "null" {
		return value, false
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		v.requireType(field, err)
		return value, false
	}
	return value, true
}

// requireType notes that a field is of another type, in the words that the decoder has for the field
// of a struct.
func (v *validator) requireType(field string, err error) {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		typeError.Struct, typeError.Field = "submission", field
	}
	if v.mistyped == nil {
		v.mistyped = &MalformedError{Reason: "field", Err: err}
	}
}

// text reads a field that must be there and not be empty.
func (v *validator) text(field string) string {
	value, ok := lookup[string](v, field)
	if !ok || value == "" || len(value) > maxTextLength {
		v.require(false, field, "missing, empty or too long")
		return ""
	}
	return value
}

// optionalText reads a field that must not be empty if it is there.
func (v *validator) optionalText(field string) string {
	if _, ok := lookup[string](v, field); !ok {
		return ""
	}
	return v.text(field)
}

// number reads a field that must be there and not be negative.
func (v *validator) number(field string) float64 {
	_, ok := lookup[float64](v, field)
	v.require(ok, field, "missing")
	return v.optionalNumber(field)
}

// optionalNumber reads a field that must not be negative; 0 if it is missing.
func (v *validator) optionalNumber(field string) float64 {
	value, _ := lookup[float64](v, field)
	v.require(value >= 0 && value <= maxNumber, field, "out of range")
	return value
}

// flag reads a field that must be there.
func (v *validator) flag(field string) bool {
	value, ok := lookup[bool](v, field)
	v.require(ok, field, "missing")
	return value
}

// service reads the kind of a job: whether it is a service, and not an array.
func (v *validator) service(field string) bool {
	kind := v.text(field)
	v.require(kind == kindArray || kind == kindService, field, "unknown")
	return kind == kindService
}

// priority reads the rank of a priority.
func (v *validator) priority(field string) int {
	rank, known := priorities[v.text(field)]
	v.require(known, field, "unknown")
	return rank
}

// taskCount reads how many tasks a job has.
func (v *validator) taskCount(field string) int {
	value, ok := lookup[int](v, field)
	v.require(ok && value >= 1 && value <= MaxTasks, field, "missing or not from 1 to 100000")
	return value
}

// typeNames reads the allowed machine types; a list that is missing allows all.
func (v *validator) typeNames(field string) []string {
	names, ok := lookup[[]string](v, field)
	v.require(!ok || len(names) > 0, field, "empty")
	v.require(len(names) <= maxTypes, field, "too many")
	for _, name := range names {
		v.require(name != "" && len(name) <= maxTypeNameLength, field, "bad name")
	}
	return names
}

// jobIDs reads the ids of jobs, each once.
func (v *validator) jobIDs(field string) []string {
	ids, _ := lookup[[]string](v, field)
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
