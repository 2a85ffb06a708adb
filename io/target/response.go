package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrUnframed reports a response with neither a content length nor chunks. A
// complete body of it cannot be told from a truncated one.
var ErrUnframed = errors.New("target: response has neither a content length nor chunks")

// Response is the response of a target to one request. Read returns io.EOF only
// after the whole body has arrived.
type Response struct {
	client        *Client
	ctx           context.Context // of Do; the body is read after Do has returned
	address       string
	conn          *conn
	message       *fasthttp.Response
	body          io.Reader
	stopAfterFunc func() bool
	complete      bool
	closed        bool
	// allowUnframed accepts a body that ends when the connection is closed.
	allowUnframed bool
}

// Message returns the response with its header, without the body. It is valid
// until Close.
func (r *Response) Message() *fasthttp.Response { return r.message }

// discard reads the rest of a response that is not used.
func (r *Response) discard() error {
	if r.body == nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.body, maxDiscardedBody)); err != nil && !AtEnd(err) {
		return err
	}
	return r.message.CloseBodyStream()
}

// maxDiscardedBody bounds the body that discard reads, in bytes.
const maxDiscardedBody = 1 << 20

// MarkProgress records that the target made progress, see CallOptions.StallTimeout.
func (r *Response) MarkProgress() { r.conn.progressAt = time.Now() }

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.message.StatusCode() }

// ContentType returns the value of the header Content-Type.
func (r *Response) ContentType() string { return string(r.message.Header.ContentType()) }

// Headers iterates over the response headers. The slices are valid until Close.
func (r *Response) Headers() iter.Seq2[[]byte, []byte] { return r.message.Header.All() }

// HasFraming reports whether the body has a content length or chunks, so that a
// truncated body can be detected.
func (r *Response) HasFraming() bool {
	return r.message.Header.ContentLength() != identityLength
}

// Length returns the length of the body, or a negative number if it is not known.
func (r *Response) Length() int {
	if r.body == nil {
		return 0
	}
	return r.message.Header.ContentLength()
}

// identityLength is the content length that fasthttp reports for a body that
// ends when the connection is closed.
const identityLength = -2

// Read implements io.Reader.
func (r *Response) Read(p []byte) (int, error) {
	if r.body == nil {
		r.complete = true
		return 0, io.EOF
	}
	n, err := r.body.Read(p)
	if err == nil {
		return n, nil
	}
	if AtEnd(err) {
		if !r.HasFraming() && !r.allowUnframed {
			return n, fmt.Errorf("%w: %w", ErrBroken, ErrUnframed)
		}
		r.complete = true
		return n, io.EOF
	}
	return n, r.conn.classify(r.ctx, err)
}

// AtEnd reports whether err marks the regular end of a body or stream. An error
// that also wraps io.ErrUnexpectedEOF marks a truncated one.
func AtEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// ReadAll reads the whole body. It fails if the body exceeds limit bytes.
func (r *Response) ReadAll(limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, fmt.Errorf("%w: response body larger than %d bytes", ErrBroken, limit)
	}
	return body, nil
}

// Close ends the exchange. The connection is kept for reuse only if the whole
// response was read and the target allows reuse. Otherwise it is closed, which
// cancels a running request at the target.
func (r *Response) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	stopped := r.stopAfterFunc()
	reusable := r.complete && stopped && r.HasFraming() && !r.message.ConnectionClose() &&
		r.conn.reader.Buffered() == 0 && r.conn.checked.Clean()
	if r.body != nil && r.complete {
		_ = r.message.CloseBodyStream()
	}
	if !reusable {
		// The stream of an incomplete body is left to the garbage collector:
		// closing it would read the rest from a connection that may block.
		_ = r.conn.Close()
		return nil
	}
	fasthttp.ReleaseResponse(r.message)
	r.client.release(r.address, r.conn)
	return nil
}
