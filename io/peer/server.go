package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mimosarelay/io/peer/peerpb"
)

// serverIdle closes a connection on which no RPC arrives for this long. It
// exceeds the default idle time of clients, so that the client closes an
// unused connection first and never sends a request to a closing one.
const serverIdle = 3 * defaultIdleTimeout

// Listen opens a listener on an IP:port address. A non-nil config adds TLS; for
// mutual TLS it sets ClientAuth to tls.RequireAndVerifyClientCert.
func Listen(address string, config *tls.Config) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if config == nil {
		return l, nil
	}
	return tls.NewListener(l, config), nil
}

// Serve answers the RPCs of peers until ctx ends, closes the listener and
// waits for the running handlers, whose context ends with ctx.
func Serve(ctx context.Context, listener net.Listener, handler peerpb.DRPCPeerServer) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	options := drpcserver.Options{Manager: managerOptions(), Log: logConnectionError}
	options.Manager.InactivityTimeout = serverIdle
	server := drpcserver.NewWithOptions(mux, options)
	if err := server.Serve(ctx, &deadlineListener{listener}); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

func logConnectionError(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return
	}
	slog.Debug("peer connection ended", "error", err)
}

// deadlineListener bounds the writes of the connections it accepts.
type deadlineListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: conn, timeout: defaultWriteTimeout}, nil
}
