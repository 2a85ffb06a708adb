// Package knownred passes over tests that fail because of a known fault. The
// file KNOWN-RED.txt at the root of the module lists them.
package knownred

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Variable runs the listed tests all the same if it is set to "run".
const Variable = "MIMOSARELAY_KNOWN_RED"

// file is the list. An entry starts with a line "test: NAME".
const file = "KNOWN-RED.txt"

// Skip ends the test if its full name is listed.
func Skip(t testing.TB) {
	t.Helper()
	if os.Getenv(Variable) == "run" {
		return
	}
	for _, name := range listed(t) {
		if name == t.Name() {
			t.Skipf("listed in %s; set %s=run to run it", file, Variable)
		}
	}
}

func listed(t testing.TB) []string {
	t.Helper()
	f, err := os.Open(filepath.Join(root(t), file))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var names []string
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "test: "); ok {
			names = append(names, strings.TrimSpace(name))
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return names
}

// root finds the folder of go.mod from the folder of the test's package.
func root(t testing.TB) string {
	t.Helper()
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder
		}
		up := filepath.Dir(folder)
		if up == folder {
			t.Fatal("go.mod not found above the test's folder")
		}
		folder = up
	}
}
