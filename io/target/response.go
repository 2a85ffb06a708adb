package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"

	"github.com/valyala/fasthttp"
)

// ErrUnbounded reports a response whose end cannot be verified, because it has
// neither a length nor chunks.
var ErrUnframed = errors.New("target: response without length")

// Response is one response of a target. Read returns io.EOF only after the
// whole body arrived.
type Response struct {
	client        *Client
	ctx           context.Context // the response outlives Do
	address       string
	conn          *conn
	message       *fasthttp.Response
	body          io.Reader
	stopAfterFunc func() bool
	complete      bool
	closed        bool
	// unframed accepts a body that ends with its connection.
	allowUnframed bool
}

// Message is the response header. It is valid until Close.
func (r *Response) Message() *fasthttp.Response { return r.message }

// drop reads the rest of a response that nobody wants.
func (r *Response) discard() error {
	if r.body == nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.body, maxDiscardedBody)); err != nil && !AtEnd(err) {
		return err
	}
	return r.message.CloseBodyStream()
}

// maxDropped bounds the body of a response that is dropped, in bytes.
const maxDiscardedBody = 1 << 20

// Status is the HTTP status code.
func (r *Response) Status() int { return r.message.StatusCode() }

// ContentType is the value of the header Content-Type.
func (r *Response) ContentType() string { return string(r.message.Header.ContentType()) }

// Headers iterates over the response headers. The slices are valid until Close.
func (r *Response) Headers() iter.Seq2[[]byte, []byte] { return r.message.Header.All() }

// Verifiable says whether the end of the body can be told from a cut.
func (r *Response) HasFraming() bool {
	return r.message.Header.ContentLength() != identityLength
}

// identityLength is fasthttp's content length of a body that ends with the
// connection.
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

// AtEnd says whether a read reached the end of a whole body or stream. An error
// that also wraps io.ErrUnexpectedEOF marks one that was cut.
func AtEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// ReadAll reads the whole body, up to limit bytes.
func (r *Response) ReadAll(limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, fmt.Errorf("%w: response larger than %d bytes", ErrBroken, limit)
	}
	return body, nil
}

// Close ends the exchange. The connection is kept for reuse only if the whole
// response was read; otherwise it is closed, which cancels the request at the
// target.
func (r *Response) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	stopped := r.stopAfterFunc()
	reusable := r.complete && stopped && r.HasFraming() && !r.message.ConnectionClose() && r.conn.reader.Buffered() == 0
	if r.body != nil && r.complete {
		_ = r.message.CloseBodyStream()
	}
	if !reusable {
		// The stream of an incomplete body is left to the garbage collector:
		// closing it would read on from a connection that may be silent.
		_ = r.conn.Close()
		return nil
	}
	fasthttp.ReleaseResponse(r.message)
	r.client.release(r.address, r.conn)
	return nil
}
