package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"slices"
)

const (
	// frameHeaderSize is the size of the multiplexer's frame header: version, type,
	// flags, stream and length.
	frameHeaderSize = 12
	// dataFrame is the type of the frames that a body follows.
	dataFrame = 0
	// maxKeptFrame bounds the buffer that is kept between two frames.
	maxKeptFrame = 16 << 10
	// framePiece is how much of a frame is read at once. Memory is taken as it arrives, whatever
	// length is stated.
	framePiece = 16 << 10
)

// frameConn passes a peer's frames to the multiplexer only once they are complete. The
// multiplexer locks a stream while it reads a frame's body, and a reader of the stream
// would wait for the rest of the body beyond its deadline.
type frameConn struct {
	net.Conn
	reader *bufio.Reader
	// begin is called for each frame; it may be nil.
	begin func() error
	// buffer holds the current frame, and rest the part of it that is not passed on yet.
	buffer, rest []byte
}

func newFrameConn(conn net.Conn) *frameConn {
	return &frameConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize)}
}

// Read implements net.Conn. It is called by one goroutine.
func (c *frameConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		if err := c.readFrame(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *frameConn) readFrame() error {
	if cap(c.buffer) > maxKeptFrame {
		c.buffer = nil
	}
	c.buffer = slices.Grow(c.buffer[:0], frameHeaderSize)[:frameHeaderSize]
	if _, err := io.ReadFull(c.reader, c.buffer); err != nil {
		return err
	}
	if c.begin != nil {
		if err := c.begin(); err != nil {
			return err
		}
	}
	// A longer body than the window is not awaited: the multiplexer rejects its header.
	if length := binary.BigEndian.Uint32(c.buffer[8:]); c.buffer[1] == dataFrame && length <= maxStreamWindow {
		for missing := int(length); missing > 0; {
			begin, piece := len(c.buffer), min(missing, framePiece)
			c.buffer = slices.Grow(c.buffer, piece)[:begin+piece]
			if _, err := io.ReadFull(c.reader, c.buffer[begin:]); err != nil {
				return err
			}
			missing -= piece
		}
	}
	c.rest = c.buffer
	return nil
}
