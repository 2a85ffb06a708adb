package ingress

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/model"
)

// checkFraming refuses requests whose end is ambiguous. If a target parsed the
// length differently, a caller could smuggle a second request in the body of the
// first.
func checkFraming(r *fasthttp.Request) error {
	lengths, encodings := 0, 0
	for line := range bytes.SplitSeq(r.Header.RawHeaders(), []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		if line[len(line)-1] != '\r' {
			return framingError("a header line does not end with CRLF")
		}
		line = line[:len(line)-1]
		if len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return framingError("a header field is folded")
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r\x00") {
			return framingError("a header field has no valid name")
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if lengths > 1 || encodings > 1 || lengths+encodings > 1 {
		return framingError("the length of the body is given more than once")
	}
	if uri := r.RequestURI(); len(uri) == 0 || uri[0] != '/' {
		return framingError("the request target is not a path")
	}
	return nil
}

func framingError(detail string) error {
	return model.NewRefusal(model.ErrBadRequest, model.RanNo, "%s", detail)
}

// requestPath returns the path of a request target without its query.
func requestPath(uri []byte) string {
	path, _, _ := bytes.Cut(uri, []byte("?"))
	return string(path)
}
