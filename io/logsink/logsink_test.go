package logsink_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/io/logsink"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a process that blocks on log lines because its output is not
// read, and against dropped lines that are not counted.
func TestWriteNeverBlocks(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	s := logsink.New(out, logsink.Options{QueueLines: 100, LinesPerSecond: 1 << 30})
	const flood = 50_000
	start := time.Now()
	for range flood {
		n, err := io.WriteString(s, "level=INFO msg=\"request ended\"\n")
		assert.NilError(t, err)
		assert.Equal(t, n, 31)
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	// 100 lines are queued, and up to maxBatch bytes are in the blocked write.
	assert.Assert(t, s.Dropped() > flood-100-64<<10/31, s.Dropped())
	close(out.release)
	s.Close()
}

// Guards against a log volume that grows with the load without limit.
func TestLinesPerSecondAreBounded(t *testing.T) {
	now := time.Unix(100, 0)
	var out bytes.Buffer
	s := logsink.New(&out, logsink.Options{LinesPerSecond: 10, Now: func() time.Time { return now }})
	for range 50 {
		_, _ = io.WriteString(s, "line\n")
	}
	now = now.Add(time.Second)
	_, _ = io.WriteString(s, "line\n")
	s.Close()
	assert.Equal(t, strings.Count(out.String(), "line\n"), 11)
	assert.Equal(t, s.Dropped(), int64(40))
	reported := 0
	for _, part := range strings.Split(out.String(), " lines=")[1:] {
		var n int
		_, err := fmt.Sscanf(part, "%d", &n)
		assert.NilError(t, err)
		reported += n
	}
	assert.Equal(t, reported, 40)
}
