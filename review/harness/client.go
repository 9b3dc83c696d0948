//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client sends one request after the other on a kept connection to one gateway.
type client struct {
	bed     *bed
	gateway *gatewayProcess
	path    string
	// timeout is how long it waits for an answer.
	timeout time.Duration

	conn   net.Conn
	reader *bufio.Reader
}

// answer is what a client got. A status of 0 stands for a connection that ended without an answer.
type answer struct {
	id      string
	status  int
	whole   bool
	sealed  bool
	kept    bool
	sent    bool
	err     error
	elapsed time.Duration
}

// post sends a request and returns what came of it.
func (c *client) post() answer {
	a := answer{id: newID(), kept: c.conn != nil}
	start := time.Now()
	defer func() {
		a.elapsed = time.Since(start)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.gateway.frontend, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	body := "book " + a.id
	message := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Persimmonridge-Attempt-Id: %s\r\nX-Persimmonridge-Deadline-Ms: %d\r\nApi-Key: key-one\r\nContent-Length: %d\r\n\r\n%s",
		c.path, a.id, c.timeout.Milliseconds(), len(body), body)
	c.bed.record.write("client sends %s to %s", a.id, c.gateway.name)
	_ = c.conn.SetDeadline(time.Now().Add(c.timeout + time.Second))
	if _, a.err = io.WriteString(c.conn, message); a.err != nil {
		c.drop()
		c.bed.record.write("client gets no answer to %s: %v", a.id, a.err)
		return a
	}
	a.sent = true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		c.drop()
		c.bed.record.write("client gets no answer to %s: %v", a.id, err)
		return a
	}
	raw, err := io.ReadAll(response.Body)
	a.status, a.err = response.StatusCode, err
	a.sealed = response.Header.Get("X-Persimmonridge-Response-Seal") != ""
	a.whole = err == nil && strings.HasPrefix(string(raw), "done "+a.id+" ")
	if err != nil || response.Close {
		c.drop()
	}
	c.bed.record.write("client gets %d to %s, sealed %v, %d bytes, err %v", a.status, a.id, a.sealed, len(raw), err)
	return a
}

func (c *client) drop() {
	_ = c.conn.Close()
	c.conn = nil
}
