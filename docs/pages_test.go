// Package docs holds the documentation, and tests that compare it with the code.
package docs

import (
	"maps"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// repositoryRoot is the path to the sources and pages from the directory of this test.
const repositoryRoot = ".."

// pages are the checked pages: the names of code in them must exist in the sources.
var pages = []string{
	"README.md", "CONTRIBUTING.md", "docs/architecture.md", "docs/design.md", "docs/glossary.md",
}

// TestNamesInPages looks up every name of code in the pages.
func TestNamesInPages(t *testing.T) {
	sources := readSources(t, repositoryRoot)
	for _, page := range pages {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(repositoryRoot, page))
			if err != nil {
				t.Fatal(err)
			}
			for _, problem := range sources.problems(string(text)) {
				t.Errorf("%s:%s", page, problem)
			}
		})
	}
}

// TestArchitectureNamesCode fails if the form of the page changes so that TestNamesInPages recognises
// hardly any names in it.
func TestArchitectureNamesCode(t *testing.T) {
	text, err := os.ReadFile("architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	counts := map[form]int{}
	for _, reference := range findReferences(string(text)) {
		counts[reference.form]++
	}
	for form, minimum := range map[form]int{pathForm: 15, qualifiedForm: 60} {
		if counts[form] < minimum {
			t.Errorf("found %d names of the form %v, want at least %d", counts[form], form, minimum)
		}
	}
}

// testPrograms are packages that no other package imports, and that may import any.
var testPrograms = []string{"simulator", "soak"}

// unitsPackage may be imported by all packages.
const unitsPackage = "units"

// TestImports compares the imports in the table of packages with those in the sources. A package may
// import only packages of later rows.
func TestImports(t *testing.T) {
	text, err := os.ReadFile("architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	sources := readSources(t, repositoryRoot)
	rows := findPackageRows(string(text))
	listed := map[string]bool{"frostdock": true, unitsPackage: true} // cmd/frostdock is not in the table
	for i := len(rows) - 1; i >= 0; i-- {
		row := rows[i]
		d := sources.packages[row.name]
		if d == nil {
			t.Errorf("package %s of the table is not in the sources", row.name)
			continue
		}
		imports := slices.DeleteFunc(slices.Sorted(maps.Keys(d.imports)), func(name string) bool { return name == unitsPackage })
		if !slices.Equal(row.imports, imports) {
			t.Errorf("package %s imports %v, the table says %v", row.name, imports, row.imports)
		}
		for _, name := range imports {
			if !listed[name] {
				t.Errorf("package %s imports %s, which is in no later row of the table", row.name, name)
			}
		}
		listed[row.name] = true
	}
	for name := range sources.packages {
		if !listed[name] && !slices.Contains(testPrograms, name) {
			t.Errorf("package %s is not in the table", name)
		}
	}
}

// packageRow is a package's row in the table of packages.
type packageRow struct {
	name    string
	imports []string
}

// findPackageRows parses the table of packages, whose columns are paths, duty, state and imports.
func findPackageRows(text string) []packageRow {
	const columns = 4
	var rows []packageRow
	for _, line := range strings.Split(text, "\n") {
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		if len(cells) != columns || !strings.HasPrefix(cells[0], "`internal/") {
			continue
		}
		var imports []string
		if cells[columns-1] != noImports {
			imports = strings.Split(cells[columns-1], ", ")
		}
		for _, span := range codeSpansIn(cells[0]) {
			rows = append(rows, packageRow{name: path.Base(span), imports: imports})
		}
	}
	return rows
}

// noImports stands in the table for a package that imports no other.
const noImports = "none"

// TestLogLines looks up the log messages and attributes in the first column of the table of log lines in
// operations.md.
func TestLogLines(t *testing.T) {
	const minimumRows = 20
	text, err := os.ReadFile("operations.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "\n## Logs\n")
	section, _, _ = strings.Cut(section, "\n## ")
	literals := readSources(t, repositoryRoot).literals
	rows := 0
	for _, line := range strings.Split(section, "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		rows++
		cell, _, _ := strings.Cut(strings.TrimPrefix(line, "| "), " | ")
		for _, span := range codeSpansIn(cell) {
			if !literals[span] {
				t.Errorf("log line %q is not in the sources", span)
			}
		}
	}
	if rows < minimumRows {
		t.Errorf("found %d rows of log lines, want at least %d", rows, minimumRows)
	}
}

// TestWireWords compares the words of the wire in the glossary with the tags of the fields in the same row:
// the tag of each field must be one of the row's words, and each word must be the tag of one of the fields.
func TestWireWords(t *testing.T) {
	const minimumRows = 40
	text, err := os.ReadFile("glossary.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "\n## Words of the wire")
	section, _, _ = strings.Cut(section, "\n## ")
	tags := readSources(t, repositoryRoot).tags
	rows := 0
	for _, line := range strings.Split(section, "\n") {
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		if len(cells) != 3 || !strings.HasPrefix(cells[0], "`") {
			continue
		}
		rows++
		words, used := codeSpansIn(cells[0]), map[string]bool{}
		for _, field := range codeSpansIn(cells[2]) {
			used[tags[field]] = true
			if !slices.Contains(words, tags[field]) {
				t.Errorf("%s is %q on the wire, but the glossary says %q", field, tags[field], words)
			}
		}
		for _, word := range words {
			if !used[word] {
				t.Errorf("the glossary lists the word %q, but no field of its row has it on the wire", word)
			}
		}
	}
	if rows < minimumRows {
		t.Errorf("found %d rows of wire words, want at least %d", rows, minimumRows)
	}
}

// codeSpansIn returns the texts between backticks.
func codeSpansIn(text string) []string {
	var spans []string
	for _, span := range codeSpan.FindAllStringSubmatch(text, -1) {
		spans = append(spans, span[1])
	}
	return spans
}

// TestWrongNames checks pages against a small source tree: names that exist in it, and names that do not.
func TestWrongNames(t *testing.T) {
	root := t.TempDir()
	writeFile(t, filepath.Join(root, "internal", "store", "store.go"), `package store

type Client struct {
	addr string `+"`json:\"serverAddr\"`"+`
}

func (c *Client) call() {}

type Caller interface{ Send() }

const maxCalls = 3

func NewClient() *Client { return nil }
`)
	writeFile(t, filepath.Join(root, "internal", "store", "store_test.go"), "package store\n\nfunc TestCall() {}\n")
	writeFile(t, filepath.Join(root, "cmd", "tool", "main.go"), "package main\n\nfunc run() {}\n")
	sources := readSources(t, root)
	for _, tc := range []struct {
		name  string
		text  string
		wrong []string
	}{
		{"names that are there", "`store.Client`, `store.Client.call`, `store.Client.addr`, `store.Caller.Send`, `store.maxCalls`, `tool.run`", nil},
		{"paths that are there", "`internal/store`, `internal/store/store.go`, `store/store.go`, `cmd/tool`", nil},
		{"words that are there", "`maxCalls`, `serverAddr`, `TestCall`", nil},
		{"no names of code", "`GET /ready`, `settings.toml`, `--check`, `k/a/0`, `[settings.state.next]`, `a b.C`", nil},
		{"fenced code", "```\n`store.Missing`\n```\n`store.Client`", nil},
		{"package", "`shop.Client`", []string{"shop.Client"}},
		{"function", "`store.OpenClient`", []string{"store.OpenClient"}},
		{"method", "a `store.Client.dial` b", []string{"store.Client.dial"}},
		{"method of another type", "`store.Caller.call`", []string{"store.Caller.call"}},
		{"type", "`store.Server.call`", []string{"store.Server.call"}},
		{"directory", "`internal/shop`", []string{"internal/shop"}},
		{"file", "`store/client.go`", []string{"store/client.go"}},
		{"word", "`minCalls`", []string{"minCalls"}},
		{"test", "`TestDial`", []string{"TestDial"}},
		{"several in a line", "`store.Gone` and `store.Client` and `internal/gone`", []string{"store.Gone", "internal/gone"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var want []string
			for _, name := range tc.wrong {
				want = append(want, "1: "+name+" is not in the sources")
			}
			if got := sources.problems(tc.text); !slices.Equal(got, want) {
				t.Errorf("problems %q, want %q", got, want)
			}
		})
	}
}

func writeFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
