package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"mimosarelay/io/target"
)

// repeatedEvent is a reader that repeats one event without end.
type repeatedEvent struct {
	event  []byte
	offset int
}

func (e *repeatedEvent) Read(p []byte) (int, error) {
	n := copy(p, e.event[e.offset:])
	e.offset = (e.offset + n) % len(e.event)
	return n, nil
}

// Guards against allocations for each forwarded event, which would cost time and
// memory at 1.3 million tokens a second.
func TestStreamedEventsDoNotAllocate(t *testing.T) {
	event := []byte("data: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n")
	b := &chatStreamBody{call: &chatCall{}, events: target.NewEventReader(&repeatedEvent{event: event})}
	defer b.events.Release()
	buffer := make([]byte, 4096)
	read := func() {
		n, err := b.Read(buffer)
		assert.NilError(t, err)
		if n != len(event) {
			t.Fatalf("read %d bytes, want %d", n, len(event))
		}
	}
	read()
	assert.Equal(t, testing.AllocsPerRun(1000, read), 0.0)
}
