package soak_test

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// kind is a kind of request.
type kind struct {
	name, method, path string
	stream             bool
	// atMostOnce requests must not be executed more than once.
	atMostOnce bool
}

var kinds = []kind{
	{name: "book", method: http.MethodPost, path: "/book/x", atMostOnce: true},
	{name: "read", method: http.MethodGet, path: "/read/x"},
	{name: "stream", method: http.MethodPost, path: "/stream/x", stream: true},
	{name: "once", method: http.MethodPost, path: "/once/x", stream: true, atMostOnce: true},
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 3 * time.Second

// call is one request and its result as observed by the caller.
type call struct {
	id      string
	kind    kind
	path    string
	gateway int
	sent    time.Time
	ended   time.Time
	status  int
	body    string
	// err is the reason why the answer is not complete.
	err error
	// idleBefore is how long the connection was idle before the call.
	idleBefore time.Duration
	// notConnected is true if the connection could not be opened, so that the call
	// reached no process.
	notConnected bool
	// key is the API key of the caller.
	key string
	// version is the version of HTTP that the caller speaks.
	version string
	// timeout is how long the caller waits.
	timeout time.Duration
	// prompted is true if a stream names the parts of its prompt.
	prompted bool
	shape    shape
}

// caller sends requests to one gateway one after another and reuses its connection
// for as long as it is open.
type caller struct {
	testbed *testbed
	number  int
	gateway int
	key     string
	random  *rand.Rand
	// patience is how long the caller waits for an answer, or 0 for as long as the kind says.
	patience time.Duration
	conn     net.Conn
	reader   *bufio.Reader
	sent     int
	// lastUsedAt is the end of the previous call.
	lastUsedAt time.Time
}

func newCaller(tb *testbed, number int) *caller {
	return &caller{
		testbed: tb, number: number, gateway: number % gateways, key: tb.apiKey(number),
		random: rand.New(rand.NewPCG(tb.seed, uint64(number)+1000)),
	}
}

// run sends requests until the testbed stops its callers.
func (c *caller) run() {
	defer c.closeConnection()
	for !c.testbed.stopping() {
		c.converge()
		k := kinds[c.random.IntN(len(kinds))]
		result := c.call(k, k.path)
		c.testbed.recordCall(result)
		if result.notConnected && c.testbed.plays(badAnswersFromSeed) {
			<-time.After(reconnectPause)
		}
		<-time.After(time.Duration(5+c.random.IntN(60)) * time.Millisecond)
		if c.testbed.plays(heldFromSeed) {
			<-time.After(minPatientPause)
		}
	}
}

func (c *caller) closeConnection() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call sends one request. Callers keep using a connection until the gateway closes
// it; a request that is sent at the same time is not sent again.
func (c *caller) call(k kind, path string) call {
	c.sent++
	id := fmt.Sprintf("%016x", c.testbed.seed<<40|uint64(c.number)<<24|uint64(c.sent))
	s := c.testbed.shapeOf(id)
	result := call{id: id, shape: s, kind: k, path: path, gateway: c.gateway, sent: time.Now(), prompted: c.testbed.plays(crashesFromSeed), key: c.key, version: c.version(), timeout: cmp.Or(c.patience, s.timeout, k.timeout())}
	if c.conn != nil {
		result.idleBefore = result.sent.Sub(c.lastUsedAt)
	}
	result.err = c.exchange(&result)
	result.ended = time.Now()
	c.lastUsedAt = result.ended
	if result.err != nil {
		c.closeConnection()
	}
	return result
}

func (c *caller) exchange(result *call) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.testbed.processes[c.gateway].address+":8221", time.Second)
		if err != nil {
			result.notConnected = true
			return err
		}
		if tcp, ok := conn.(*net.TCPConn); ok && result.kind == slowStream {
			_ = tcp.SetReadBuffer(slowReadBuffer)
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(result.sent.Add(result.timeout + c.replyTime())); err != nil {
		return err
	}
	if err := c.send(result.requestText()); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: result.kind.method})
	if err != nil {
		return err
	}
	result.status = response.StatusCode
	result.body, err = c.readBody(result.kind, response.Body)
	if err != nil {
		return err
	}
	if response.Close {
		c.closeConnection()
	}
	return nil
}

func (c *call) requestText() string {
	headers := []string{
		c.kind.method + " " + c.path + " " + c.version, "Host: h", attemptHeader + ": " + c.id, "Api-Key: " + c.key,
		fmt.Sprintf("X-Persimmonridge-Deadline-Ms: %d", c.timeout.Milliseconds()),
	}
	if c.kind.stream {
		headers = append(headers, c.shape.headers()...)
	}
	if c.kind.stream && c.prompted {
		headers = append(headers, promptHeader+": "+c.promptOf())
	}
	body := ""
	if c.kind.method == http.MethodPost {
		body = "body of " + c.id
	}
	headers = append(headers, fmt.Sprintf("Content-Length: %d", len(body)))
	return strings.Join(headers, "\r\n") + "\r\n\r\n" + body
}

// complete reports whether the body is the complete answer to this request.
func (c *call) complete() bool {
	if !c.kind.stream {
		return c.body == expectedAnswer(c.id)
	}
	var want strings.Builder
	for i := 1; i <= c.shape.events; i++ {
		want.WriteString(eventText(c.id, i))
	}
	return c.body == want.String()
}

// isEventPrefix reports whether the body of a stream consists of its first events,
// each of them complete.
func (c *call) isEventPrefix() bool {
	if !c.kind.stream || c.status != http.StatusOK {
		return true
	}
	var want strings.Builder
	for i := 1; i <= c.shape.events; i++ {
		if c.body == want.String() {
			return true
		}
		want.WriteString(eventText(c.id, i))
	}
	return c.body == want.String()
}

// timedOut reports whether the caller's timeout expired.
func (c *call) timedOut() bool {
	var timeout net.Error
	return errors.As(c.err, &timeout) && timeout.Timeout()
}
