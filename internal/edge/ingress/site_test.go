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
	at        = "10.0.0.1:80"
	idleLimit = 5 * time.Second
)

// counts counts the connections that the server closed by reason.
type counts struct{ idle, inFlight atomic.Int64 }

// ConnectionClosed implements ingress.Metrics.
func (c *counts) ConnectionClosed(reason ingress.CloseReason) {
	switch reason {
	case ingress.CloseIdle:
		c.idle.Add(1)
	case ingress.CloseInFlight:
		c.inFlight.Add(1)
	}
}

// site is a server on a network in memory, with a handler that takes a while.
type site struct {
	t       *testing.T
	network *network.Network
	server  *ingress.Server
	catalog atomic.Pointer[catalog.Catalog]
	done    chan error
	stopped sync.Once
	closed  counts

	// late is how late connections, and what was read from them, are handed on, as
	// by goroutines that wait for the processor.
	late time.Duration

	accepted atomic.Int64

	mu   sync.Mutex
	seen map[string]bool
}

const (
	// handlerTime is what a request takes.
	handlerTime = 20 * time.Millisecond
	slow        = "/slow"
	broken      = "/broken"
	refused     = "/refused"
)

// play runs the script on a site in fake time.
func play(t *testing.T, late time.Duration, script func(s *site)) {
	bubble.Run(t, func(t *testing.T) {
		s := &site{t: t, network: network.New(), seen: make(map[string]bool), done: make(chan error, 1), late: late}
		s.limit(idleLimit)
		s.server = ingress.New(ingress.Parts{
			Handler: http.HandlerFunc(s.serve), Catalog: s.catalog.Load, Metrics: &s.closed,
			Logger: slog.New(slog.DiscardHandler), Now: time.Now,
		})
		listener, err := s.network.Listen(at)
		require.NoError(t, err)
		go func() { s.done <- s.server.Serve(lateListener{Listener: listener, site: s}) }()
		defer s.stop()
		script(s)
	})
}

// stop ends the server once.
func (s *site) stop() {
	s.stopped.Do(func() {
		require.NoError(s.t, s.server.Stop(s.t.Context()))
		require.NoError(s.t, <-s.done)
	})
}

// limit puts a configuration with the idle limit in force.
func (s *site) limit(d time.Duration) { s.limits(catalog.Limits{IdleTimeout: d}) }

// limits puts a configuration with the limits in force.
func (s *site) limits(l catalog.Limits) {
	s.catalog.Store(catalog.New(catalog.Content{Limits: l}))
}

// serve answers after a while, a request for slow after more than the idle limit,
// unless the request's context ends.
func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	takes := handlerTime
	switch r.URL.Path {
	case slow:
		takes = 2 * idleLimit
	case broken:
		panic(http.ErrAbortHandler)
	case refused:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(takes):
	}
	_, _ = io.WriteString(w, "whole")
}

// lateListener notes the requests that its connections read, and hands them on
// late.
type lateListener struct {
	net.Listener
	site *site
}

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.site.accepted.Add(1)
	bubble.Pass(l.site.late)
	return lateConn{Conn: conn, site: l.site}, nil
}

type lateConn struct {
	net.Conn
	site *site
}

// Read implements net.Conn.
func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.site.sawRead(string(p[:n]))
		bubble.Pass(c.site.late)
	}
	return n, err
}

// sawRead notes the paths of whole requests.
func (s *site) sawRead(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, header := range strings.SplitAfter(text, "\r\n\r\n") {
		fields := strings.Fields(header)
		if strings.HasSuffix(header, "\r\n\r\n") && len(fields) > 1 {
			s.seen[fields[1]] = true
		}
	}
}

func (s *site) wasRead(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[path]
}

// caller has one connection to the site.
type caller struct {
	site   *site
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

func (s *site) dial() *caller {
	c := s.tryDial()
	require.NotNil(s.t, c)
	return c
}

// tryDial returns nil if nothing listens.
func (s *site) tryDial() *caller {
	conn, err := s.network.DialContext(s.t.Context(), "tcp", at)
	if err != nil {
		return nil
	}
	return &caller{site: s, conn: conn, reader: bufio.NewReader(conn)}
}

// call sends a request and returns its path, and an error if it got no answer.
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

// read reads a whole answer.
func (c *caller) read() error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && string(body) != "whole" {
		err = errors.New("another body")
	}
	return errors.Join(err, response.Body.Close())
}

// lost tells whether a request was read and got no answer.
func (c *caller) lost(path string, err error) bool { return err != nil && c.site.wasRead(path) }
