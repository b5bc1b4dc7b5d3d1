// Package policy reads the operators' own settings: an optional Starlark
// script that sets knobs and may define a weight for each job. It is run once,
// checked whole, and can express nothing that a rule depends on.
package policy

import (
	"errors"
	"fmt"
	"os"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"frostdock.example/frostdock/internal/units"
)

// Bounds on the work a script may do.
const (
	loadSteps = 1_000_000
	callSteps = 10_000
)

// Policy is what a script may set, checked.
type Policy struct {
	Refresh    units.Micros // how often shares start from the waiting order anew
	SpareShare float64      // free room kept, as a part of what is used
	ReturnIdle float64      // an idle rented machine is kept so many boot times
	Spot       bool         // whether spot machines are rented
	HireMost   int          // machines in one rental request
	weight     *starlark.Function
}

// Job is what the weight of a job may depend on.
type Job struct {
	Class  string
	Grade  string
	Tasks  int
	AgeS   float64
	DueInS float64 // until its deadline; 0: it has none
}

// Default is the policy without a script.
func Default() *Policy {
	return &Policy{Refresh: 10 * units.Second, SpareShare: 0.10, ReturnIdle: 1.5, Spot: true, HireMost: 4}
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
	lines := map[string]int32{}
	for _, st := range file.Stmts {
		switch st := st.(type) {
		case *syntax.AssignStmt:
			if id, ok := st.LHS.(*syntax.Ident); ok {
				lines[id.Name] = id.NamePos.Line
			}
		case *syntax.DefStmt:
			lines[st.Name.Name] = st.Name.NamePos.Line
		}
	}
	thread := &starlark.Thread{Name: "policy", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(loadSteps)
	globals, err := starlark.ExecFileOptions(opts, thread, name, src, nil)
	if err != nil {
		return nil, fmt.Errorf("policy: %s: %w", name, where(err))
	}
	p := Default()
	for _, key := range globals.Keys() {
		if err := p.set(key, globals[key]); err != nil {
			return nil, fmt.Errorf("policy: %s:%d: %s: %w", name, lines[key], key, err)
		}
	}
	return p, nil
}

// where adds the position in the script to an error of evaluation.
func where(err error) error {
	var evalErr *starlark.EvalError
	if errors.As(err, &evalErr) && len(evalErr.CallStack) > 0 {
		return fmt.Errorf("line %d: %w", evalErr.CallStack.At(0).Pos.Line, err)
	}
	return err
}

func (p *Policy) set(key string, v starlark.Value) error {
	if key[0] == '_' {
		return nil // the script's own
	}
	number := func(lo, hi float64) (float64, error) {
		x, ok := starlark.AsFloat(v)
		if !ok {
			return 0, fmt.Errorf("needs a number, got %s", v.Type())
		}
		if x < lo || x > hi {
			return 0, fmt.Errorf("must be from %v to %v, got %v", lo, hi, x)
		}
		return x, nil
	}
	var err error
	var x float64
	switch key {
	case "refresh_s":
		x, err = number(0.1, 600)
		p.Refresh = units.FromSeconds(x)
	case "spare_share":
		p.SpareShare, err = number(0, 5)
	case "return_idle_boots":
		p.ReturnIdle, err = number(0, 1000)
	case "hire_most":
		x, err = number(1, 50)
		p.HireMost = int(x)
	case "spot":
		b, ok := v.(starlark.Bool)
		if !ok {
			return fmt.Errorf("needs True or False, got %s", v.Type())
		}
		p.Spot = bool(b)
	case "weight":
		f, ok := v.(*starlark.Function)
		if !ok || f.NumParams() != 1 {
			return errors.New("needs a function of one job")
		}
		p.weight = f
		if _, err := p.call(Job{Class: "example", Grade: "standard", Tasks: 1, AgeS: 1}); err != nil {
			return err
		}
	default:
		return errors.New("unknown setting")
	}
	return err
}

// Weight is the script's weight for a job, or 1 with an error that says why
// there is none.
func (p *Policy) Weight(j Job) (float64, error) {
	if p.weight == nil {
		return 1, nil
	}
	w, err := p.call(j)
	if err != nil {
		return 1, err
	}
	return w, nil
}

func (p *Policy) call(j Job) (float64, error) {
	d := starlark.NewDict(5)
	for _, kv := range []struct {
		k string
		v starlark.Value
	}{
		{"class", starlark.String(j.Class)}, {"grade", starlark.String(j.Grade)}, {"tasks", starlark.MakeInt(j.Tasks)},
		{"age_s", starlark.Float(j.AgeS)}, {"due_in_s", starlark.Float(j.DueInS)},
	} {
		if err := d.SetKey(starlark.String(kv.k), kv.v); err != nil {
			return 0, err
		}
	}
	thread := &starlark.Thread{Name: "weight", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(callSteps)
	v, err := starlark.Call(thread, p.weight, starlark.Tuple{d}, nil)
	if err != nil {
		return 0, where(err)
	}
	w, ok := starlark.AsFloat(v)
	if !ok || w < 0.01 || w > 100 {
		return 0, fmt.Errorf("weight must be a number from 0.01 to 100, got %v", v)
	}
	return w, nil
}
