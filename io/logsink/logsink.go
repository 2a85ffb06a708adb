// Package logsink writes log lines without blocking the process: if the output is
// too slow, lines are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Options configures a Sink. Zero values mean the defaults.
type Options struct {
	// QueueLines is the number of lines that are queued for the output; 0 means
	// 4096.
	QueueLines int
	// LinesPerSecond is the number of lines accepted in one second; 0 means 2000.
	LinesPerSecond int
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

const (
	defaultQueueLines = 4096
	// defaultLinesPerSecond is several times the peak of a host, which writes one
	// line per request.
	defaultLinesPerSecond = 2000
	// maxBatch is the number of bytes after which no more lines are added to a
	// write.
	maxBatch = 64 << 10
)

// Sink is an io.Writer for log lines. It is safe for concurrent use.
type Sink struct {
	options Options
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu            sync.Mutex // guards the fields below
	closed        bool
	second        int64
	linesInSecond int
}

// New returns a Sink that writes to out.
func New(out io.Writer, o Options) *Sink {
	if o.QueueLines == 0 {
		o.QueueLines = defaultQueueLines
	}
	if o.LinesPerSecond == 0 {
		o.LinesPerSecond = defaultLinesPerSecond
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Sink{options: o, out: out, queue: make(chan []byte, o.QueueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It never blocks and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.options.Now().Unix(); second != s.second {
		s.second, s.linesInSecond = second, 0
	}
	s.linesInSecond++
	if s.closed || s.linesInSecond > s.options.LinesPerSecond {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close stops accepting lines and waits until the queue is written, for at most
// one second.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(time.Second):
	}
}

// run writes the queued lines in batches, and reports dropped lines in the
// output.
func (s *Sink) run() {
	defer close(s.done)
	var reported int64
	var batch []byte
	for line := range s.queue {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxBatch; {
			select {
			case next, ok := <-s.queue:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		if n := s.dropped.Load(); n > reported {
			batch = fmt.Appendf(batch, "level=WARN msg=\"log lines dropped\" lines=%d\n", n-reported)
			reported = n
		}
		if _, err := s.out.Write(batch); err != nil {
			s.dropped.Add(1) // counted only, because the output does not work
		}
	}
}
