package framing

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport sends requests over an http.Transport. It rejects malformed responses, and truncated
// ones end with an error.
type Transport struct{ inner *http.Transport }

// NewTransport wraps a transport that has a DialContext and is not in use yet.
func NewTransport(inner *http.Transport) *Transport {
	dial := inner.DialContext
	inner.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: NewConn(c)}, nil
	}
	return &Transport{inner: inner}
}

// RoundTrip implements http.RoundTripper. It returns a Malformed error if the response is not valid
// HTTP/1.x; the request may have been executed.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	// The inner transport may retry on another connection.
	var used atomic.Pointer[checkedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.begin()
			used.Store(c)
		}
	}}
	response, err := t.inner.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if c := used.Load(); c != nil {
		if err := c.headError(); err != nil {
			_ = response.Body.Close()
			return nil, err
		}
	}
	return response, nil
}

// CloseIdleConnections closes idle connections. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// checkedConn validates the response heads that are read from it.
type checkedConn struct {
	*Conn

	mu sync.Mutex
	// head is the head that is being read, or nil, and err the error of a malformed one.
	head *Head
	err  error
}

// begin starts the validation of the response to the next request.
func (c *checkedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.err = &Head{}, nil
}

// Read implements net.Conn. It does not return the error of a malformed head: on a reused
// connection the transport would retry the request.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.check(p[:n])
	return n, err
}

func (c *checkedConn) check(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.head != nil && len(p) > 0 {
		n, err := c.head.Check(p)
		p = p[n:]
		switch {
		case err != nil:
			c.head, c.err = nil, err
		case c.head.Done() && c.head.Status() >= http.StatusOK:
			c.head = nil
		case c.head.Done():
			c.head = &Head{}
		}
	}
}

// headError returns the error of a malformed head since begin.
func (c *checkedConn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
