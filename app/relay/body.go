package relay

import (
	"bytes"
	"io"
)

// newBytesBody returns the body of an answer that is complete in memory.
func newBytesBody(body []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(body))
}
