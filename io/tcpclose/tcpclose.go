// Package tcpclose closes TCP connections on which the last response was sent
// before the client had sent its whole request.
package tcpclose

import (
	"io"
	"net"
	"time"
)

// lingerTime and lingerBytes limit what is read from the client before the
// connection is closed. Closing at once would reset the connection while the
// client still sends, and it would not receive the response.
const (
	lingerTime  = time.Second
	lingerBytes = 8 << 20
)

// Linger closes conn for writing, reads and discards what the client still sends,
// for at most 1 s and 8 MiB, and closes conn. A connection that cannot be closed
// for writing only is closed at once.
func Linger(conn net.Conn) error {
	if hc, ok := conn.(interface{ CloseWrite() error }); ok && hc.CloseWrite() == nil {
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, conn, lingerBytes)
	}
	return conn.Close()
}
