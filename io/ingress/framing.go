package ingress

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/model"
	"mimosarelay/io/rawhead"
)

// checkFraming refuses requests whose end is ambiguous, see rawhead.Check.
func checkFraming(r *fasthttp.Request) error {
	if err := rawhead.Check(r); err != nil {
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "%v", err)
	}
	return nil
}

// requestPath returns the path of a request target without its query.
func requestPath(target []byte) string {
	path, _, _ := bytes.Cut(target, []byte("?"))
	return string(path)
}
