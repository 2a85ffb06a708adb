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

// output keeps what a process prints.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// process is a child process that is killed at the end of its test.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	stdout *output
	stderr *output
	ended  chan struct{} // closed when the process has ended
	err    error         // of the end
}

// maxPrinted bounds the text of one process that a failed test prints.
const maxPrinted = 24 << 10 // bytes

// start starts the binary. A failed test prints the end of its output.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(binary, args...), stdout: &output{}, stderr: &output{}, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.stdout, p.stderr
	// Ends the child also when the test process is killed or panics.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("--- %s (pid %d) stdout\n%s--- %s stderr\n%s", name, p.cmd.Process.Pid, tail(p.stdout.String()), name, tail(p.stderr.String()))
		}
	})
	return p
}

// tail returns the end of an output without the test's own status polls.
func tail(s string) string {
	var kept strings.Builder
	for l := range strings.Lines(s) {
		if !strings.Contains(l, "path=/operator/v1/status") {
			kept.WriteString(l)
		}
	}
	s = kept.String()
	if len(s) <= maxPrinted {
		return s
	}
	return "...\n" + s[len(s)-maxPrinted:]
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v to %s: %v", s, p.name, err)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has ended
	<-p.ended
}

// waitEnd waits until the process ends and returns its error.
func (p *process) waitEnd(limit time.Duration) error {
	select {
	case <-p.ended:
		return p.err
	case <-time.After(limit):
		return errors.New(p.name + " has not ended within " + limit.String())
	}
}

// line waits for a line of stdout with a prefix and returns its rest.
func (p *process) line(prefix string) string {
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

// pollInterval is the pause between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// eventually fails the test if a condition does not hold within a limit.
func eventually(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	begin := time.Now()
	for !holds() {
		if time.Since(begin) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
}

// command runs the binary to its end and returns stdout and stderr.
func command(ctx context.Context, args ...string) (string, string, error) {
	c := exec.CommandContext(ctx, binary, args...)
	var out, errs bytes.Buffer
	c.Stdout, c.Stderr = &out, &errs
	err := c.Run()
	return out.String(), errs.String(), err
}
