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

// serverIdle is the time without an RPC after which the server closes a
// connection. It exceeds the default idle timeout of clients, so that the client
// closes an idle connection first and sends no request on a connection that the
// server is closing.
const serverIdle = 3 * defaultIdleTimeout

// Listen opens a listener on an IP:port address, with TLS if config is not nil.
// For mutual TLS, config must set ClientAuth to tls.RequireAndVerifyClientCert.
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

// Serve handles the RPCs of peers until ctx ends. It then closes the listener and
// waits for the running handlers, whose contexts end with ctx.
func Serve(ctx context.Context, listener net.Listener, handler peerpb.DRPCPeerServer) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	options := drpcserver.Options{Manager: managerOptions(), Log: logConnectionError}
	options.Manager.InactivityTimeout = serverIdle
	server := drpcserver.NewWithOptions(mux, options)
	if err := server.Serve(ctx, &deadlineListener{listener}); err != nil {
		return fmt.Errorf("serve peer RPCs: %w", err)
	}
	return nil
}

func logConnectionError(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return
	}
	slog.Debug("peer connection ended with an error", "error", err)
}

// deadlineListener sets a deadline for each write on accepted connections.
type deadlineListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: conn, timeout: defaultWriteTimeout}, nil
}
