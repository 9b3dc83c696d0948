package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/upstream/framing"
)

var namespace = errorx.NewNamespace("exchange")

// The errors state whether a request without an answer may have been executed.
var (
	// NotSent: no byte of the request was sent, so it was not executed.
	NotSent = namespace.NewType("not-sent")
	// Lost: the request was sent, and no trustworthy answer arrived. It may have
	// been executed or may still run.
	Lost = namespace.NewType("lost")
	// Stale is a Lost on a kept connection that ended soon after the request was
	// sent and before one byte of an answer arrived. Most probably the upstream
	// closed the idle connection while the request was on its way.
	Stale = Lost.NewSubtype("stale")
	// NotAdmitted is a NotSent of a request that the caller's Admit rejected.
	NotAdmitted = NotSent.NewSubtype("not-admitted")
)

const (
	// maxUnrelatedAnswers is how many answers to other requests are skipped before
	// the expected one.
	maxUnrelatedAnswers = 3
	// maxInformationalAnswers is how many 1xx answers may precede the final one.
	maxInformationalAnswers = 5
	// maxIdleNonIdempotent is the longest idle time of a connection that is reused
	// for a non-idempotent request. If the upstream had just closed the connection,
	// the outcome of the request would be unknown.
	maxIdleNonIdempotent = time.Second
	// maxStaleDelay is the longest time from sending a request to the end of a stale
	// connection. It is longer than a round trip; an upstream that ends a connection
	// later has probably failed while it executed the request.
	maxStaleDelay = time.Second
)

// HeaderNames holds the names of the headers that are read from an upstream's answer.
type HeaderNames struct {
	// RequestID is the header with the request's ID, which the upstream echoes.
	RequestID string
	// Seal is set in every answer of an upstream that executed the request.
	Seal string
	// NotExecuted is set in an answer to a request that was not executed.
	NotExecuted string
	// Load states the upstream's running and waiting requests, its slots and, if the
	// upstream measures it, its pace in percent of the usual time.
	Load string
	// WarmUpMs states the rest of the upstream's warm-up in milliseconds.
	WarmUpMs string
	// RateLimit states the requests per second that the upstream takes from all callers.
	RateLimit string
	// Leaving is "1" while the upstream leaves.
	Leaving string
}

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request's ID, which the answer must echo.
	ID string
	// NonIdempotent reports that the request must not be executed twice.
	NonIdempotent bool
	// NewConnection forbids the reuse of a kept connection.
	NewConnection bool
	// Admit is called immediately before the request is written to a connection, and again
	// before it is written to another one because nothing could be sent on the first. If it
	// returns false, nothing is written. If settled is not nil, it is called once, as soon as
	// the request has arrived or cannot arrive any more. Admit may be nil.
	Admit func() (settled func(Settlement), admitted bool)
}

// Load is the load that an upstream states in an answer.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how many times as long as usual work takes on the upstream's VM at the
	// moment, 0 if the upstream does not state it.
	Pace float64
}

// RateLimit is the rate that an upstream states in an answer that it takes from all
// callers together.
type RateLimit struct {
	// Stated is set if the answer names a limit, and Valid if the limit can be read.
	Stated, Valid bool
	PerSecond     float64
}

// Answer is an upstream's answer, whose body has not been read yet.
type Answer struct {
	Status int
	Header http.Header
	// Echoed reports that the answer has the request's ID.
	Echoed bool
	// Sealed reports that the answer has the seal of an upstream that executed the
	// request.
	Sealed bool
	// NotExecuted reports that the upstream did not execute the request.
	NotExecuted bool
	// Misdirected reports that another upstream has the address now.
	Misdirected bool
	Load        *Load
	// WarmUpRemaining is the rest of the upstream's warm-up, 0 if it stated none.
	WarmUpRemaining time.Duration
	RateLimit       RateLimit
	// Leaving reports that the upstream wants no new requests because it shuts down.
	Leaving bool
	// RetryAfter is for how long an upstream that turned the request away wants no other
	// one of this process, 0 if it did not say.
	RetryAfter time.Duration

	body io.ReadCloser
	conn *conn
	pool *Pool
	now  func() time.Time
	// reusable reports that the connection may be reused after the body.
	reusable bool
	length   int64
	// endsWithConnection reports that the body has neither a length nor chunks.
	endsWithConnection bool
	closed             atomic.Bool
	// stopContextWatch ends the closing of the connection by the context. It returns
	// false if the context has already ended.
	stopContextWatch func() bool
	watch            *silenceWatch
}

