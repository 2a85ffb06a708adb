package relay

import "strings"

// requestHeaders are the caller's header fields that targets get to see. An
// allowlist, because a denylist would let through a key in a field nobody
// thought of.
var requestHeaders = map[string]bool{
	"accept":          true,
	"accept-language": true,
	"content-type":    true,
	"traceparent":     true,
	"tracestate":      true,
}

// responseHeaders are the target's header fields that callers get to see.
var responseHeaders = map[string]bool{
	"content-type":     true,
	"content-language": true,
	"etag":             true,
	"last-modified":    true,
	"location":         true,
	"retry-after":      true,
}

// PassRequestHeader says whether targets may see a caller's header field.
func PassRequestHeader(name string) bool {
	return requestHeaders[strings.ToLower(name)]
}

// PassResponseHeader says whether callers may see a target's header field.
func PassResponseHeader(name string) bool {
	return responseHeaders[strings.ToLower(name)]
}
