// Package engine runs requests on the upstream next to the agent, over loopback
// HTTP, and reports their results. It sends each request at most once.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/upstream/framing"
)

const (
	// dialTimeout is the time limit for connecting to the upstream, which is on the
	// same VM.
	dialTimeout = 500 * time.Millisecond
	// loadTimeout and maxLoadReport limit the time and size of a load report.
	loadTimeout   = time.Second
	maxLoadReport = 64 << 10
	// maxHeadBytes bounds the head of an answer, which may have no end.
	maxHeadBytes = 32 << 10
	// readBufferSize is the maximum number of bytes per read.
	readBufferSize = 16 << 10
	// eventStreamType is the content type of streamed answers.
	eventStreamType = "text/event-stream"
)

// Call is a request to the upstream.
type Call struct {
	requestID string
	method    string
	path      string
	headers   []*wire.Field
	body      []byte
}

// NewCall returns a call.
func NewCall(requestID, method, path string, headers []*wire.Field, body []byte) Call {
	return Call{requestID: requestID, method: method, path: path, headers: headers, body: body}
}

// Sink receives the answer while it arrives.
type Sink interface {
	SetHead(head *wire.Head)
	Write(ctx context.Context, p []byte) error
}

// Observer receives the progress of a call, for limits and forecasts.
type Observer interface {
	FirstToken(now time.Time)
	Tokens(now time.Time, count int)
}

// Result is the result of a call.
type Result struct {
	outcome   wire.End_Outcome
	sent      bool
	truncated bool
	status    int
	tokens    int
	detail    string
}

// Outcome returns how the run ended.
func (r Result) Outcome() wire.End_Outcome { return r.outcome }

// Sent reports whether any byte may have reached the upstream. If false, the
// request did not run.
func (r Result) Sent() bool { return r.sent }

// Truncated reports whether the connection failed before the answer was complete, as it
// does when the upstream crashes.
func (r Result) Truncated() bool { return r.truncated }

// Status returns the HTTP status, or 0 if none was received.
func (r Result) Status() int { return r.status }

// Tokens returns the number of tokens received.
func (r Result) Tokens() int { return r.tokens }

// Detail returns the error message of a failed call.
func (r Result) Detail() string { return r.detail }

// Dialer opens connections to the upstream.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to one upstream.
type Client struct {
	base   string
	dialer Dialer
	http   *http.Client
	now    func() time.Time
}

// New returns a client for the upstream at base, such as
// "http://127.0.0.1:9000". Each call uses a new connection: on a reused one,
// net/http may resend a request whose connection was closed early, but a request
// must reach the upstream at most once. A new connection over loopback is cheap
// and cannot be stale.
func New(base string, now func() time.Time, dialer Dialer) *Client {
	transport := framing.NewTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	})
	return &Client{base: base, dialer: dialer, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}, now: now}
}

// noRedirect returns redirects to the caller; following one would be a second
// request.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run sends the call and copies the answer to the sink until the answer ends or
// the context is done.
func (c *Client) Run(ctx context.Context, call Call, sink Sink, observer Observer) Result {
	request, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, bytes.NewReader(call.body))
	if err != nil {
		return Result{outcome: wire.End_OUTCOME_FAILED, detail: err.Error()}
	}
	request.GetBody = nil
	for _, field := range call.headers {
		request.Header.Add(field.GetName(), field.GetValue())
	}
	request.Header.Set("X-Request-Id", call.requestID)
	response, err := c.http.Do(request)
	if err != nil {
		return c.failedResult(ctx, err, Result{sent: !isDialError(err)})
	}
	defer func() { _ = response.Body.Close() }()
	sink.SetHead(&wire.Head{Status: uint32(response.StatusCode), Headers: headerFields(response.Header)})
	result := Result{sent: true, status: response.StatusCode}
	isEventStream := strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType)
	body := &countingReader{reader: response.Body}
	result.tokens, err = c.copyBody(ctx, body, sink, observer, isEventStream)
	if err == nil {
		err = framing.CheckEnd(response.StatusCode, framing.EndsWithConnection(response), body.bytes)
	}
	if err != nil {
		return c.failedResult(ctx, err, result)
	}
	result.outcome = wire.End_OUTCOME_ANSWERED
	return result
}

// countingReader counts the bytes of an answer's body.
type countingReader struct {
	reader io.Reader
	bytes  int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.bytes += int64(n)
	return n, err
}

func (c *Client) copyBody(ctx context.Context, body io.Reader, sink Sink, observer Observer, isEventStream bool) (int, error) {
	tokens := 0
	buffer := make([]byte, readBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			count := 1
			if isEventStream {
				count = bytes.Count(buffer[:n], []byte("data:"))
			}
			now := c.now()
			if tokens == 0 {
				observer.FirstToken(now)
			}
			tokens += count
			observer.Tokens(now, count)
			if err := sink.Write(ctx, buffer[:n]); err != nil {
				return tokens, err
			}
		}
		if errors.Is(err, io.EOF) {
			return tokens, nil
		}
		if err != nil {
			return tokens, err
		}
	}
}

func (c *Client) failedResult(ctx context.Context, err error, result Result) Result {
	result.detail = err.Error()
	result.outcome = wire.End_OUTCOME_FAILED
	if ctx.Err() != nil {
		result.outcome = wire.End_OUTCOME_CANCELED
		return result
	}
	result.truncated = result.sent
	return result
}

// isDialError reports whether the connection was not established, which proves that
// nothing was sent.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// LoadReport is an engine's load report. Fields that the engine does not report are 0.
type LoadReport struct {
	CachedTokens int `json:"cached-tokens"`
}

// Load fetches the engine's load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/load", nil)
	if err != nil {
		return LoadReport{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return LoadReport{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var report LoadReport
	err = json.NewDecoder(io.LimitReader(response.Body, maxLoadReport)).Decode(&report)
	return report, err
}

// Alive reports whether the upstream accepts connections.
func (c *Client) Alive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", strings.TrimPrefix(c.base, "http://"))
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// hopByHop are the header fields that apply to a single connection and are not
// forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

func headerFields(header http.Header) []*wire.Field {
	var fields []*wire.Field
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, &wire.Field{Name: name, Value: value})
		}
	}
	return fields
}
