// Package tcpclose ends TCP connections whose last answer was sent before the
// peer had sent its whole request.
package tcpclose

import (
	"io"
	"net"
	"time"
)

// lingerTime and lingerBytes bound what is read from the peer. Closing at once
// would reset the connection while the peer sends, and it would not see the
// answer.
const (
	lingerTime  = time.Second
	lingerBytes = 8 << 20
)

// Linger closes conn for writing, reads for a moment what the peer still sends
// and closes conn. A connection that can't be closed for writing alone is closed
// at once.
func Linger(conn net.Conn) error {
	if hc, ok := conn.(interface{ CloseWrite() error }); ok && hc.CloseWrite() == nil {
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, conn, lingerBytes)
	}
	return conn.Close()
}