// Client sends requests to upstreams.
type Client struct {
	pool  *Pool
	names HeaderNames
	now   func() time.Time
}

// NewClient returns a client that uses the pool's connections.
func NewClient(pool *Pool, names HeaderNames, now func() time.Time) *Client {
	return &Client{pool: pool, names: names, now: now}
}

// Do sends the request to the address and returns the answer once its header has
// arrived. When the context ends, the connection is closed, or its sending side if the end
// of it is awaited, so that the upstream stops working on the request.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Answer, error) {
	conn, err := c.acquire(ctx, address, r)
	if err != nil {
		return nil, NotSent.Wrap(err, "no connection to %s", address)
	}
	settled, admitted := r.admit()
	if !admitted {
		c.pool.release(c.now(), conn, 0)
		return nil, NotAdmitted.New("%s may get no request now", address)
	}
	sentAt := c.now()
	conn.begin(sentAt, settled != nil)
	stopContextWatch := context.AfterFunc(ctx, conn.interrupt)
	watch := conn.watchSilence()
	answer, err := c.roundTrip(conn, r)
	if err != nil {
		stopContextWatch()
		watch.end()
		c.finishFailed(ctx, conn, err, settled)
		if conn.reused && ctx.Err() == nil && errorx.IsOfType(err, NotSent) {
			// Only the kept connection has ended, which says nothing of the upstream.
			r.NewConnection = true
			return c.Do(ctx, address, r)
		}
		return nil, err
	}
	if settled != nil {
		settled(Answered)
	}
	c.pool.outlive(address, sentAt)
	if ctx.Err() != nil {
		closeQuietly(conn)
	}
	answer.stopContextWatch, answer.watch = stopContextWatch, watch
	return answer, nil
}

// admit reports whether the request may be sent now, and whom to tell that it has arrived or
// cannot arrive any more.
func (r Request) admit() (settled func(Settlement), admitted bool) {
	if r.Admit == nil {
		return nil, true
	}
	return r.Admit()
}

func (c *Client) acquire(ctx context.Context, address string, r Request) (*conn, error) {
	switch {
	case r.NewConnection:
		return c.pool.open(ctx, address)
	case r.NonIdempotent:
		return c.pool.acquire(ctx, c.now(), address, maxIdleNonIdempotent)
	default:
		return c.pool.acquire(ctx, c.now(), address, time.Hour)
	}
}

