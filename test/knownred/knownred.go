// Package knownred passes over tests that fail because of a known fault. The
// file KNOWN-RED.txt at the root of the module lists them.
package knownred

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Variable runs the listed tests all the same if it is set to "run".
const Variable = "MIMOSARELAY_KNOWN_RED"

// file is the list. An entry starts with a line "test: NAME" and ends at the
// next one.
const file = "KNOWN-RED.txt"

// Skip ends the test and prints its entry if its exact name is listed.
func Skip(t testing.TB) {
	t.Helper()
	if os.Getenv(Variable) == "run" {
		return
	}
	text, err := entry(filepath.Join(root(t), file), t.Name())
	if err != nil {
		t.Fatal(err)
	}
	if text != "" {
		fmt.Printf("KNOWN RED: %s\n%s", t.Name(), text)
		t.Skipf("listed in %s; set %s=run to run it", file, Variable)
	}
}

// entry returns the text of the entry of a test, or "". A missing file lists
// none.
func entry(path, name string) (string, error) {
	f, err := os.Open(path)
	if os.IsNotExist(err) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	var text strings.Builder
	found := false
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if test, ok := strings.CutPrefix(lines.Text(), "test: "); ok {
			found = strings.TrimSpace(test) == name
		}
		if found {
			text.WriteString(lines.Text() + "\n")
		}
	}
	return text.String(), lines.Err()
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
