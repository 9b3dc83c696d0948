package framing

import (
	"context"
	"net"
	"net/http"
)

// NewTransport returns the transport with connections on which a reset is no end of an answer. The
// transport must have a DialContext, and not be in use yet.
func NewTransport(t *http.Transport) *http.Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return t
}
