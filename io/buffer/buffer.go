// Package buffer reads bodies into memory that is reserved from the account of the
// process first.
package buffer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"mimosarelay/core/memory"
)

// ErrTooLarge reports a body above its limit.
var ErrTooLarge = errors.New("buffer: body is above its limit")

const (
	// smallSize is the size up to which buffers are reused, in bytes. Most bodies are
	// smaller.
	smallSize = 64 << 10
	// firstSize is the first size of a buffer for a body of unknown length, in bytes.
	firstSize = 4 << 10
	// retryInterval is the pause before a reservation is tried again although nothing
	// was released, because other connections stall in the meantime.
	retryInterval = 100 * time.Millisecond
)

// Options configures Read.
type Options struct {
	Kind memory.Kind
	// Length is the length of the body, or negative if it is not known.
	Length int
	// Limit is the largest size of the body, in bytes.
	Limit int
	// MaxWait limits the time to wait for memory.
	MaxWait time.Duration
}

// Buffer is a body, or its beginning, in reserved memory.
type Buffer struct {
	data   []byte
	holder *memory.Holder
	kind   memory.Kind
	kept   bool // the content is used after Release
}

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// Read reads r to its end. If it fails, the result holds what was read. The caller
// must Release the result in any case. Errors are those of r, ErrTooLarge,
// memory.ErrFull after MaxWait, memory.ErrEvicted and those of ctx.
func Read(ctx context.Context, h *memory.Holder, r io.Reader, o Options) (*Buffer, error) {
	b := pool.Get().(*Buffer)
	b.holder, b.kind = h, o.Kind
	if spare := memory.Bytes(cap(b.data)); spare > 0 && h.Reserve(o.Kind, spare) != nil {
		b.data = nil
	}
	if o.Length > o.Limit {
		return b, ErrTooLarge
	}
	most := o.Limit
	if o.Length >= 0 {
		most = o.Length
	}
	for {
		if len(b.data) == cap(b.data) {
			if len(b.data) >= most {
				return b, b.expectEnd(r)
			}
			if err := b.grow(ctx, b.nextSize(o, most), o.MaxWait); err != nil {
				return b, err
			}
		}
		free := b.data[len(b.data):min(cap(b.data), most)]
		if len(free) == 0 {
			return b, b.expectEnd(r)
		}
		n, err := r.Read(free)
		b.data = b.data[:len(b.data)+n]
		h.Progress(n)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			if o.Length >= 0 && len(b.data) < o.Length {
				return b, io.ErrUnexpectedEOF
			}
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// nextSize returns the next size of the buffer. It doubles, so that a buffer is at
// most twice the size of what was received, except for small bodies of known length.
func (b *Buffer) nextSize(o Options, most int) int {
	first := firstSize
	if o.Length >= 0 {
		first = smallSize
	}
	return min(most, max(first, 2*cap(b.data)))
}

// expectEnd checks that a body ends here.
func (b *Buffer) expectEnd(r io.Reader) error {
	var one [1]byte
	n, err := r.Read(one[:])
	switch {
	case n > 0:
		return ErrTooLarge
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	}
	return err
}

// grow moves the content to a buffer of size bytes.
func (b *Buffer) grow(ctx context.Context, size int, maxWait time.Duration) error {
	if err := Reserve(ctx, b.holder, b.kind, memory.Bytes(size), maxWait); err != nil {
		return err
	}
	old := cap(b.data)
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	b.holder.Release(b.kind, memory.Bytes(old))
	return nil
}

// Reserve waits for memory for at most maxWait. The load that this addresses is a
// full account whose holders are about to release or to be evicted.
func Reserve(ctx context.Context, h *memory.Holder, k memory.Kind, n memory.Bytes, maxWait time.Duration) error {
	err := h.Reserve(k, n)
	if err == nil || !errors.Is(err, memory.ErrFull) {
		return err
	}
	limit := time.NewTimer(maxWait)
	defer limit.Stop()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for errors.Is(err, memory.ErrFull) {
		freed := h.Freed()
		if err = h.Reserve(k, n); err == nil {
			break
		}
		select {
		case <-freed:
		case <-retry.C:
		case <-limit.C:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

// Keep makes the content valid after Release, for a record that outlives the buffer, and
// returns it.
func (b *Buffer) Keep() []byte {
	b.kept = true
	return b.data
}

// Bytes returns the content. It is valid until Release. A nil Buffer has none.
func (b *Buffer) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// Release returns the memory. A nil Buffer has none. The buffer must not be used afterwards.
func (b *Buffer) Release() {
	if b == nil {
		return
	}
	b.holder.Release(b.kind, memory.Bytes(cap(b.data)))
	b.holder = nil
	if b.kept || cap(b.data) > smallSize {
		b.data, b.kept = nil, false
	}
	b.data = b.data[:0]
	pool.Put(b)
}
