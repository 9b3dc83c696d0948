package framing

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
)

// Malformed is the error of a response head that is not valid HTTP/1.x, as RFC 9110 and 9112 define
// it.
var Malformed = namespace.NewType("malformed-head")

// IsMalformed reports whether the error, or a cause of it, is a Malformed one.
func IsMalformed(err error) bool {
	var typed *errorx.Error
	return errors.As(err, &typed) && typed.IsOfType(Malformed)
}

const (
	// minStatus and maxStatus bound the status codes of RFC 9110, section 15.
	minStatus = 100
	maxStatus = 599
	// maxQuotedBytes is how much of a line an error quotes. A faulty server may send a long one.
	maxQuotedBytes = 64
)

// Head validates the head of a response while it arrives. The parser of net/http is lenient, and may
// frame a malformed response differently than its sender.
type Head struct {
	// line is the incomplete last line, and lines the number of complete ones.
	line   []byte
	lines  int
	minor  int
	status int
	done   bool
}

// Done reports whether the head is complete.
func (h *Head) Done() bool { return h.done }

// Status returns the status code, or 0 before the status line was checked.
func (h *Head) Status() int { return h.status }

// Check validates the bytes that arrive next, and returns how many of them belong to the head. It
// buffers an incomplete line, which the caller must bound.
func (h *Head) Check(p []byte) (n int, err error) {
	for n < len(p) && !h.done {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			h.line = append(h.line, p[n:]...)
			return len(p), nil
		}
		line := p[n : n+end]
		if len(h.line) > 0 {
			line = append(h.line, line...)
			h.line = nil
		}
		n += end + 1
		if err := h.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return n, err
		}
		h.lines++
	}
	return n, nil
}

func (h *Head) checkLine(line []byte) error {
	switch {
	case h.lines == 0:
		return h.checkStatusLine(string(line))
	case len(line) == 0:
		h.done = true
		return nil
	case line[0] == ' ' || line[0] == '\t':
		// A folded line, which RFC 9112, section 5.2, lets the parser replace by a blank.
		return nil
	}
	return h.checkField(line)
}

func (h *Head) checkField(line []byte) error {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return Malformed.New("header field with the name %q, which is no token", quoted(name))
	}
	if h.minor == 0 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		// The parser would take the bytes of the coding for the body (RFC 9112, section 6.1).
		return Malformed.New("answer of version 1.0 with a Transfer-Encoding, which that version does not have")
	}
	return nil
}

// quoted returns as much of the text as an error quotes.
func quoted[T string | []byte](text T) T { return text[:min(len(text), maxQuotedBytes)] }

// isToken reports whether the text is a token of RFC 9110, section 5.6.2.
func isToken(text []byte) bool {
	for _, c := range text {
		isAlphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

func (h *Head) checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return Malformed.New("answer of version %q; this process speaks HTTP/1.1", quoted(version))
	}
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || status < minStatus || status > maxStatus || len(code) != 3 {
		return Malformed.New("answer with status code %q, which is no number from %d to %d", quoted(code), minStatus, maxStatus)
	}
	if status == http.StatusSwitchingProtocols {
		return Malformed.New("answer that switches to another protocol, for which no request asks")
	}
	h.minor, h.status = minor, int(status)
	return nil
}
