package ingress_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	listenAddress = "10.0.0.1:80"
	idleLimit     = 5 * time.Second
)

// closedCounts counts the connections that the server closed by reason.
type closedCounts struct{ idle, inFlight, busy atomic.Int64 }

// ConnectionClosed implements ingress.Metrics.
func (c *closedCounts) ConnectionClosed(reason ingress.CloseReason) {
	switch reason {
	case ingress.CloseIdle:
		c.idle.Add(1)
	case ingress.CloseInFlight:
		c.inFlight.Add(1)
	case ingress.CloseBusy:
		c.busy.Add(1)
	}
}

// fixture is a server on an in-memory network, with a handler that takes
// handlerTime.
type fixture struct {
	t           *testing.T
	network     *network.Network
	server      *ingress.Server
	catalog     atomic.Pointer[catalog.Catalog]
	serveDone   chan error
	stopOnce    sync.Once
	closedConns closedCounts

	// delay is added to each accept and read, as if the goroutine waited for the
	// processor.
	delay time.Duration

	accepted atomic.Int64
	// busy is set while the server takes no new connections.
	busy atomic.Bool
	// handle replaces the handler if it is not nil.
	handle http.HandlerFunc

	mu        sync.Mutex
	readPaths map[string]bool
}

const (
	// handlerTime is how long a request takes.
	handlerTime = 20 * time.Millisecond
	slowPath    = "/slow"
	abortedPath = "/broken"
	refusedPath = "/refused"
)

// runServer runs the script against a server in fake time.
func runServer(t *testing.T, delay time.Duration, script func(f *fixture)) {
	bubble.Run(t, func(t *testing.T) {
		f := &fixture{t: t, network: network.New(), readPaths: make(map[string]bool), serveDone: make(chan error, 1), delay: delay}
		f.setIdleLimit(idleLimit)
		f.server = ingress.New(ingress.Dependencies{
			Handler: http.HandlerFunc(f.serve), Catalog: f.catalog.Load, Metrics: &f.closedConns,
			Logger: slog.New(slog.DiscardHandler), Now: time.Now,
			Take: func(time.Time) bool { return !f.busy.Load() },
		})
		listener, err := f.network.Listen(listenAddress)
		require.NoError(t, err)
		go func() { f.serveDone <- f.server.Serve(delayedListener{Listener: listener, fixture: f}) }()
		defer f.stop()
		script(f)
	})
}

// stop shuts the server down, once.
func (f *fixture) stop() {
	f.stopOnce.Do(func() {
		require.NoError(f.t, f.server.Shutdown(f.t.Context()))
		require.NoError(f.t, <-f.serveDone)
	})
}

// setIdleLimit activates a configuration with the idle limit.
func (f *fixture) setIdleLimit(d time.Duration) { f.setLimits(catalog.Limits{IdleTimeout: d}) }

// setLimits activates a configuration with the limits.
func (f *fixture) setLimits(l catalog.Limits) {
	f.catalog.Store(catalog.New(catalog.Content{Limits: l}))
}

// serve answers after handlerTime, a request for slow after more than the idle
// limit, unless the request's context ends.
func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	if f.handle != nil {
		f.handle(w, r)
		return
	}
	duration := handlerTime
	switch r.URL.Path {
	case slowPath:
		duration = 2 * idleLimit
	case abortedPath:
		panic(http.ErrAbortHandler)
	case refusedPath:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(duration):
	}
	_, _ = io.WriteString(w, "whole")
}

// delayedListener records the requests that its connections read, and delays each
// accept and read.
type delayedListener struct {
	net.Listener
	fixture *fixture
}

// Accept implements net.Listener.
func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.fixture.accepted.Add(1)
	bubble.Sleep(l.fixture.delay)
	return delayedConn{Conn: conn, fixture: l.fixture}, nil
}

type delayedConn struct {
	net.Conn
	fixture *fixture
}

// Read implements net.Conn.
func (c delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.fixture.recordRead(string(p[:n]))
		bubble.Sleep(c.fixture.delay)
	}
	return n, err
}

// CloseWrite shuts down the sending side, as that of net.TCPConn.
func (c delayedConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }

// recordRead records the paths of complete requests.
func (f *fixture) recordRead(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, header := range strings.SplitAfter(text, "\r\n\r\n") {
		fields := strings.Fields(header)
		if strings.HasSuffix(header, "\r\n\r\n") && len(fields) > 1 {
			f.readPaths[fields[1]] = true
		}
	}
}

func (f *fixture) wasRead(path string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readPaths[path]
}

// caller is a client with one connection to the server.
type caller struct {
	fixture *fixture
	conn    net.Conn
	reader  *bufio.Reader
	sent    int
}

func (f *fixture) dial() *caller {
	c := f.tryDial()
	require.NotNil(f.t, c)
	return c
}

// tryDial returns nil if the connection is refused.
func (f *fixture) tryDial() *caller {
	conn, err := f.network.DialContext(f.t.Context(), "tcp", listenAddress)
	if err != nil {
		return nil
	}
	return &caller{fixture: f, conn: conn, reader: bufio.NewReader(conn)}
}

// call sends a request and returns its path, and an error if it was not answered.
func (c *caller) call() (path string, err error) {
	c.sent++
	path = fmt.Sprintf("/%p/%d", c, c.sent)
	if err := c.write(request(path)); err != nil {
		return path, err
	}
	return path, c.read()
}

func request(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func (c *caller) write(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// read reads a complete answer.
func (c *caller) read() error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && string(body) != "whole" {
		err = errors.New("unexpected body")
	}
	return errors.Join(err, response.Body.Close())
}

// readButUnanswered reports whether a request was read and not answered.
func (c *caller) readButUnanswered(path string, err error) bool {
	return err != nil && c.fixture.wasRead(path)
}
