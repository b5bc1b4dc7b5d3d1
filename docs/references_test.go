package docs

import (
	"regexp"
	"strings"
)

// form is the syntactic form of a name of code in a page.
type form string

const (
	pathForm      form = "internal/path or path/file.go"
	qualifiedForm form = "package.Name or package.Type.Member"
	wordForm      form = "mixedCaps, or the name of a test"
)

// reference is a name of code in a page.
type reference struct {
	name string
	line int
	form form
}

var (
	codeSpan         = regexp.MustCompile("`([^`]+)`")
	pathPattern      = regexp.MustCompile(`^(internal|cmd|docs|tools|deploy|examples|\.ci)(/[A-Za-z0-9_.-]+)+$|^[a-z]+/[a-z0-9_]+\.go$`)
	qualifiedPattern = regexp.MustCompile(`^[a-z][a-z0-9]*(\.[A-Za-z_][A-Za-z0-9_]*){1,2}$`)
	fileNamePattern  = regexp.MustCompile(`^[a-z_]+\.(toml|txt|md|star|sh|yml|json|mod)$`)
	wordPattern      = regexp.MustCompile(`^[a-z]+[A-Z][A-Za-z0-9]*$|^Test[A-Z][A-Za-z0-9]*$`)
)

// findReferences returns the names of code among the code spans of a page, except in fenced blocks.
func findReferences(text string) []reference {
	var references []reference
	fenced := false
	for i, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(strings.TrimSpace(line), "```") {
			fenced = !fenced
			continue
		}
		if fenced {
			continue
		}
		for _, span := range codeSpansIn(line) {
			if form, ok := formOf(span); ok {
				references = append(references, reference{name: span, line: i + 1, form: form})
			}
		}
	}
	return references
}

// formOf returns the form of the name in a code span, and whether it is a name of code.
func formOf(name string) (form, bool) {
	switch {
	case pathPattern.MatchString(name):
		return pathForm, true
	case fileNamePattern.MatchString(name):
		return "", false
	case qualifiedPattern.MatchString(name):
		return qualifiedForm, true
	case wordPattern.MatchString(name):
		return wordForm, true
	}
	return "", false
}
