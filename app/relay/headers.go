package relay

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// requestHeaders are the header fields of callers that are forwarded to targets.
// It is an allowlist because a denylist would let through credentials in a field
// that it does not list.
var requestHeaders = map[string]bool{
	"accept":          true,
	"accept-language": true,
	"content-type":    true,
	"traceparent":     true,
	"tracestate":      true,
}

// responseHeaders are the header fields of targets that are returned to callers.
var responseHeaders = map[string]bool{
	"content-type":     true,
	"content-language": true,
	"etag":             true,
	"last-modified":    true,
	"location":         true,
	"retry-after":      true,
}

// PassRequestHeader reports whether a caller's header field is forwarded to
// targets.
func PassRequestHeader(name string) bool {
	return requestHeaders[strings.ToLower(name)]
}

// PassResponseHeader reports whether a target's header field is returned to
// callers.
func PassResponseHeader(name string) bool {
	return responseHeaders[strings.ToLower(name)]
}

// beginHead sets the method and the request target of a request whose header fields
// are written as they are added. Without DisableSpecialHeader fasthttp would parse
// cookies and write them again, and keep only the last of some repeated fields.
func beginHead(r *fasthttp.Request, method, requestTarget string) {
	r.Header.DisableNormalizing()
	r.Header.DisableSpecialHeader()
	r.Header.SetMethod(method)
	r.Header.SetRequestURI(requestTarget)
}

// addHeader adds a header field to a request. fasthttp finds the field Host only in
// this spelling.
func addHeader(r *fasthttp.RequestHeader, h Header) {
	if strings.EqualFold(h.Name, fasthttp.HeaderHost) {
		h.Name = fasthttp.HeaderHost
	}
	r.Add(h.Name, h.Value)
}
