package buffer

import (
	"context"
	"time"

	"mimosarelay/core/memory"
)

const (
	// freeSize is the size up to which an Appender reserves nothing, in bytes. The
	// events of sound targets are smaller.
	freeSize = 4 << 10
	// appendWait is how long an Appender waits for memory. Targets cut off answers that
	// are not read for seconds.
	appendWait = 250 * time.Millisecond
)

// Appender is a byte slice that grows in memory of kind Streams, which it reserves
// first. The zero value is ready to use and reserves nothing.
type Appender struct {
	data     []byte
	ctx      context.Context // ends the waits for memory
	holder   *memory.Holder
	reserved memory.Bytes
}

// NewAppender returns an empty Appender. h is nil for no limit.
func NewAppender(ctx context.Context, h *memory.Holder) Appender {
	return Appender{ctx: ctx, holder: h}
}

// Append adds a copy of p. If it fails, nothing was added. Errors are memory.ErrFull,
// memory.ErrEvicted and those of the context.
func (a *Appender) Append(p []byte) error {
	if need := len(a.data) + len(p); need > cap(a.data) {
		if err := a.grow(max(need, 2*cap(a.data))); err != nil {
			return err
		}
	}
	a.data = append(a.data, p...)
	return nil
}

// grow moves the content to a slice of size bytes. Both are reserved meanwhile.
func (a *Appender) grow(size int) error {
	if a.holder != nil && size > freeSize {
		if err := Reserve(a.ctx, a.holder, memory.Streams, memory.Bytes(size), appendWait); err != nil {
			return err
		}
	}
	data := make([]byte, len(a.data), size)
	copy(data, a.data)
	a.data = data
	if a.holder != nil && size > freeSize {
		a.holder.Release(memory.Streams, a.reserved)
		a.reserved = memory.Bytes(size)
	}
	return nil
}

// Bytes returns the content. It is valid until the next call of another method.
func (a *Appender) Bytes() []byte { return a.data }

// Len returns the size of the content, in bytes.
func (a *Appender) Len() int { return len(a.data) }

// Reset removes the content. A large slice is released, so that one large event does not
// occupy memory for the rest of a stream.
func (a *Appender) Reset() {
	if cap(a.data) > smallSize {
		a.Release()
		return
	}
	a.data = a.data[:0]
}

// Release removes the content and returns the memory. The Appender can be used again.
func (a *Appender) Release() {
	a.holder.Release(memory.Streams, a.reserved)
	a.data, a.reserved = nil, 0
}
