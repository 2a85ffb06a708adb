//go:build linux

package e2e

import (
	"bytes"
	"context"
	"errors"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// outputBuffer collects the output of a process.
type outputBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// process is a child process. It is killed when its test ends.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	stdout *outputBuffer
	stderr *outputBuffer
	ended  chan struct{} // closed when the process has exited
	err    error         // returned by Wait; valid after ended is closed
}

// maxPrintedOutput bounds the output of one process that a failed test prints.
const maxPrintedOutput = 24 << 10 // bytes

// startProcess starts the binary. If the test fails, it prints the end of the
// process's output.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(binary, args...), stdout: &outputBuffer{}, stderr: &outputBuffer{}, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.stdout, p.stderr
	// The kernel kills the child if the test process is killed or panics.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("failed to start %s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("--- %s (pid %d) stdout\n%s--- %s stderr\n%s", name, p.cmd.Process.Pid, trimOutput(p.stdout.String()), name, trimOutput(p.stderr.String()))
		}
	})
	return p
}

// trimOutput returns the end of an output, without the log lines of the test's own
// status requests.
func trimOutput(s string) string {
	var kept strings.Builder
	for l := range strings.Lines(s) {
		if !strings.Contains(l, "path=/operator/v1/status") {
			kept.WriteString(l)
		}
	}
	s = kept.String()
	if len(s) <= maxPrintedOutput {
		return s
	}
	return "...\n" + s[len(s)-maxPrintedOutput:]
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("failed to send signal %v to %s: %v", s, p.name, err)
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has exited
	<-p.ended
}

// waitEnd waits until the process exits and returns its error.
func (p *process) waitEnd(limit time.Duration) error {
	select {
	case <-p.ended:
		return p.err
	case <-time.After(limit):
		return errors.New(p.name + " has not exited within " + limit.String())
	}
}

// waitLine waits for a line on stdout that starts with prefix and returns the rest
// of the line.
func (p *process) waitLine(prefix string) string {
	p.t.Helper()
	var rest string
	eventually(p.t, 10*time.Second, p.name+" prints "+prefix, func() bool {
		for l := range strings.Lines(p.stdout.String()) {
			if r, ok := strings.CutPrefix(l, prefix); ok && strings.HasSuffix(r, "\n") {
				rest = strings.TrimSpace(r)
				return true
			}
		}
		return false
	})
	return rest
}

// pollInterval is the pause between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// eventually polls a condition and fails the test if it does not hold within a
// limit.
func eventually(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	begin := time.Now()
	for !holds() {
		if time.Since(begin) > limit {
			t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
}

// runCommand runs the binary until it exits and returns stdout and stderr.
func runCommand(ctx context.Context, args ...string) (string, string, error) {
	c := exec.CommandContext(ctx, binary, args...)
	var out, errs bytes.Buffer
	c.Stdout, c.Stderr = &out, &errs
	err := c.Run()
	return out.String(), errs.String(), err
}
