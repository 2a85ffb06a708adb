package relay

import (
	"bytes"
	"io"
)

// newBytesBody returns a body that is whole already.
func newBytesBody(body []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(body))
}
