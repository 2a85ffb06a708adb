// Package http1 checks the responses that an HTTP/1.1 client receives against
// RFC 9112, sections 4 to 7, on the bytes as received. HTTP libraries repair
// malformed responses, each in its own way, so that a body or a header field may
// reach a caller that the server never sent.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// ErrMalformed reports a response whose head or framing is not valid.
var ErrMalformed = errors.New("malformed response")

// ErrCut reports a connection that ended within a response. It wraps
// io.ErrUnexpectedEOF.
var ErrCut = fmt.Errorf("connection ended within a response: %w", io.ErrUnexpectedEOF)

const (
	// maxHead limits the bytes of a response head, and of the trailers of a response. It
	// is the largest head that the readers above a Conn accept.
	maxHead = 16 << 10
	// maxInterim limits the informational responses before a final one.
	maxInterim = 8
	// maxLengthDigits keeps a content length below 2^63.
	maxLengthDigits = 18
	statusDigits    = 3
)

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// bodyKind is how the end of a body is found, see RFC 9112 section 6.3.
type bodyKind int

const (
	bodyNone    bodyKind = iota
	bodyLength           // a content length
	bodyChunked          // the chunked transfer coding
	bodyToClose          // until the connection is closed
)

// head is the part of a response head that decides on the body.
type head struct {
	status   int
	http10   bool
	length   int64 // -1 without a content length
	chunked  bool
	hasLines bool // the status line was read
}

// interim reports whether another response to the same request follows.
func (h *head) interim() bool { return h.status < fasthttp.StatusOK }

// addLine checks one line of a head without its line end.
func (h *head) addLine(line []byte) error {
	if !h.hasLines {
		h.hasLines, h.length = true, -1
		return h.parseStatusLine(line)
	}
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		return h.setLength(value)
	case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		if h.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return malformed("transfer coding %q", value)
		}
		h.chunked = true
	}
	return nil
}

// parseStatusLine checks a status line. RFC 9112 section 4 allows a client to accept
// one that ends after the status code without the space; the phrase is not forwarded.
func (h *head) parseStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.http10 = true
	default:
		return malformed("version %.20q", version)
	}
	code, phrase, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != statusDigits || code[0] < '1' || code[0] > '5' {
		return malformed("status %.20q", code)
	}
	if status == fasthttp.StatusSwitchingProtocols {
		return malformed("a change of the protocol that was not requested")
	}
	if !isText(phrase) {
		return malformed("control character in the status line")
	}
	h.status = status
	return nil
}

// parseField checks a field line of a head or of trailers. A folded line and a space
// before the colon are not repaired, although RFC 9112 section 5 allows that.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, malformed("field name %.40q", name)
	}
	if !isText(value) {
		return nil, nil, malformed("value of field %q", name)
	}
	return name, bytes.Trim(value, " \t"), nil
}

func (h *head) setLength(value []byte) error {
	if h.length >= 0 {
		return malformed("more than one content length")
	}
	if len(value) == 0 || len(value) > maxLengthDigits || len(bytes.Trim(value, "0123456789")) > 0 {
		return malformed("content length %.40q", value)
	}
	length, err := strconv.ParseInt(string(value), 10, 64)
	h.length = length
	return err
}

// body returns how the body of a complete head ends. toHead says that the response
// answers a HEAD request.
func (h *head) body(toHead bool) (bodyKind, error) {
	empty := h.interim() || h.status == fasthttp.StatusNoContent
	switch {
	case h.chunked && h.length >= 0:
		return bodyNone, malformed("both a content length and a transfer coding")
	case h.chunked && (h.http10 || empty):
		return bodyNone, malformed("transfer coding in a response that has none")
	case empty && h.length > 0:
		return bodyNone, malformed("content length %d in a response with status %d", h.length, h.status)
	case empty, toHead, h.status == fasthttp.StatusNotModified:
		return bodyNone, nil
	case h.chunked:
		return bodyChunked, nil
	case h.length >= 0:
		return bodyLength, nil
	}
	return bodyToClose, nil
}
