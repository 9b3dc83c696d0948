package ingress

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
)

const (
	// headerLineBytes and headerByteFactor estimate what a header holds in the process: each
	// field has entries in two maps and strings of its own, and the bytes of a field are copied
	// while they are read.
	headerLineBytes  = 256
	headerByteFactor = 3
	// usualHeaderBytes of that are part of what is counted for each connection.
	usualHeaderBytes = 8 << 10
	// readBufferBytes may be read beyond a header: http.Server reads as many at once.
	readBufferBytes = 4 << 10
	// refusalLinger is how long a connection stays open after a refusal that its caller may not
	// have read. Closing it with unread bytes would reset it, and the refusal could be lost.
	refusalLinger = 500 * time.Millisecond
	// headerRetryAfter is how long callers wait whose header did not fit into the memory: those
	// before them are complete, or given up, within a header's timeout.
	headerRetryAfter = time.Second
)

// headerRefused is the error of a connection whose header is refused.
var headerRefused = errorx.NewNamespace("ingress").NewType("header-refused")

// headerEnd is behind the last line of a header. What was read beyond it belongs to the body.
var headerEnd = []byte("\r\n\r\n")

// header accounts for the header that a connection receives.
type header struct {
	bytes, lines int
	// reserved is what is held for the header until its request has been answered.
	mu       sync.Mutex
	reserved *memory.Reservation
	held     int64
	// lingerEnd is closed when the connection of a refused header need not be kept open.
	lingerEnd chan struct{}
}

// cost returns the estimate of what the header holds.
func (h *header) cost() int64 {
	return int64(headerByteFactor*h.bytes + headerLineBytes*h.lines)
}

// readHeader accounts for bytes that were read if they belong to a header, which it reports. It
// refuses one that is too large, or for which there is no memory, without waiting for its end.
func (c *Conn) readHeader(now time.Time, p []byte) (inHeader bool, err error) {
	inHeader, first, err := c.beginHeader(now)
	if !inHeader || err != nil {
		return inHeader, err
	}
	h := &c.header
	if first {
		h.bytes, h.lines = 0, 0
		c.server.beginWait(c)
	}
	if end := bytes.Index(p, headerEnd); end >= 0 {
		p = p[:end+len(headerEnd)]
	}
	h.bytes += len(p)
	h.lines += bytes.Count(p, []byte{'\n'})
	if limit := c.server.headerByteLimit(); h.bytes > limit+readBufferBytes {
		c.server.Logger.Warn("header too large", "bytes", h.bytes, "most", limit)
		return true, c.refuseHeader(http.StatusRequestHeaderFieldsTooLarge, "")
	}
	if !h.reserve(now, c.server.Memory) {
		c.server.Logger.Warn("no memory for a header", "bytes", h.bytes, "lines", h.lines)
		return true, c.refuseHeader(http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %.3f\r\n", headerRetryAfter.Seconds()))
	}
	return true, nil
}

// reserve reserves what the header holds beyond the usual size, and reports whether there was room.
func (h *header) reserve(now time.Time, account *memory.Account) bool {
	need := h.cost() - usualHeaderBytes
	if need <= 0 || !account.Enabled() {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if need <= h.held {
		return true
	}
	if h.reserved == nil {
		h.reserved = account.Open(memory.Header, headerHolder)
	}
	if !h.reserved.Grow(now, need-h.held) {
		return false
	}
	h.held = need
	return true
}

// headerHolder is the holder of headers, whose workspaces are not known before they are complete.
const headerHolder = "headers"

// close releases what is reserved.
func (h *header) close(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reserved != nil {
		h.reserved.Discard(now)
		h.reserved, h.held = nil, 0
	}
}

// refuseHeader answers a request whose header is not read to its end, and returns the error that
// ends the connection.
func (c *Conn) refuseHeader(status int, fields string) error {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 0\r\n%s\r\n",
		status, http.StatusText(status), fields)
	c.server.Metrics.ConnectionClosed(CloseHeader)
	now := c.server.Now()
	c.header.close(now)
	_ = c.SetWriteDeadline(now.Add(refusalLinger))
	if _, err := c.Write([]byte(text)); err == nil {
		c.header.linger()
	}
	// http.Server closes the connection after such an error and writes nothing.
	return &net.OpError{Op: "read", Net: "tcp", Err: headerRefused.New("status %d; send a smaller header, or send it later", status)}
}

// linger waits until the caller had time to read the refusal.
func (h *header) linger() {
	h.mu.Lock()
	h.lingerEnd = make(chan struct{})
	end := h.lingerEnd
	h.mu.Unlock()
	timer := time.NewTimer(refusalLinger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-end:
	}
}

// endLinger ends the wait of a connection whose header was refused.
func (h *header) endLinger() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lingerEnd != nil {
		close(h.lingerEnd)
		h.lingerEnd = nil
	}
}
