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

// stuck is an output that takes nothing until it is released.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a flood of log lines that stops the process because nobody
// reads its output, and against lines that disappear uncounted.
func TestFloodNeverBlocks(t *testing.T) {
	out := stuck{make(chan struct{})}
	s := logsink.New(out, logsink.Options{QueueLines: 100, LinesPerSecond: 1 << 30})
	const flood = 50_000
	start := time.Now()
	for range flood {
		n, err := io.WriteString(s, "level=INFO msg=\"request ended\"\n")
		assert.NilError(t, err)
		assert.Equal(t, n, 31)
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	// 100 wait, and up to maxBatch are in the hands of the writer.
	assert.Assert(t, s.Dropped() > flood-100-64<<10/31, s.Dropped())
	close(out.release)
	s.Close()
}

// Guards against a volume of logs that grows with the load.
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
