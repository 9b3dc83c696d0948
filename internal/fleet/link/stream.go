// Package link carries envelopes between two processes of the system: one
// yamux session over TCP for each pair, one stream for each request. Progress
// on a stream, not the state of a socket, is the evidence that a link lives.
package link

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

var namespace = errorx.NewNamespace("link")

// Errors of this package.
var (
	// Refused: nothing listens at the address, so nothing was delivered.
	Refused = namespace.NewType("refused")
	// Silent: nothing came within the time allowed.
	Silent = namespace.NewType("silent")
	// Broken: the stream ended or its bytes make no sense.
	Broken = namespace.NewType("broken")
)

const (
	// MaxFrame bounds one envelope; a request's body must fit.
	MaxFrame = 2 << 20
	// readBuffer and writeBuffer are per stream.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// Stream is one ordered conversation, safe for one reader and many writers.
type Stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	session uint64

	mu     sync.Mutex
	writer *bufio.Writer
}

// NewStream wraps a connection of one stream. Session numbers the session it
// belongs to, for Pool.Replace.
func NewStream(conn net.Conn, session uint64) *Stream {
	return &Stream{
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, readBuffer),
		writer:  bufio.NewWriterSize(conn, writeBuffer),
		session: session,
	}
}

// Session returns the number of the session the stream belongs to.
func (s *Stream) Session() uint64 { return s.session }

// Send writes the envelopes before the deadline.
func (s *Stream) Send(deadline time.Time, envelopes ...*wire.Envelope) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.conn.SetWriteDeadline(deadline); err != nil {
		return Broken.Wrap(err, "set a write deadline; open a new stream")
	}
	for _, envelope := range envelopes {
		if _, err := protodelim.MarshalTo(s.writer, envelope); err != nil {
			return Broken.Wrap(err, "write a message; open a new stream")
		}
	}
	if err := s.writer.Flush(); err != nil {
		return Broken.Wrap(err, "write a message; open a new stream")
	}
	return nil
}

// Receive reads one envelope before the deadline. A deadline that passes in
// the midst of a message leaves the stream unusable, as any error does.
func (s *Stream) Receive(deadline time.Time) (*wire.Envelope, error) {
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return nil, Broken.Wrap(err, "set a read deadline; open a new stream")
	}
	envelope, err := Decode(s.reader)
	if err == nil {
		return envelope, nil
	}
	var failure net.Error
	if errors.As(err, &failure) && failure.Timeout() {
		return nil, Silent.Wrap(err, "nothing came in time; ask again on a new link")
	}
	return nil, Broken.Wrap(err, "read a message; open a new stream")
}

// Decode reads one envelope, at most MaxFrame long.
func Decode(reader protodelim.Reader) (*wire.Envelope, error) {
	envelope := &wire.Envelope{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrame}
	if err := options.UnmarshalFrom(reader, envelope); err != nil {
		return nil, err
	}
	return envelope, nil
}

// Close ends the stream in both directions.
func (s *Stream) Close() error { return s.conn.Close() }
