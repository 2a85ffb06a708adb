package ingress

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/model"
)

// checkFraming refuses requests whose end another parser might see elsewhere,
// which would let a caller hide a second request in the first.
func checkFraming(r *fasthttp.Request) error {
	lengths, chunked := 0, 0
	for line := range bytes.SplitSeq(r.Header.RawHeaders(), []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		if line[len(line)-1] != '\r' {
			return badFraming("a line of the header ends without CR")
		}
		line = line[:len(line)-1]
		if len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return badFraming("a header field is folded")
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r\x00") {
			return badFraming("a header field has no proper name")
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			chunked++
		}
	}
	if lengths > 1 || chunked > 1 || lengths+chunked > 1 {
		return badFraming("the length is given more than once")
	}
	if uri := r.RequestURI(); len(uri) == 0 || uri[0] != '/' {
		return badFraming("the request target is not a path")
	}
	return nil
}

func badFraming(detail string) error {
	return model.NewRefusal(model.ErrBadRequest, model.RanNo, "%s", detail)
}

// pathOf returns the path of a request target without its query.
func pathOf(uri []byte) string {
	path, _, _ := bytes.Cut(uri, []byte("?"))
	return string(path)
}
