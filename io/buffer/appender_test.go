package buffer_test

import (
	"bytes"
	"context"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/core/memory"
	"mimosarelay/io/buffer"
)

// Guards against an Appender that holds more than it has reserved, loses its content
// when it finds no memory, or keeps memory after Release.
func TestAppenderReservesBeforeItGrows(t *testing.T) {
	const capacity = 1 << 20
	a := memory.New(memory.Options{Capacity: capacity, MaxHolders: 1, Clock: clockwork.NewRealClock()})
	h, err := a.Open(netip.Addr{}, 0, func(memory.Phase) {})
	assert.NilError(t, err)
	h.SetPhase(memory.Running)
	appender := buffer.NewAppender(context.Background(), h)
	var want []byte
	for piece := bytes.Repeat([]byte("x"), 1000); ; {
		if err = appender.Append(piece); err != nil {
			break
		}
		want = append(want, piece...)
		held := a.Stats().Held
		assert.Assert(t, held <= capacity/2 && (len(want) <= 4<<10 || held >= memory.Bytes(len(want))), "%d bytes with %d reserved", len(want), held)
	}
	assert.ErrorIs(t, err, memory.ErrFull)
	assert.Assert(t, bytes.Equal(appender.Bytes(), want))
	assert.NilError(t, h.Reserve(memory.Bodies, capacity/2), "streams leave half of the account to others")
	h.Release(memory.Bodies, capacity/2)
	appender.Reset()
	assert.Equal(t, a.Stats().Held, memory.Bytes(0), "a large slice is released")
	assert.NilError(t, appender.Append([]byte("again")))
	assert.Equal(t, string(appender.Bytes()), "again")
	appender.Release()
	assert.Equal(t, appender.Len(), 0)
}
