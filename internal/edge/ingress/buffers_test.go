package ingress_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// bufferSize returns what the kernel may allocate for a buffer of a connection.
func bufferSize(t *testing.T, c net.Conn, option int) int {
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	size := 0
	require.NoError(t, raw.Control(func(fd uintptr) {
		size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, option)
	}))
	require.NoError(t, err)
	return size
}

// Guards against buffers that the kernel lets grow to megabytes for each connection, and against
// ones that stay large after a request with a large body or answer.
func TestBuffersOfConnectionsAreBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ingress.LimitBuffers(listener))
	sizes := make(chan [2]int, 10)
	server := ingress.New(ingress.Dependencies{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn := ingress.ConnOf(r.Context())
			if r.URL.Path == "/large" {
				require.NoError(t, conn.EnlargeReceiveBuffer())
				require.NoError(t, conn.EnlargeSendBuffer())
			}
			sizes <- [2]int{bufferSize(t, conn.Conn, syscall.SO_RCVBUF), bufferSize(t, conn.Conn, syscall.SO_SNDBUF)}
			_, _ = io.WriteString(w, "whole")
		}),
		Catalog: func() *catalog.Catalog { return nil }, Metrics: new(closedCounts), Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	const small = 32 << 10
	for _, path := range []string{"/", "/large", "/"} {
		response, err := http.Get("http://" + listener.Addr().String() + path)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		for _, size := range <-sizes {
			if path == "/large" {
				require.Greater(t, size, small)
				require.LessOrEqual(t, size, ingress.LargeBufferCost)
			} else {
				require.LessOrEqual(t, size, small)
			}
		}
	}
	http.DefaultClient.CloseIdleConnections()
	require.NoError(t, server.Shutdown(t.Context()))
	require.NoError(t, <-done)
}