func (c *Client) roundTrip(conn *conn, r Request) (*Answer, error) {
	sentAt := c.now()
	request := &http.Request{Method: r.Method}
	written := make(chan error, 1)
	if len(r.Body) <= inlineBodyBytes {
		written <- conn.write(r)
	} else {
		go func() { written <- conn.write(r) }()
	}
	//nolint:bodyclose // Answer.Close closes or keeps the connection.
	response, err := c.readAnswer(conn, request, r.ID)
	stale := conn.reused && errors.Is(err, errNoByte) && c.now().Sub(sentAt) < maxStaleDelay
	bodySent := false
	select {
	case writeErr := <-written:
		bodySent = writeErr == nil
		if writeErr != nil && conn.sent.Load() == 0 {
			return nil, NotSent.Wrap(writeErr, "nothing could be sent to %s", conn.address)
		}
	default:
	}
	switch {
	case stale:
		return nil, Stale.Wrap(err, "no answer from %s on a kept connection", conn.address)
	case err != nil:
		return nil, Lost.Wrap(err, "no answer from %s", conn.address)
	}
	if response.Header.Get("Content-Encoding") != "" {
		return nil, Lost.New("answer from %s has an unrequested Content-Encoding", conn.address)
	}
	answer := &Answer{
		Status: response.StatusCode, Header: response.Header,
		Echoed:      response.Header.Get(c.names.RequestID) == r.ID,
		Sealed:      response.Header.Get(c.names.Seal) != "",
		NotExecuted: response.Header.Get(c.names.NotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest,
		Misdirected: response.StatusCode == http.StatusMisdirectedRequest,
		Load:        parseLoad(response.Header.Get(c.names.Load)), WarmUpRemaining: parseMillis(response.Header.Get(c.names.WarmUpMs)),
		RateLimit: parseRateLimit(response.Header.Get(c.names.RateLimit)),
		Leaving:   strings.TrimSpace(response.Header.Get(c.names.Leaving)) == "1",
		body:      response.Body, conn: conn, pool: c.pool, now: c.now,
		// An upstream that answers before the whole body was sent takes what
		// follows for the rest of it, so the connection must not be reused.
		reusable:           bodySent && !response.Close,
		length:             response.ContentLength,
		endsWithConnection: framing.EndsWithConnection(response),
	}
	// An executed request may be answered 429 for its caller's sake alone.
	if answer.Status == http.StatusServiceUnavailable || (answer.Status == http.StatusTooManyRequests && answer.NotExecuted) {
		answer.RetryAfter = parseRetryAfter(response.Header.Get("Retry-After"))
	}
	return answer, nil
}

// inlineBodyBytes is the largest body that is written before the answer is read. It
// fits into a socket's buffer, so that an upstream that answers early cannot block
// the write.
const inlineBodyBytes = 16 << 10

// writeTo sends the request without the additions and normalizations of net/http: the
// upstream must get the caller's target byte for byte.
func (r Request) writeTo(w io.Writer) error {
	buffered := bufio.NewWriterSize(w, inlineBodyBytes+4096)
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

// Read reads the answer's body. It returns io.EOF only at the actual end of the body.
// A body without a length ends when the connection is closed, but not when it is
// reset.
func (a *Answer) Read(p []byte) (int, error) { return a.body.Read(p) }

// Length returns the stated length of the body, or -1.
func (a *Answer) Length() int64 { return a.length }

// EndsWithConnection reports whether the end of the body is that of the connection.
func (a *Answer) EndsWithConnection() bool { return a.endsWithConnection }

// Close ends the exchange. If the body was read completely, the connection is kept
// for another request. Otherwise it is closed, so that the upstream stops working on
// the request.
func (a *Answer) Close(whole bool) {
	if a.closed.Swap(true) {
		return
	}
	stopped := a.stopContextWatch()
	a.watch.end()
	if !whole || !a.reusable || !stopped {
		closeQuietly(a.conn)
		return
	}
	a.pool.release(a.now(), a.conn, keepAliveTimeout(a.Header))
}

// keepAliveTimeout returns the idle timeout of a Keep-Alive header, or 0.
func keepAliveTimeout(header http.Header) time.Duration {
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

// parseMillis returns a duration in milliseconds, or 0 if there is none.
func parseMillis(value string) time.Duration {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n > 0) || n > maxStatedMillis {
		return 0
	}
	return time.Duration(n * float64(time.Millisecond))
}

// maxStatedMillis is the longest warm-up that is believed, one hour.
const maxStatedMillis = 3_600_000

// maxRetryAfter is the longest rest that an upstream gets for one refusal, however long it
// asks for.
const maxRetryAfter = time.Hour

// parseRetryAfter returns a number of seconds, or 0 if there is none.
func parseRetryAfter(value string) time.Duration {
	n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(n > 0) || math.IsInf(n, 0) {
		return 0
	}
	return time.Duration(min(n, maxRetryAfter.Seconds()) * float64(time.Second))
}

func parseRateLimit(value string) RateLimit {
	if value == "" {
		return RateLimit{}
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(n >= 0) || math.IsInf(n, 0) {
		return RateLimit{Stated: true}
	}
	return RateLimit{Stated: true, Valid: true, PerSecond: n}
}

const (
	// minPacePercent and maxPacePercent bound the paces that are believed. Others are
	// errors of the upstream, and the rest of its statement is used without them.
	minPacePercent = 10
	maxPacePercent = 10_000
)

// parseLoad returns the load of a statement, or nil if it cannot be read. Figures beyond
// the known ones are ignored, as upstreams may state more in future.
func parseLoad(value string) *Load {
	parts := strings.Split(value, ",")
	if len(parts) < 3 {
		return nil
	}
	var numbers [3]int
	for i, part := range parts[:3] {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return nil
		}
		numbers[i] = n
	}
	load := &Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
	if len(parts) > 3 {
		load.Pace = parsePace(parts[3])
	}
	return load
}

// parsePace returns the factor of a pace in percent, or 0 if it is not one that can be true.
func parsePace(value string) float64 {
	percent, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(percent >= minPacePercent && percent <= maxPacePercent) {
		return 0
	}
	return percent / 100
}
