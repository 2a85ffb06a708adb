package buffer_test

import (
	"bytes"
	"errors"
	"io"
	"net/netip"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/memory"
	"mimosarelay/io/buffer"
)

func newHolder(t assert.TestingT, capacity memory.Bytes) (*memory.Account, *memory.Holder) {
	a := memory.New(memory.Options{Capacity: capacity, MaxHolders: 1, Clock: clockwork.NewRealClock()})
	h, err := a.Open(netip.Addr{}, 1, func(memory.Phase) {})
	assert.NilError(t, err)
	return a, h
}

// Guards against a body that is changed or cut, against more memory than twice what
// was received, and against memory that is not returned.
func TestReadReturnsBodyAndMemory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		a, h := newHolder(t, 1<<20)
		size := rapid.IntRange(0, 300<<10).Draw(t, "size")
		body := bytes.Repeat([]byte{byte(rapid.IntRange(0, 255).Draw(t, "byte"))}, size)
		length := rapid.SampledFrom([]int{-1, size}).Draw(t, "length")
		b, err := buffer.Read(t.Context(), h, iotest.HalfReader(bytes.NewReader(body)), buffer.Options{Kind: memory.Bodies, Length: length, Limit: 300 << 10})
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(b.Bytes(), body))
		assert.Assert(t, a.Stats().ByKind[memory.Bodies] >= memory.Bytes(size))
		assert.Assert(t, a.Stats().ByKind[memory.Bodies] <= max(64<<10, 2*memory.Bytes(size)))
		b.Release()
		assert.Equal(t, a.Stats().ByKind[memory.Bodies], memory.Bytes(0))
	})
}

// Guards against a refusal or an error that keeps memory, and against a body above
// its limit that is read.
func TestReadFails(t *testing.T) {
	t.Parallel()
	errBroken := errors.New("broken")
	for name, c := range map[string]struct {
		body          io.Reader
		length, limit int
		want          error
	}{
		"announced above limit": {bytes.NewReader(make([]byte, 10)), 10, 9, buffer.ErrTooLarge},
		"above limit":           {bytes.NewReader(make([]byte, 10)), -1, 9, buffer.ErrTooLarge},
		"cut":                   {bytes.NewReader(make([]byte, 10)), 20, 100, io.ErrUnexpectedEOF},
		"broken":                {iotest.ErrReader(errBroken), -1, 100, errBroken},
		"above the account":     {bytes.NewReader(make([]byte, 200<<10)), 200 << 10, 1 << 20, memory.ErrFull},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, h := newHolder(t, 150<<10)
			b, err := buffer.Read(t.Context(), h, c.body, buffer.Options{Kind: memory.Bodies, Length: c.length, Limit: c.limit, MaxWait: time.Millisecond})
			assert.ErrorIs(t, err, c.want)
			b.Release()
			assert.Equal(t, a.Stats().ByKind[memory.Bodies], memory.Bytes(0))
		})
	}
}

// Guards against a crash of the process for a request without a body, whose buffer is
// nil, that is decided on again because the host was slow.
func TestNilBufferHasNoContent(t *testing.T) {
	t.Parallel()
	var b *buffer.Buffer
	assert.Equal(t, len(b.Bytes()), 0)
	b.Release()
}
