package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/dial"
)

const (
	// maxInternalConnections bounds the open connections of each port that is not for callers. The
	// platform's checks and readers of metrics need a few.
	maxInternalConnections = 64
	// maxInternalHeaderBytes bounds the headers there, and internalIdleTimeout the time between two
	// requests of a connection.
	maxInternalHeaderBytes = 16 << 10
	internalIdleTimeout    = 30 * time.Second
)

// serveHTTP serves a port that is not for callers until the context ends.
func (g *Gateway) serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := g.listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: dial.Timeout, IdleTimeout: internalIdleTimeout, MaxHeaderBytes: maxInternalHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(newBoundedListener(listener, maxInternalConnections)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// boundedListener closes new connections while as many as it allows are open.
type boundedListener struct {
	net.Listener
	open chan struct{}
}

func newBoundedListener(l net.Listener, limit int) *boundedListener {
	return &boundedListener{Listener: l, open: make(chan struct{}, limit)}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &boundedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.open })}, nil
		default:
			_ = conn.Close()
		}
	}
}

type boundedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
