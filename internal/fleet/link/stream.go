// Package link transports envelopes between two processes of the system: one
// yamux session over TCP for each pair, one stream for each request. Whether a
// session works is judged by progress on its streams, not by the socket's state.
package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

var namespace = errorx.NewNamespace("link")

// Errors of this package.
var (
	// Refused: no session could be established, so nothing was delivered.
	Refused = namespace.NewType("refused")
	// Silent: nothing was received before the deadline.
	Silent = namespace.NewType("silent")
	// Broken: the stream ended or its data cannot be decoded.
	Broken = namespace.NewType("broken")
	// TooLarge: an envelope was not sent because the other side would not read it. The stream can
	// be used on, and all other envelopes were sent.
	TooLarge = namespace.NewType("too-large")
)

const (
	// MaxFrame bounds the size of one envelope in bytes; a request's body must fit.
	MaxFrame = 2 << 20
	// readBufferSize and writeBufferSize are in bytes for each stream.
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
)

// Stream is an ordered, bidirectional sequence of envelopes. It is safe for one
// reader and several writers.
type Stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	session uint64
	// onMessage is called for each message that was received; it may be nil.
	onMessage func()

	mu     sync.Mutex
	writer *bufio.Writer
}

// NewStream wraps the connection of one stream. Session is the number of the session
// that it belongs to, for Pool.Replace.
func NewStream(conn net.Conn, session uint64) *Stream {
	return &Stream{
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, readBufferSize),
		writer:  bufio.NewWriterSize(conn, writeBufferSize),
		session: session,
	}
}

// Session returns the number of the session the stream belongs to.
func (s *Stream) Session() uint64 { return s.session }

// Send writes the envelopes before the deadline, but for those of more than MaxFrame bytes.
func (s *Stream) Send(deadline time.Time, envelopes ...*wire.Envelope) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.conn.SetWriteDeadline(deadline); err != nil {
		return Broken.Wrap(err, "set a write deadline; open a new stream")
	}
	var tooLarge error
	for _, envelope := range envelopes {
		raw, err := proto.Marshal(envelope)
		if err == nil && len(raw) > MaxFrame {
			tooLarge = TooLarge.New("a message of %d bytes (%T) was not sent, as at most %d are read; send less at a time", len(raw), envelope.GetBody(), MaxFrame)
			continue
		}
		if err == nil {
			err = s.writeFrame(raw)
		}
		if err != nil {
			return Broken.Wrap(err, "write a message; open a new stream")
		}
	}
	if err := s.writer.Flush(); err != nil {
		return Broken.Wrap(err, "write a message; open a new stream")
	}
	return tooLarge
}

// writeFrame writes an encoded envelope after its size.
func (s *Stream) writeFrame(raw []byte) error {
	var size [binary.MaxVarintLen64]byte
	if _, err := s.writer.Write(binary.AppendUvarint(size[:0], uint64(len(raw)))); err != nil {
		return err
	}
	_, err := s.writer.Write(raw)
	return err
}

// Receive reads one envelope before the deadline. After any error, also after a
// deadline that passed in the middle of a message, the stream is unusable.
func (s *Stream) Receive(deadline time.Time) (*wire.Envelope, error) {
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return nil, Broken.Wrap(err, "set a read deadline; open a new stream")
	}
	envelope, err := Decode(s.reader)
	if err == nil {
		if s.onMessage != nil && envelope.GetBody() != nil {
			s.onMessage()
		}
		return envelope, nil
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return nil, Silent.Wrap(err, "no message before the deadline; retry on a new session")
	}
	return nil, Broken.Wrap(err, "read a message; open a new stream")
}

// Decode reads one envelope of at most MaxFrame bytes. Memory is taken as they arrive, whatever
// size is stated.
func Decode(reader *bufio.Reader) (*wire.Envelope, error) {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if size > MaxFrame {
		return nil, &protodelim.SizeTooLargeError{Size: size, MaxSize: MaxFrame}
	}
	envelope := &wire.Envelope{}
	if int(size) <= reader.Size() {
		raw, err := reader.Peek(int(size))
		if err != nil {
			return nil, unexpectedEnd(err)
		}
		if err := proto.Unmarshal(raw, envelope); err != nil {
			return nil, err
		}
		_, err = reader.Discard(int(size))
		return envelope, err
	}
	var raw bytes.Buffer
	if _, err := io.CopyN(&raw, reader, int64(size)); err != nil {
		return nil, unexpectedEnd(err)
	}
	if err := proto.Unmarshal(raw.Bytes(), envelope); err != nil {
		return nil, err
	}
	return envelope, nil
}

// unexpectedEnd returns the error of a message that ends before its size.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close closes the stream in both directions.
func (s *Stream) Close() error { return s.conn.Close() }
