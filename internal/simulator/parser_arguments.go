package simulator

import (
	"fmt"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/units"
)

// defaultFaultSeconds is the duration of a fault whose step has no "for" option.
const defaultFaultSeconds = 30

// arguments are the words that follow the first word of a line: positional words, and options in the
// form name=value. err keeps the first mistake that is found in them.
type arguments struct {
	line    string // all arguments, joined by spaces
	words   []string
	options map[string]string
	err     error
}

func parseArguments(words []string) *arguments {
	a := &arguments{line: strings.Join(words, " "), options: map[string]string{}}
	for _, word := range words {
		if key, value, ok := strings.Cut(word, "="); ok {
			a.options[key] = value
		} else {
			a.words = append(a.words, word)
		}
	}
	return a
}

func (a *arguments) fail(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, args...)
	}
}

// word returns the positional word at index i. If it is missing, word sets err.
func (a *arguments) word(i int) string {
	if i < len(a.words) {
		return a.words[i]
	}
	a.fail("word %d is missing", i+1)
	return ""
}

func (a *arguments) has(key string) bool {
	_, ok := a.options[key]
	return ok
}

func (a *arguments) number(key string, fallback float64) float64 {
	text, ok := a.options[key]
	if !ok {
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		a.fail("%s=%s: not a number", key, text)
	}
	return number
}

func (a *arguments) count(key string, fallback int) int { return int(a.number(key, float64(fallback))) }

func (a *arguments) duration(key string, fallbackSeconds float64) units.Micros {
	return units.FromSeconds(a.number(key, fallbackSeconds))
}

// faultDuration returns how long the fault of a step lasts.
func (a *arguments) faultDuration() units.Micros { return a.duration("for", defaultFaultSeconds) }

func (a *arguments) text(key, fallback string) string {
	if value, ok := a.options[key]; ok {
		return value
	}
	return fallback
}

func (a *arguments) flag(key string) bool { return a.text(key, "no") == "yes" }

// list returns the comma-separated items of an option, or nil if it is missing or empty.
func (a *arguments) list(key string) []string {
	if value := a.text(key, ""); value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

// choice maps an option's value, or the fallback if the option is missing, to one of the permitted
// values.
func choice[T any](a *arguments, key, fallback string, values map[string]T) T {
	value, ok := values[a.text(key, fallback)]
	if !ok {
		a.fail("%s=%s: unknown word", key, a.text(key, fallback))
	}
	return value
}
