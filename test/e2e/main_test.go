//go:build linux

// Package e2e runs a site as separate processes of the built binary on
// loopback addresses and checks the promises of docs/design.md, section 3,
// under faults of real processes.
package e2e

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// binary is the path of the program under test, built once by TestMain.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "mimosarelay-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "mimosarelay")
	build := exec.Command("go", "build", "-o", binary, "mimosarelay")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// knownRedFile lists tests that fail because of a fault in the system that is
// not fixed yet. An entry starts with a line "test: NAME"; the lines up to the
// next entry describe it.
const knownRedFile = "../../KNOWN-RED.txt"

// knownRed skips the test, with the text of its entry, if the file lists its
// exact name. MIMOSARELAY_RUN_KNOWN_RED=1 runs it all the same.
func knownRed(t *testing.T) {
	t.Helper()
	if os.Getenv("MIMOSARELAY_RUN_KNOWN_RED") == "1" {
		return
	}
	text, err := knownRedEntry(knownRedFile, t.Name())
	if err != nil {
		t.Fatal(err)
	}
	if text != "" {
		fmt.Printf("KNOWN RED: %s\n%s", t.Name(), text)
		t.Skip("known red:\n" + text)
	}
}

// knownRedEntry returns the text of the entry of a test, or "". A missing file
// lists none.
func knownRedEntry(file, name string) (string, error) {
	f, err := os.Open(file)
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
