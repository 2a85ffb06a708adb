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

// Guards against a stand-in that does not listen on the address that it prints, or
// does not shut down without an error on SIGTERM.
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
				t.Fatal("stand-in is still running 5 s after SIGTERM")
			}
			_, err = net.Dial("tcp", address)
			assert.ErrorContains(t, err, "refused")
		})
	}
}

// Guards against an invalid flag value that is replaced by another one instead of
// being rejected.
func TestStandinRejectsInvalidFlags(t *testing.T) {
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
