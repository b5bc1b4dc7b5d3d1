package api

import "errors"

// MalformedError reports why a request body is not a valid submission.
type MalformedError struct {
	Field  string // name of the invalid field, as users write it; empty: the body as a whole
	Reason string
	Err    error // from the JSON decoder, or nil
}

// Error returns the text that is shown to users.
func (e *MalformedError) Error() string {
	text := e.Reason
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the error of the JSON decoder, or nil.
func (e *MalformedError) Unwrap() error { return e.Err }

// InfeasibleError reports why a job can never run. It wraps one of ErrOverQuota, ErrNoMachineType
// and config.ErrUnknownTeam.
type InfeasibleError struct{ Reason error }

// Error returns the text that is shown to users.
func (e *InfeasibleError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *InfeasibleError) Unwrap() error { return e.Reason }

// Reasons of an InfeasibleError.
var (
	ErrOverQuota     = errors.New("needs more than the team's limit")
	ErrNoMachineType = errors.New("a task fits no allowed machine type")
)
