package soak_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
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
	// once requests may run once at most.
	once bool
}

var kinds = []kind{
	{name: "book", method: http.MethodPost, path: "/book/x", once: true},
	{name: "read", method: http.MethodGet, path: "/read/x"},
	{name: "stream", method: http.MethodPost, path: "/stream/x", stream: true},
	{name: "once", method: http.MethodPost, path: "/once/x", stream: true, once: true},
}

// callerPatience is how long a caller waits; patienceSlack is what it takes to
// notice that it is over.
const callerPatience = 3 * time.Second

// call is one request and what its caller saw.
type call struct {
	id      string
	kind    kind
	path    string
	gateway int
	sent    time.Time
	ended   time.Time
	status  int
	body    string
	// err is why there is no whole answer.
	err error
	// rested is how long the connection was not used before.
	rested time.Duration
	// unsent calls never reached a process: nothing listened.
	unsent bool
}

// caller sends one request after the other to one gateway, on one connection
// for as long as it lives.
type caller struct {
	world   *world
	number  int
	gateway int
	random  *rand.Rand
	conn    net.Conn
	reader  *bufio.Reader
	sent    int
	// usedUntil is the end of the last call.
	usedUntil time.Time
}

func newCaller(w *world, number int) *caller {
	return &caller{
		world: w, number: number, gateway: number % gateways,
		random: rand.New(rand.NewPCG(w.seed, uint64(number)+1000)),
	}
}

// run calls until the world's callers are to end.
func (c *caller) run() {
	defer c.drop()
	for !c.world.over() {
		k := kinds[c.random.IntN(len(kinds))]
		c.world.note(c.call(k, k.path))
		<-time.After(time.Duration(5+c.random.IntN(60)) * time.Millisecond)
	}
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call makes one call. Callers go on using an open connection until its other
// end closes it; a request that crosses that is not sent again.
func (c *caller) call(k kind, path string) call {
	c.sent++
	made := call{id: fmt.Sprintf("%016x", c.world.seed<<40|uint64(c.number)<<24|uint64(c.sent)), kind: k, path: path, gateway: c.gateway, sent: time.Now()}
	if c.conn != nil {
		made.rested = made.sent.Sub(c.usedUntil)
	}
	made.err = c.exchange(&made)
	made.ended = time.Now()
	c.usedUntil = made.ended
	if made.err != nil {
		c.drop()
	}
	return made
}

func (c *caller) exchange(made *call) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.world.processes[c.gateway].address+":8221", time.Second)
		if err != nil {
			made.unsent = true
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(made.sent.Add(callerPatience)); err != nil {
		return err
	}
	if _, err := io.WriteString(c.conn, made.text()); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: made.kind.method})
	if err != nil {
		return err
	}
	made.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	made.body = string(body)
	if err != nil {
		return err
	}
	if response.Close {
		c.drop()
	}
	return nil
}

func (c *call) text() string {
	headers := []string{
		c.kind.method + " " + c.path + " HTTP/1.1", "Host: h", attemptHeader + ": " + c.id, "Api-Key: key",
		fmt.Sprintf("X-Persimmonridge-Deadline-Ms: %d", callerPatience.Milliseconds()),
	}
	if c.kind.stream {
		headers = append(headers, "X-Persimmonridge-Token-Counts: 200,160", "X-Persimmonridge-Length-Hint: 100")
	}
	body := ""
	if c.kind.method == http.MethodPost {
		body = "body of " + c.id
	}
	headers = append(headers, fmt.Sprintf("Content-Length: %d", len(body)))
	return strings.Join(headers, "\r\n") + "\r\n\r\n" + body
}

// whole tells whether the answer is the whole one of this request.
func (c *call) whole() bool {
	if !c.kind.stream {
		return c.body == wholeAnswer(c.id)
	}
	var want strings.Builder
	for i := 1; i <= streamEvents; i++ {
		want.WriteString(event(c.id, i))
	}
	return c.body == want.String()
}

// inPieces tells whether what came of a stream is its beginning, event by event.
func (c *call) inPieces() bool {
	if !c.kind.stream || c.status != http.StatusOK {
		return true
	}
	var want strings.Builder
	for i := 1; i <= streamEvents; i++ {
		if c.body == want.String() {
			return true
		}
		want.WriteString(event(c.id, i))
	}
	return c.body == want.String()
}

// left tells whether the caller gave up waiting.
func (c *call) left() bool {
	var timeout net.Error
	return errors.As(c.err, &timeout) && timeout.Timeout()
}
