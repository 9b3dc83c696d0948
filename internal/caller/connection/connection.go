// Package connection makes an answer that breaks off visible to callers who are told its end
// by the end of their connection alone, as callers of HTTP/1.0 are.
package connection

import (
	"context"
	"net"
	"net/http"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("connection")

// NoReset means that the end of the connection cannot be made a reset, so that an answer
// without a length must not be begun on it.
var NoReset = namespace.NewType("no-reset")

// systemLinger restores the system's default: bytes that were written are still sent after
// the connection was closed.
const systemLinger = -1

type contextKey struct{}

// NewContext stores a connection in the contexts of its requests. It can be used as
// ConnContext of a http.Server.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Ending is how the caller of one request is told the end of its answer.
type Ending struct {
	byConnection bool
	conn         net.Conn
}

// EndingOf returns the ending of the request's answer. A server whose connections are not in
// the contexts of their requests cannot answer callers of HTTP/1.0 without a length.
func EndingOf(r *http.Request) Ending {
	c, _ := r.Context().Value(contextKey{}).(net.Conn)
	return Ending{byConnection: !r.ProtoAtLeast(1, 1), conn: c}
}

// Begin is called before the first byte of an answer without a stated length. From then on
// the connection is reset when it is closed, also when the process ends.
func (e Ending) Begin() error { return e.setLinger(0) }

// Complete is called when the whole answer has been written.
func (e Ending) Complete() error { return e.setLinger(systemLinger) }

func (e Ending) setLinger(seconds int) error {
	if !e.byConnection {
		return nil
	}
	conn, ok := e.conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return NoReset.New("connection of type %T cannot be reset; send the request with HTTP/1.1", e.conn)
	}
	if err := conn.SetLinger(seconds); err != nil {
		return NoReset.Wrap(err, "cannot set what closing the connection does; send the request with HTTP/1.1")
	}
	return nil
}
