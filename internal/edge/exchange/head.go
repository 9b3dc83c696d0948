package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/upstream/framing"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of one answer. A faulty upstream may send
	// bytes without end, on many connections at once.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxUnrelatedBytes is the most bytes of the body of an answer to another request that are
	// read to reach the expected answer.
	maxUnrelatedBytes = 1 << 20
	// maxStrayDelay is how long the answer is awaited after one without an ID. It may have been
	// the answer after all, of an upstream that states no ID in a failure.
	maxStrayDelay = time.Second
	// maxQuotedBytes is how much of what an upstream sent an error quotes.
	maxQuotedBytes = 120
	// answerStart begins each answer.
	answerStart = "HTTP/"
)

var (
	// errNoByte means that the connection ended before one byte of an answer.
	errNoByte = errors.New("the connection ended before the answer")
	// errHeadTooLong means that the head of an answer has no end within its bounds.
	errHeadTooLong = fmt.Errorf("the head of the answer exceeds %d bytes or %d lines", maxHeadBytes, maxHeadLines)
)

// headLimit validates and bounds the bytes that are read from a connection until the head of an answer
// is complete. What one read returns beyond the head belongs to the body and does no harm: the
// bounds count only if more is needed.
type headLimit struct {
	net.Conn
	active       bool
	bytes, lines int
	// head validates the head once its start has arrived, and is nil otherwise.
	head *framing.Head
}

// begin bounds the head that comes next.
func (l *headLimit) begin() { l.active, l.bytes, l.lines = true, 0, 0 }

// check starts the validation of the head with the bytes that are buffered.
func (l *headLimit) check(buffered []byte) error {
	l.head = &framing.Head{}
	_, err := l.head.Check(buffered)
	return err
}

// end lifts the bounds.
func (l *headLimit) end() { l.active, l.head = false, nil }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.Conn.Read(p)
	}
	if l.bytes >= maxHeadBytes || l.lines > maxHeadLines {
		return 0, errHeadTooLong
	}
	n, err := l.Conn.Read(p)
	l.bytes += n
	l.lines += bytes.Count(p[:n], []byte("\n"))
	if l.head != nil {
		if _, headErr := l.head.Check(p[:n]); headErr != nil {
			return 0, headErr
		}
	}
	return n, err
}

// readAnswer reads the header of the answer to the request with the ID. It skips
// answers to other requests, which a faulty upstream sends late.
func (c *Client) readAnswer(conn *conn, request *http.Request, id string) (*http.Response, error) {
	if _, err := conn.reader.Peek(1); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoByte, err)
	}
	conn.answered.Store(true)
	unrelated, informational := 0, 0
	for {
		response, err := conn.readHead(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			informational++
			if informational > maxInformationalAnswers {
				return nil, errors.New("too many 1xx answers")
			}
			continue
		}
		answerID := response.Header.Get(c.names.RequestID)
		isAnonymous := answerID == "" && response.Header.Get(c.names.Seal) == ""
		// On a kept connection, an answer without an ID may be what an upstream sent after the
		// answer to an earlier request. It must not tell that this one was not executed.
		if answerID == id || (isAnonymous && !conn.reused) {
			response.Close = response.Close || unrelated > 0
			return response, nil
		}
		unrelated++
		if isAnonymous {
			timer := time.AfterFunc(maxStrayDelay, func() { closeQuietly(conn) })
			defer timer.Stop()
		}
		if unrelated > maxUnrelatedAnswers || response.ContentLength < 0 || response.ContentLength > maxUnrelatedBytes {
			return nil, errors.New("received an answer to another request")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

// readHead reads the head of the next answer.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.head.begin()
	defer c.head.end()
	if err := checkStart(c.reader); err != nil {
		return nil, err
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.head.check(buffered); err != nil {
		return nil, unreadableHeadError{err}
	}
	//nolint:bodyclose // Answer.Close closes or keeps the connection.
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, unreadableHeadError{err}
	}
	return response, nil
}

// checkStart returns an error as soon as what arrives cannot be an answer, however long it is.
func checkStart(reader *bufio.Reader) error {
	for n := 1; n <= len(answerStart); n++ {
		start, err := reader.Peek(n)
		if err != nil {
			return err
		}
		if start[n-1] != answerStart[n-1] {
			quoted, _ := reader.Peek(min(reader.Buffered(), maxQuotedBytes))
			return fmt.Errorf("bytes that are no answer: %q", quoted)
		}
	}
	return nil
}

// unreadableHeadError is the error of a head that cannot be read. That of net/http quotes a
// whole line of it.
type unreadableHeadError struct{ cause error }

// Error implements error.
func (e unreadableHeadError) Error() string {
	text := e.cause.Error()
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return fmt.Sprintf("unreadable head of an answer: %q", text)
}

// Unwrap returns the cause.
func (e unreadableHeadError) Unwrap() error { return e.cause }
