// Package rawhead reads the request target and the header fields of a request
// from the bytes that were received. The accessors of fasthttp return normalized
// values: RequestURI of a parsed request decodes escapes and removes dot
// segments, and cookies are parsed and written again.
package rawhead

import (
	"errors"
	"fmt"
	"iter"
	"strings"

	"github.com/valyala/fasthttp"
)

// ErrFraming reports a request whose end is ambiguous or whose target is not a
// path.
var ErrFraming = errors.New("malformed request head")

// Target returns the request target as received. It is valid until the request is
// reset.
func Target(r *fasthttp.Request) []byte { return r.Header.RequestURI() }

// Field is a header field as received, without the whitespace around its value.
type Field struct{ Name, Value string }

// Fields returns the header fields in the order received, repeated ones included.
// They stay valid after the request was reset. Lines that Check refuses are left out.
func Fields(r *fasthttp.Request) []Field {
	raw := string(r.Header.RawHeaders())
	list := make([]Field, 0, strings.Count(raw, "\n"))
	for line := range strings.SplitSeq(raw, "\n") {
		if name, value, err := parseLine(line); err == nil && name != "" {
			list = append(list, Field{Name: name, Value: value})
		}
	}
	return list
}

// Values iterates over the values of a header field in any spelling of its name.
func Values(fields []Field, name string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, f := range fields {
			if strings.EqualFold(f.Name, name) && !yield(f.Value) {
				return
			}
		}
	}
}

// First returns the first value of a header field, or "" if there is none.
func First(fields []Field, name string) string {
	for v := range Values(fields, name) {
		return v
	}
	return ""
}

// whitespace may surround a field value, see RFC 9110 section 5.5.
const whitespace = " \t"

// chunked is the only transfer coding that is accepted. fasthttp also accepts
// identity, which RFC 9112 no longer has, and targets may read it differently.
const chunked = "chunked"

// Check returns ErrFraming for a request whose end is ambiguous. If a target parsed
// the length differently, a caller could smuggle a second request in the body of
// the first.
func Check(r *fasthttp.Request) error {
	lengths, encodings := 0, 0
	for line := range strings.SplitSeq(string(r.Header.RawHeaders()), "\n") {
		name, value, err := parseLine(line)
		if err != nil {
			return err
		}
		switch {
		case strings.EqualFold(name, fasthttp.HeaderContentLength):
			lengths++
			if !isNumber(value) {
				return framingError("the content length is not a number")
			}
		case strings.EqualFold(name, fasthttp.HeaderTransferEncoding):
			encodings++
			if !strings.EqualFold(value, chunked) { // names of codings ignore case, see RFC 9112 section 7
				return framingError("the transfer encoding is not " + chunked)
			}
		}
	}
	if lengths+encodings > 1 {
		return framingError("the length of the body is given more than once")
	}
	if encodings > 0 && !r.Header.IsHTTP11() {
		return framingError("HTTP/1.0 has no transfer encoding")
	}
	if target := Target(r); len(target) == 0 || target[0] != '/' {
		return framingError("the request target is not a path")
	}
	return nil
}

// parseLine splits one line of a header block, which ends with CR. The name is empty
// for the end of the block.
func parseLine(line string) (name, value string, err error) {
	if line == "" {
		return "", "", nil // after the last line end
	}
	line, ok := strings.CutSuffix(line, "\r")
	if !ok {
		return "", "", framingError("a header line does not end with CRLF")
	}
	if line == "" {
		return "", "", nil
	}
	if strings.IndexByte(whitespace, line[0]) >= 0 {
		return "", "", framingError("a header field is folded")
	}
	name, value, ok = strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t\r\x00") {
		return "", "", framingError("a header field has no valid name")
	}
	if strings.ContainsAny(value, "\r\x00") {
		return "", "", framingError("a header field has no valid value")
	}
	return name, strings.Trim(value, whitespace), nil
}

// isNumber reports whether a content length consists of digits only.
func isNumber(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

func framingError(detail string) error { return fmt.Errorf("%w: %s", ErrFraming, detail) }
