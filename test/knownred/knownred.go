// Package knownred skips tests that fail because of a known fault. The file
// KNOWN-RED.txt in the module's root folder lists them.
package knownred

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// EnvVar is the environment variable that, set to "run", makes Skip run the listed
// tests.
const EnvVar = "MIMOSARELAY_KNOWN_RED"

// listFile holds one entry for each test. An entry begins with a line
// "test: NAME" and extends to the next such line.
const listFile = "KNOWN-RED.txt"

// Skip prints the test's entry and skips the test if an entry has exactly its
// name.
func Skip(t testing.TB) {
	t.Helper()
	if os.Getenv(EnvVar) == "run" {
		return
	}
	text, err := findEntry(filepath.Join(moduleRoot(t), listFile), t.Name())
	if err != nil {
		t.Fatal(err)
	}
	if text != "" {
		fmt.Printf("KNOWN RED: %s\n%s", t.Name(), text)
		t.Skipf("listed in %s; set %s=run to run it", listFile, EnvVar)
	}
}

// findEntry returns the text of a test's entry, or "" if there is none or the file
// does not exist.
func findEntry(path, name string) (string, error) {
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

// moduleRoot returns the folder that holds go.mod. Tests run in the folder of
// their package, which is below it.
func moduleRoot(t testing.TB) string {
	t.Helper()
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			t.Fatal("go.mod not found in the test's folder or above it")
		}
		folder = parent
	}
}
