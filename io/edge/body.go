package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/memory"
	"mimosarelay/io/buffer"
)

// Reasons why a request cannot be read, tested with errors.Is.
var (
	// ErrNoMemory means that there is no memory for the request now.
	ErrNoMemory = errors.New("no memory for the request now")
	// ErrHeaderTooLarge means that the header exceeds the buffer for it.
	ErrHeaderTooLarge = errors.New("request header too large")
	// ErrTimeout means that the request did not arrive in time.
	ErrTimeout = errors.New("request was not received in time")
	// ErrMalformed means that the request is not valid HTTP, or was cut off.
	ErrMalformed = errors.New("request is not valid HTTP")
)

const (
	// prefetchBytes is the part of a body that fasthttp takes from its buffer before the
	// handler runs. It cannot be 0.
	prefetchBytes = 1
	// memoryWait is how long a body waits for memory. Holders without progress are
	// evicted within that time.
	memoryWait = 2 * time.Second
)

// Configure returns the limits for the body of a request whose header was read, with
// StreamRequestBody. The body of a request that announces more than limit bytes is not
// read, so that it can be refused at once. Its connection is closed, because its body
// would be taken for the next request.
func Configure(h *fasthttp.RequestHeader, limit int, timeout time.Duration) fasthttp.RequestConfig {
	if h.ContentLength() > limit {
		h.SetContentLength(0)
		h.SetConnectionClose()
	}
	return fasthttp.RequestConfig{ReadTimeout: timeout, MaxRequestBodySize: prefetchBytes}
}

// Begin prepares for the decision on a request by its header. It returns the length of
// a body that Configure has not let fasthttp read, or 0.
func (c *Conn) Begin(ctx *fasthttp.RequestCtx) (skipped int) {
	c.begun = true
	if ctx.Request.Header.ContentLength() == 0 {
		skipped = rawContentLength(ctx.Request.Header.RawHeaders())
	}
	c.bodyUnread = ctx.RequestBodyStream() != nil || skipped > 0
	return skipped
}

// ReadBody reads the body of a request that was decided on. The result is nil if there
// is none; it must be released. Errors are buffer.ErrTooLarge, and those of
// Conn.ReadError.
func (c *Conn) ReadBody(ctx *fasthttp.RequestCtx, limit int) (*buffer.Buffer, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	c.holder.SetPhase(memory.Receiving)
	if c.bodyPostponed {
		// A client that announces a body and sends none of it gets no memory for it.
		var err error
		if stream, err = awaitFirstByte(stream); err != nil {
			return nil, c.ReadError(err)
		}
	}
	b, err := buffer.Read(context.Background(), c.holder, stream, buffer.Options{
		Kind: memory.Bodies, Length: ctx.Request.Header.ContentLength(), Limit: limit, MaxWait: memoryWait,
	})
	if err == nil {
		c.bodyUnread = false
		return b, nil
	}
	b.Release()
	if errors.Is(err, buffer.ErrTooLarge) {
		return nil, err
	}
	return nil, c.ReadError(err)
}

// awaitFirstByte waits for the first byte of r and returns a reader of all bytes.
func awaitFirstByte(r io.Reader) (io.Reader, error) {
	first := make([]byte, 1)
	if _, err := io.ReadFull(r, first); err != nil {
		return nil, err
	}
	return io.MultiReader(bytes.NewReader(first), r), nil
}

// ReadError returns the reason why a request could not be read, with err as its
// detail.
func (c *Conn) ReadError(err error) error {
	var netErr net.Error
	var bufferErr *fasthttp.ErrSmallBuffer
	reason := ErrMalformed
	switch {
	case c.Evicted(), errors.Is(err, memory.ErrEvicted), errors.Is(err, memory.ErrFull):
		reason = ErrNoMemory
	case errors.As(err, &bufferErr):
		reason = ErrHeaderTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		reason = ErrTimeout
	}
	return &readError{reason: reason, cause: err}
}

// readError is a reason why a request cannot be read. Its cause is no part of the chain
// of errors: an error of the connection could be taken for one of another kind.
type readError struct{ reason, cause error }

func (e *readError) Error() string { return "failed to read the request: " + e.cause.Error() }
func (e *readError) Unwrap() error { return e.reason }

// rawContentLength returns the length in a header as it was received; 0 if it has
// none.
func rawContentLength(raw []byte) int {
	for line := range bytes.Lines(raw) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) {
			n, _ := strconv.Atoi(string(bytes.TrimSpace(value))) // fasthttp has checked it
			return n
		}
	}
	return 0
}
