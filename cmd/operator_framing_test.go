package cmd

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the beginning of an answer that counts as complete: the host answers
// without a length while the request is still being written, and resets the
// connection.
func TestAnswerBeforeEndOfRequestThenReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // until the buffers of the kernel are full
		_ = c.(*net.TCPConn).SetLinger(0)
	}()
	credential := filepath.Join(t.TempDir(), "operator.credential")
	assert.NilError(t, os.WriteFile(credential, []byte("credential-of-operator\n"), 0o600))
	o := operatorClient{address: l.Addr().String(), credentialFile: credential}
	answer, err := o.do(t.Context(), "PUT", "/v1/config", make([]byte, 32<<20))
	assert.Assert(t, err != nil, "%q", answer)
}
