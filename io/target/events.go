package target

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"sync"

	"mimosarelay/core/memory"
	"mimosarelay/io/buffer"
)

// ErrEventTooLarge reports a server-sent event larger than 1 MiB.
var ErrEventTooLarge = errors.New("target: server-sent event too large")

const (
	// maxEvent is the size limit of one server-sent event, in bytes.
	maxEvent = 1 << 20
	// eventReadSize is the size of the pooled read buffer, in bytes.
	eventReadSize = 8 << 10
)

var (
	doneEvent  = []byte("data: [DONE]")
	usageField = []byte(`"usage":{`)
)

var eventReaderPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventReadSize) }}

// EventReader splits a body into server-sent events. Once its buffers have grown
// to the size of the events, it does not allocate per event.
type EventReader struct {
	reader *bufio.Reader
	event  buffer.Appender
	usage  buffer.Appender // the last event with token usage
	count  int
	done   bool
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	br, _ := eventReaderPool.Get().(*bufio.Reader)
	br.Reset(body)
	return &EventReader{reader: br}
}

// Reserve makes the reader reserve what it holds of events from h. It is called before
// the first event is read. Next then also fails with memory.ErrFull and
// memory.ErrEvicted.
func (e *EventReader) Reserve(ctx context.Context, h *memory.Holder) {
	e.event, e.usage = buffer.NewAppender(ctx, h), buffer.NewAppender(ctx, h)
}

// Next returns the next event including the blank line that ends it. The slice
// is valid until the next call. Next returns io.EOF at the end of the body.
func (e *EventReader) Next() ([]byte, error) {
	e.event.Reset()
	for {
		line, err := e.reader.ReadSlice('\n')
		if memoryErr := e.event.Append(line); memoryErr != nil {
			return nil, memoryErr
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, e.endError(err)
		}
		if e.event.Len() > maxEvent {
			return nil, fmt.Errorf("%w: more than %d bytes", ErrEventTooLarge, maxEvent)
		}
		if err == nil && isBlank(line) && e.event.Len() > len(line) {
			break
		}
	}
	e.count++
	return e.event.Bytes(), e.recordDoneAndUsage()
}

// endError returns the error for the end of the body: a truncated event is not a
// regular end.
func (e *EventReader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(bytes.Trim(e.event.Bytes(), "\r\n")) > 0 {
		return fmt.Errorf("%w: the body ends within an event: %w", ErrBroken, io.ErrUnexpectedEOF)
	}
	return err
}

func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

// recordDoneAndUsage records whether the current event is [DONE] or reports
// usage.
func (e *EventReader) recordDoneAndUsage() error {
	event := e.event.Bytes()
	if bytes.HasPrefix(event, doneEvent) {
		e.done = true
		return nil
	}
	if !bytes.Contains(event, usageField) {
		return nil
	}
	e.usage.Reset()
	return e.usage.Append(event)
}

// Buffered reports whether the buffer holds another complete event, so that Next
// does not block.
func (e *EventReader) Buffered() bool {
	b, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}

// Done reports whether the final [DONE] event was read.
func (e *EventReader) Done() bool { return e.done }

// Count returns the number of events read.
func (e *EventReader) Count() int { return e.count }

// Usage returns the payload of the last event that reports token usage, or nil.
func (e *EventReader) Usage() []byte { return Payload(e.usage.Bytes()) }

// Release returns the read buffer to the pool, and the memory of events. The reader and
// the last event must not be used afterwards.
func (e *EventReader) Release() {
	if e.reader == nil {
		return
	}
	e.event.Release()
	e.usage.Release()
	e.reader.Reset(nil)
	eventReaderPool.Put(e.reader)
	e.reader = nil
}

// DataLines iterates over the lines of the data of an event, without their line ends.
// The data of an event are its lines joined by line feeds.
func DataLines(event []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for line := range bytes.Lines(event) {
			data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataField)
			if ok && !yield(bytes.TrimPrefix(data, []byte(" "))) {
				return
			}
		}
	}
}

// HasData reports whether an event has data, which comments that keep a connection
// alive have not.
func HasData(event []byte) bool {
	return bytes.HasPrefix(event, dataField) || bytes.Contains(event, dataLine)
}

var dataField, dataLine = []byte("data:"), []byte("\ndata:")

// Payload returns the data of an event with a single data line, or nil if the
// event does not start with one.
func Payload(event []byte) []byte {
	data, ok := bytes.CutPrefix(event, dataField)
	if !ok {
		return nil
	}
	return bytes.TrimSpace(data)
}
