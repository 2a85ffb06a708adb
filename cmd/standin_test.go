package cmd

import (
	"bufio"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against stand-ins that do not serve the address they print, or that
// SIGTERM kills instead of ending them without an error.
func TestStandinServesUntilSIGTERM(t *testing.T) {
	for _, name := range []string{"platform", "engine", "service"} {
		t.Run(name, func(t *testing.T) {
			in, out := io.Pipe()
			root := newRoot()
			root.SetOut(out)
			root.SetArgs([]string{"standin", name, "--listen", "127.0.0.1:0"})
			ended := make(chan error, 1)
			go func() { ended <- root.Execute() }()
			line, err := bufio.NewReader(in).ReadString('\n')
			assert.NilError(t, err)
			address := strings.TrimSpace(strings.TrimPrefix(line, "listening on "))
			c, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer c.Close()
			assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
			select {
			case err := <-ended:
				assert.NilError(t, err)
			case <-time.After(5 * time.Second):
				t.Fatal("still running 5 s after SIGTERM")
			}
			_, err = net.Dial("tcp", address)
			assert.ErrorContains(t, err, "refused")
		})
	}
}

// Guards against a bad option that starts a server with another one.
func TestStandinRejectsBadOptions(t *testing.T) {
	for name, args := range map[string][]string{
		"address": {"platform", "--listen", "127.0.0.1"},
		"time":    {"engine", "--output-token-time", "-1s"},
		"number":  {"engine", "--max-running", "-1"},
		"delay":   {"service", "--delay", "-1s"},
	} {
		t.Run(name, func(t *testing.T) {
			root := newRoot()
			root.SetArgs(append([]string{"standin"}, args...))
			assert.Assert(t, root.Execute() != nil)
		})
	}
}
