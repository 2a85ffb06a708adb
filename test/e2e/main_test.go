//go:build linux

// Package e2e tests the built binary end to end. Each test runs a site (stand-ins
// of the platform and of targets, and entry hosts) as separate processes on
// loopback addresses and checks the guarantees of docs/design.md, section 3, while
// processes are killed, suspended or partitioned.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the executable under test. TestMain builds it once.
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
