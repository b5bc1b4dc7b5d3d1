package soak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
)

// repositoryRoot is the root of the sources, relative to the working directory of the tests.
const repositoryRoot = "../.."

var productionVersion = regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"`)

// build compiles the controller from the sources; extra holds further arguments of go build.
func build(t *testing.T, source, target string, extra ...string) {
	t.Helper()
	args := append([]string{"build", "-ldflags=-linkmode=external", "-o", target}, extra...)
	cmd := exec.CommandContext(t.Context(), "go", append(args, "./cmd/frostdock")...)
	cmd.Dir = source
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
}

// buildProduction builds the production version named in deploy/service.toml from the repository's
// history and returns the binary's path. It reports false if that version is not available.
func buildProduction(t *testing.T, dir string) (string, bool) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(repositoryRoot, "deploy/service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	found := productionVersion.FindSubmatch(raw)
	if found == nil {
		return "", false
	}
	archive := exec.CommandContext(t.Context(), "git", "archive", string(found[1]))
	archive.Dir = repositoryRoot
	tar, err := archive.Output()
	if err != nil {
		return "", false // as in a shallow clone
	}
	source := filepath.Join(dir, "production")
	unpack(t, tar, source)
	target := filepath.Join(dir, "frostdock-production")
	build(t, source, target)
	return target, true
}

// unpack extracts a tar archive into a new directory.
func unpack(t *testing.T, tar []byte, target string) {
	t.Helper()
	if err := os.Mkdir(target, 0o700); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), "tar", "x", "-C", target)
	cmd.Stdin = bytes.NewReader(tar)
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("unpack: %v\n%s", err, out)
	}
}
