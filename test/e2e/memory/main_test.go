//go:build linux

// Package memory tests that callers without control over their number or pace
// cannot make a process of ours run out of memory or descriptors. Each test runs an
// entry host and a keeper as separate processes on loopback addresses, with a store
// and a target in the test's own process.
//
// The tests check no times and no share of served requests. One runs at a time, and
// only if MIMOSARELAY_OVERLOAD is "run".
package memory

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// overloadVariable enables the tests of this package.
const overloadVariable = "MIMOSARELAY_OVERLOAD"

// binary is the path of the executable under test. TestMain builds it once.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	if os.Getenv(overloadVariable) != "run" {
		return m.Run() // all tests skip
	}
	folder, err := os.MkdirTemp("", "mimosarelay-memory-")
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
