// Package engine runs one request on the upstream beside the agent, over
// loopback HTTP, and says what became of it. It sends each request once.
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
)

const (
	// dialTimeout bounds the connection to an upstream on the same VM.
	dialTimeout = 500 * time.Millisecond
	// loadTimeout bounds the reading of a load report, maxReport its size.
	loadTimeout = time.Second
	maxReport   = 64 << 10
	// chunk is the most that is read at once.
	chunk = 16 << 10
	// eventStream is the content type of a streamed answer.
	eventStream = "text/event-stream"
)

// Call is the request as the upstream shall see it.
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

// Sink takes the answer as it comes.
type Sink interface {
	SetHead(head *wire.Head)
	Write(ctx context.Context, p []byte) error
}

// Observer is told of progress, for limits and forecasts.
type Observer interface {
	FirstToken(now time.Time)
	Tokens(now time.Time, count int)
}

// Result is what became of a call.
type Result struct {
	outcome wire.End_Outcome
	sent    bool
	cut     bool
	status  int
	tokens  int
	detail  string
}

// Outcome returns how the run ended.
func (r Result) Outcome() wire.End_Outcome { return r.outcome }

// Sent tells whether any byte may have reached the upstream. When false, the
// request did not run.
func (r Result) Sent() bool { return r.sent }

// Cut tells whether the upstream ended the connection in the midst of the
// answer, as it does when it dies.
func (r Result) Cut() bool { return r.cut }

// Status returns the HTTP status, 0 if none came.
func (r Result) Status() int { return r.status }

// Tokens returns the number of tokens streamed.
func (r Result) Tokens() int { return r.tokens }

// Detail returns the failure in words.
func (r Result) Detail() string { return r.detail }

// Dialer opens connections to the upstream.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client speaks to one upstream.
type Client struct {
	base   string
	dialer Dialer
	http   *http.Client
	now    func() time.Time
}

// New returns a client for the upstream at base, such as
// "http://127.0.0.1:9000". Each call has a connection of its own: on a kept
// one, the library would by itself send a request again whose connection
// ended early, and a request must reach the upstream at most once. A new
// connection over loopback costs little, and cannot have gone silent before.
func New(base string, now func() time.Time, dialer Dialer) *Client {
	transport := &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &Client{base: base, dialer: dialer, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}, now: now}
}

// noRedirect hands a redirect to the caller; following it would be a second
// request.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run sends the call and copies the answer to the sink until it ends or the
// context does.
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
		return c.failed(ctx, err, Result{sent: !neverConnected(err)})
	}
	defer func() { _ = response.Body.Close() }()
	sink.SetHead(&wire.Head{Status: uint32(response.StatusCode), Headers: fields(response.Header)})
	result := Result{sent: true, status: response.StatusCode}
	streamed := strings.HasPrefix(response.Header.Get("Content-Type"), eventStream)
	result.tokens, err = c.copyBody(ctx, response.Body, sink, observer, streamed)
	if err != nil {
		return c.failed(ctx, err, result)
	}
	result.outcome = wire.End_OUTCOME_ANSWERED
	return result
}

func (c *Client) copyBody(ctx context.Context, body io.Reader, sink Sink, observer Observer, streamed bool) (int, error) {
	tokens := 0
	buffer := make([]byte, chunk)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			count := 1
			if streamed {
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

func (c *Client) failed(ctx context.Context, err error, result Result) Result {
	result.detail = err.Error()
	result.outcome = wire.End_OUTCOME_FAILED
	if ctx.Err() != nil {
		result.outcome = wire.End_OUTCOME_CANCELED
		return result
	}
	result.cut = result.sent
	return result
}

// neverConnected is the proof that nothing was sent.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Report is what an engine says of itself; a field it does not know is 0.
type Report struct {
	CachedTokens int `json:"cached-tokens"`
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/load", nil)
	if err != nil {
		return Report{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var report Report
	err = json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&report)
	return report, err
}

// Alive tells whether the upstream accepts connections.
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

// hopByHop are fields that belong to one connection, not to the answer.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

func fields(header http.Header) []*wire.Field {
	var out []*wire.Field
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			out = append(out, &wire.Field{Name: name, Value: value})
		}
	}
	return out
}
