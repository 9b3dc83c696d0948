package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("exchange")

// What is known of a request that got no answer.
var (
	// NotSent: no byte of the request left, so it has not run.
	NotSent = namespace.NewType("not-sent")
	// Lost: it was sent, and no answer that can be trusted came: it may have
	// run or may still run.
	Lost = namespace.NewType("lost")
)

const (
	// maxForeign bounds the answers to other requests that are skipped in
	// front of the one that is due.
	maxForeign = 3
	// maxInformational bounds the 1xx answers in front of the real one.
	maxInformational = 5
	// keptIdleUnsafe is the longest idle time of a connection for a request
	// that may not run twice: sent on a connection that the upstream has just
	// closed, its outcome would be unknown.
	keptIdleUnsafe = time.Second
)

// Names are the header names by which an upstream's answer is recognized.
type Names struct {
	// ID is echoed from the request.
	ID string
	// Seal is borne by every answer of an upstream that ran the request.
	Seal string
	// NotRun marks an answer to a request that was not run.
	NotRun string
	// Load is the upstream's running, waiting and slots.
	Load string
}

// Request is one request as it goes to an upstream.
type Request struct {
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request's id, which the answer must echo.
	ID string
	// Unsafe requests may not run twice.
	Unsafe bool
}

// Load is what an upstream says of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is an upstream's answer, its body not yet read.
type Answer struct {
	Status int
	Header http.Header
	// Sealed answers are those of an upstream that ran the request.
	Sealed bool
	// NotRun answers prove that the request has not run there.
	NotRun bool
	Load   *Load

	body  io.ReadCloser
	conn  *conn
	pool  *Pool
	now   func() time.Time
	clean bool
	done  atomic.Bool
	stop  func() bool
}

// Client sends requests.
type Client struct {
	pool  *Pool
	names Names
	now   func() time.Time
}

// NewClient returns a client over the pool.
func NewClient(pool *Pool, names Names, now func() time.Time) *Client {
	return &Client{pool: pool, names: names, now: now}
}

// Do sends the request to the address and returns the answer's header. When
// the context ends, the connection is closed, which stops the upstream's work.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Answer, error) {
	maxIdle := time.Hour
	if r.Unsafe {
		maxIdle = keptIdleUnsafe
	}
	conn, err := c.pool.take(ctx, c.now(), address, maxIdle)
	if err != nil {
		return nil, NotSent.Wrap(err, "no connection to %s", address)
	}
	stop := context.AfterFunc(ctx, func() { closeQuietly(conn) })
	answer, err := c.roundTrip(conn, r)
	if err != nil {
		stop()
		closeQuietly(conn)
		return nil, err
	}
	answer.stop = stop
	return answer, nil
}

// countingConn tells whether any byte left.
type countingConn struct {
	net.Conn
	sent int
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += n
	return n, err
}

func (c *Client) roundTrip(conn *conn, r Request) (*Answer, error) {
	counting := &countingConn{Conn: conn.Conn}
	request := &http.Request{Method: r.Method}
	written := make(chan error, 1)
	if len(r.Body) <= inlineBody {
		written <- r.write(counting)
	} else {
		go func() { written <- r.write(counting) }()
	}
	//nolint:bodyclose // The body is the Answer's; its Close ends or keeps the connection.
	response, err := c.readAnswer(conn, request, r.ID)
	finished := false
	select {
	case writeErr := <-written:
		finished = writeErr == nil
		if writeErr != nil && counting.sent == 0 {
			return nil, NotSent.Wrap(writeErr, "nothing could be sent to %s", conn.address)
		}
	default:
	}
	if err != nil {
		return nil, Lost.Wrap(err, "no answer from %s", conn.address)
	}
	if response.Header.Get("Content-Encoding") != "" {
		return nil, Lost.New("the answer from %s is encoded, which nobody asked for", conn.address)
	}
	answer := &Answer{
		Status: response.StatusCode, Header: response.Header,
		Sealed: response.Header.Get(c.names.Seal) != "",
		NotRun: response.Header.Get(c.names.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest,
		Load:   parseLoad(response.Header.Get(c.names.Load)),
		body:   response.Body, conn: conn, pool: c.pool, now: c.now,
		// An upstream that answers before the body is sent reads on from what
		// follows, so that connection must not carry another request.
		clean: finished && !response.Close,
	}
	return answer, nil
}

// inlineBody is what is written before the answer is read: it fits a socket's
// buffer, so that an upstream that answers early cannot block the writing.
const inlineBody = 16 << 10

// write sends the request as it is, without what net/http would add or
// normalise: the upstream must get the caller's target byte for byte.
func (r Request) write(w io.Writer) error {
	buffered := bufio.NewWriterSize(w, inlineBody+4096)
	for _, part := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		if _, err := buffered.WriteString(part); err != nil {
			return err
		}
	}
	if err := r.Header.Write(buffered); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		length := "Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"
		if _, err := buffered.WriteString(length); err != nil {
			return err
		}
	}
	if _, err := buffered.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := buffered.Write(r.Body); err != nil {
		return err
	}
	return buffered.Flush()
}

// readAnswer reads the header of the answer to the request of the id. Answers
// to other requests, which a faulty upstream sends late, are read and dropped
// in front of it.
func (c *Client) readAnswer(conn *conn, request *http.Request, id string) (*http.Response, error) {
	foreign, informational := 0, 0
	for {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			informational++
			if informational > maxInformational {
				return nil, errors.New("too many informational answers")
			}
			continue
		}
		got := response.Header.Get(c.names.ID)
		if got == id || (got == "" && response.Header.Get(c.names.Seal) == "") {
			response.Close = response.Close || foreign > 0
			return response, nil
		}
		foreign++
		if foreign > maxForeign || response.ContentLength < 0 {
			return nil, errors.New("an answer to another request came")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

// Read reads the answer's body. It returns io.EOF only at the body's true end;
// a body without a length ends with its connection, and not with a reset.
func (a *Answer) Read(p []byte) (int, error) { return a.body.Read(p) }

// Close ends the exchange. After a whole body the connection is kept for
// another request; otherwise it is closed, which stops the upstream's work.
func (a *Answer) Close(whole bool) {
	if a.done.Swap(true) {
		return
	}
	stopped := a.stop()
	if !whole || !a.clean || !stopped {
		closeQuietly(a.conn)
		return
	}
	a.pool.put(a.now(), a.conn, statedTimeout(a.Header))
}

// statedTimeout returns the idle time-out that a Keep-Alive header states.
func statedTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || name != "timeout" {
			continue
		}
		n, err := strconv.Atoi(value)
		if err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

func parseLoad(value string) *Load {
	parts := strings.Split(value, ",")
	if len(parts) != 3 {
		return nil
	}
	var numbers [3]int
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return nil
		}
		numbers[i] = n
	}
	return &Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}
