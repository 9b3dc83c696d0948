//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// backendSlots is how many requests a back end runs at once, and backendQueue how many wait.
	backendSlots = 6
	backendQueue = 12
)

// backend is a stand-in for a server of a service. It is sound unless spoil is set.
type backend struct {
	bed     *bed
	id      string
	service string
	address string
	version string
	// failing reports that the next answer is a failure; it may be nil.
	failing func() bool
	// work returns how long a request takes.
	work func() time.Duration
	// spoil may do something with a connection whose request is next to be answered, or after
	// its answer. It reports whether it has taken the answer over.
	spoil func(c *backendConn, id string) (taken bool)
	// after is called once an answer was written; it may be nil.
	after func(c *backendConn, id string)

	slots            chan struct{}
	running, waiting atomic.Int64

	mu   sync.Mutex
	runs map[string]int
}

// backendConn is a connection of a gateway.
type backendConn struct {
	net.Conn
	mu sync.Mutex
}

// send writes bytes that belong together.
func (c *backendConn) send(raw []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Conn.Write(raw)
	return err
}

func (b *bed) newBackend(service, id string, work func() time.Duration) *backend {
	return &backend{version: "v1", bed: b, id: id, service: service, work: work, slots: make(chan struct{}, backendSlots), runs: make(map[string]int)}
}

// start listens, and registers the back end in the store every heartbeat.
func (s *backend) start(zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(&backendConn{Conn: c})
		}
	}()
	born := time.Now().UnixMilli()
	go func() {
		for sequence := 1; ; sequence++ {
			s.bed.store.put("servers/"+s.id, map[string]any{
				"service": s.service, "address": s.address, "zone": zone, "version": s.version, "slots": backendSlots,
				"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": born,
			})
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// serve serves one request after the other on a connection.
func (s *backend) serve(c *backendConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		if err := c.SetReadDeadline(time.Now().Add(5500 * time.Millisecond)); err != nil {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if s.answer(c, request) != nil {
			return
		}
	}
}

// answer runs a request, or rejects it, and answers it.
func (s *backend) answer(c *backendConn, request *http.Request) error {
	id := request.Header.Get("X-Persimmonridge-Attempt-Id")
	switch {
	case request.URL.Path == "/health":
		return s.send(c, id, http.StatusOK, "X-Persimmonridge-Instance-Id: "+s.id+"\r\n", "")
	case id == "":
		return s.send(c, "", http.StatusBadRequest, "X-Persimmonridge-Not-Executed: no id\r\n", "")
	case request.Header.Get("X-Persimmonridge-Expect-Instance") != s.id:
		return s.send(c, id, http.StatusMisdirectedRequest, "X-Persimmonridge-Not-Executed: other instance\r\n", "")
	}
	if s.waiting.Add(1) > backendQueue {
		s.waiting.Add(-1)
		s.bed.record.write("%s rejects %s: full", s.id, id)
		return s.send(c, id, http.StatusServiceUnavailable, "X-Persimmonridge-Not-Executed: full\r\n", "")
	}
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	defer func() { <-s.slots }()
	s.running.Add(1)
	defer s.running.Add(-1)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.bed.record.write("%s runs %s", s.id, id)
	time.Sleep(s.work())
	if s.spoil != nil && s.spoil(c, id) {
		return nil
	}
	if s.failing != nil && s.failing() {
		s.bed.record.write("%s answers %s with 500", s.id, id)
		return s.send(c, id, http.StatusInternalServerError, fmt.Sprintf("X-Persimmonridge-Response-Seal: %s.%s\r\n", s.id, id), "failed")
	}
	body := "done " + id + " " + strings.Repeat("x", 700)
	err := s.send(c, id, http.StatusOK, fmt.Sprintf("X-Persimmonridge-Response-Seal: %s.%s\r\n", s.id, id), body)
	s.bed.record.write("%s answers %s with 200", s.id, id)
	if err == nil && s.after != nil {
		s.after(c, id)
	}
	return err
}

func (s *backend) send(c *backendConn, id string, status int, header, body string) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&out, "X-Persimmonridge-Attempt-Id: %s\r\n", id)
	}
	fmt.Fprintf(&out, "X-Persimmonridge-Instance-Load: %d,%d,%d\r\n", s.running.Load(), s.waiting.Load(), backendSlots)
	fmt.Fprintf(&out, "Keep-Alive: timeout=5\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	return c.send(out.Bytes())
}

// runsOf returns how often the back ends ran each request.
func runsOf(backends []*backend) map[string]int {
	total := make(map[string]int)
	for _, s := range backends {
		s.mu.Lock()
		for id, n := range s.runs {
			total[id] += n
		}
		s.mu.Unlock()
	}
	return total
}

// ran reports whether a back end began to work on a request.
func ran(backends []*backend, id string) bool { return runsOf(backends)[id] > 0 }

// newID returns the id of a client's attempt.
func newID() string { return strconv.FormatUint(rand.Uint64()|1<<63, 16) }
