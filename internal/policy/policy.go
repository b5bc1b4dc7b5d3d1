// Package policy loads the operators' policy: an optional Starlark script
// that sets options and may define a weight for each job. The script is run
// once, is checked whole, and can set nothing that an invariant depends on.
package policy

import (
	"errors"
	"fmt"
	"math"
	"os"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"frostdock.example/frostdock/internal/units"
)

// Limits on the Starlark execution steps of a script.
const (
	maxLoadSteps = 1_000_000 // when it is loaded
	maxCallSteps = 10_000    // in one call of its weight function
)

// Policy holds the options that a script may set, after they are checked.
type Policy struct {
	RefreshInterval    units.Micros // how often shares are computed from scratch
	SpareCapacityShare float64      // free capacity to keep, as a fraction of the used capacity
	ScaleInIdleBoots   float64      // how long an idle rented machine is kept, in boot times of its type
	UseSpot            bool         // whether spot machines are rented
	MaxLaunchBatch     int          // machines in one rental request
	weight             *starlark.Function
}

// Job holds the properties that the weight of a job may depend on.
type Job struct {
	Class  string
	Grade  string
	Tasks  int
	AgeS   float64
	DueInS float64 // seconds until the deadline; 0: no deadline
}

// Default returns the policy that applies without a script.
func Default() *Policy {
	return &Policy{RefreshInterval: 10 * units.Second, SpareCapacityShare: 0.10, ScaleInIdleBoots: 1.5, UseSpot: true, MaxLaunchBatch: 4}
}

// Load reads the script at path; an empty path gives the defaults.
func Load(path string) (*Policy, error) {
	if path == "" {
		return Default(), nil
	}
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	return Parse(path, src)
}

// Parse runs and checks a script.
func Parse(name string, src []byte) (*Policy, error) {
	opts := &syntax.FileOptions{}
	file, err := opts.Parse(name, src, 0)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	lineOf := map[string]int32{}
	for _, stmt := range file.Stmts {
		switch stmt := stmt.(type) {
		case *syntax.AssignStmt:
			if ident, ok := stmt.LHS.(*syntax.Ident); ok {
				lineOf[ident.Name] = ident.NamePos.Line
			}
		case *syntax.DefStmt:
			lineOf[stmt.Name.Name] = stmt.Name.NamePos.Line
		}
	}
	thread := &starlark.Thread{Name: "policy", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxLoadSteps)
	globals, err := starlark.ExecFileOptions(opts, thread, name, src, nil)
	if err != nil {
		return nil, fmt.Errorf("policy: %s: %w", name, withPosition(err))
	}
	p := Default()
	for _, key := range globals.Keys() {
		if err := p.setOption(key, globals[key]); err != nil {
			return nil, fmt.Errorf("policy: %s:%d: %s: %w", name, lineOf[key], key, err)
		}
	}
	return p, nil
}

// withPosition adds the position in the script to an evaluation error.
func withPosition(err error) error {
	var evalErr *starlark.EvalError
	if errors.As(err, &evalErr) && len(evalErr.CallStack) > 0 {
		return fmt.Errorf("line %d: %w", evalErr.CallStack.At(0).Pos.Line, err)
	}
	return err
}

func (p *Policy) setOption(key string, value starlark.Value) error {
	if key[0] == '_' {
		return nil // private to the script
	}
	numberIn := func(low, high float64) (float64, error) {
		number, ok := starlark.AsFloat(value)
		if !ok {
			return 0, fmt.Errorf("needs a number, got %s", value.Type())
		}
		if math.IsNaN(number) || number < low || number > high {
			return 0, fmt.Errorf("must be from %v to %v, got %v", low, high, number)
		}
		return number, nil
	}
	var err error
	var number float64
	switch key {
	case "refresh_s":
		number, err = numberIn(0.1, 600)
		p.RefreshInterval = units.FromSeconds(number)
	case "spare_share":
		p.SpareCapacityShare, err = numberIn(0, 5)
	case "return_idle_boots":
		p.ScaleInIdleBoots, err = numberIn(0, 1000)
	case "hire_most":
		number, err = numberIn(1, 50)
		p.MaxLaunchBatch = int(number)
	case "spot":
		boolean, ok := value.(starlark.Bool)
		if !ok {
			return fmt.Errorf("needs True or False, got %s", value.Type())
		}
		p.UseSpot = bool(boolean)
	case "weight":
		function, ok := value.(*starlark.Function)
		if !ok || function.NumParams() != 1 {
			return errors.New("needs a function of one job")
		}
		p.weight = function
		if _, err := p.callWeight(Job{Class: "example", Grade: "standard", Tasks: 1, AgeS: 1}); err != nil {
			return err
		}
	default:
		return errors.New("unknown setting")
	}
	return err
}

// Weight returns the script's weight for a job: 1 if the script defines none,
// and 1 with an error if the script's function fails.
func (p *Policy) Weight(job Job) (float64, error) {
	if p.weight == nil {
		return 1, nil
	}
	weight, err := p.callWeight(job)
	if err != nil {
		return 1, err
	}
	return weight, nil
}

func (p *Policy) callWeight(job Job) (float64, error) {
	arg := starlark.NewDict(5)
	for _, field := range []struct {
		name  string
		value starlark.Value
	}{
		{"class", starlark.String(job.Class)}, {"grade", starlark.String(job.Grade)}, {"tasks", starlark.MakeInt(job.Tasks)},
		{"age_s", starlark.Float(job.AgeS)}, {"due_in_s", starlark.Float(job.DueInS)},
	} {
		if err := arg.SetKey(starlark.String(field.name), field.value); err != nil {
			return 0, err
		}
	}
	thread := &starlark.Thread{Name: "weight", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxCallSteps)
	value, err := starlark.Call(thread, p.weight, starlark.Tuple{arg}, nil)
	if err != nil {
		return 0, withPosition(err)
	}
	weight, ok := starlark.AsFloat(value)
	if !ok || math.IsNaN(weight) || weight < 0.01 || weight > 100 {
		return 0, fmt.Errorf("weight must be a number from 0.01 to 100, got %v", value)
	}
	return weight, nil
}
