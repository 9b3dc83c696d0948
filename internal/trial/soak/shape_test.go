package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// eventTokens is how many tokens an event of a stream stands for.
	eventTokens = 6
	// promptPerMs is how many tokens of a prompt an upstream reads in a millisecond.
	promptPerMs   = 100
	longestPrompt = 6600
	// unstatedShare is one in how many streams states no length, and slowReaders and chunkedShare
	// one in how many callers reads slowly and sends its bodies in chunks.
	unstatedShare = 8
	slowReaders   = 5
	chunkedShare  = 3
	// slowPiece is how many bytes a slow reader reads, slowPause its pause after that. It reads
	// faster than upstreams usually write.
	slowPiece         = 32
	slowPause         = 5 * time.Millisecond
	longestChunkPause = 50 * time.Millisecond
	// replyTime is how much longer than its deadline a caller waits.
	replyTime = 200 * time.Millisecond
	// routeTimeoutSlowed is the timeout of all routes while upstreams turn slow.
	routeTimeoutSlowed = 15 * time.Second
)

// shape is the length of a request and what it states of it.
type shape struct {
	events  int
	timeout time.Duration
	// prompt, mostOutput and hint are in tokens; they are 0 if they are not stated.
	prompt, mostOutput, hint int
}

// usualShape is that of all requests while upstreams keep their pace.
var usualShape = shape{events: streamEvents, prompt: 200, mostOutput: 160, hint: 100}

// shapeOf returns the shape of a request, which its ID determines.
func (tb *testbed) shapeOf(id string) shape {
	if !tb.plays(slowedFromSeed) {
		return usualShape
	}
	random := rand.New(rand.NewPCG(tb.seed, xxhash.Sum64String(id)))
	most := []int{10, 20, 45, 45, 150, 400}[random.IntN(6)]
	s := shape{
		events:  1 + min(most-1, int(random.ExpFloat64()*float64(most)/6)),
		timeout: []time.Duration{3, 12, 15}[random.IntN(3)] * time.Second,
		prompt:  1 + random.IntN(longestPrompt>>random.IntN(5)), mostOutput: most * eventTokens,
	}
	// Most hints are too low.
	s.hint = max(1, int(float64(s.events*eventTokens)*(0.1+1.2*random.Float64())))
	if random.IntN(unstatedShare) == 0 {
		s.prompt, s.mostOutput, s.hint = 0, 0, 0
	}
	return s
}

// headers returns the headers that state the length of a stream.
func (s shape) headers() []string {
	if s.mostOutput == 0 {
		return nil
	}
	return []string{
		fmt.Sprintf("X-Persimmonridge-Token-Counts: %d,%d", s.prompt, s.mostOutput),
		fmt.Sprintf("X-Persimmonridge-Length-Hint: %d", s.hint),
	}
}

// readPrompt waits as long as an upstream reads the prompt of a stream.
func (u *upstream) readPrompt(ctx context.Context, s shape) {
	if s != usualShape {
		u.work(ctx, time.Duration(s.prompt)*time.Millisecond/promptPerMs)
	}
}

// sendsChunks and readsSlowly report how the caller sends and reads bodies.
func (c *caller) sendsChunks() bool {
	return c.testbed.plays(slowedFromSeed) && c.number%chunkedShare == 0
}

func (c *caller) readsSlowly() bool {
	return c.testbed.plays(slowedFromSeed) && c.number%slowReaders == 0
}

// send sends a request.
func (c *caller) send(text string) error {
	if c.sendsChunks() {
		return sendInChunks(c.conn, text, randomDuration(c.random, 0, longestChunkPause))
	}
	_, err := io.WriteString(c.conn, text)
	return err
}

// replyTime is how much longer than its deadline the caller waits.
func (c *caller) replyTime() time.Duration {
	if c.testbed.plays(slowedFromSeed) {
		return replyTime
	}
	return 0
}

// sendInChunks sends a request whose body is in two chunks, with a pause between them.
func sendInChunks(conn io.Writer, text string, gap time.Duration) error {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	if body == "" {
		_, err := io.WriteString(conn, text)
		return err
	}
	lines := strings.Split(head, "\r\n")
	lines[len(lines)-1] = "Transfer-Encoding: chunked"
	half := len(body) / 2
	first := fmt.Sprintf("%s\r\n\r\n%x\r\n%s\r\n", strings.Join(lines, "\r\n"), half, body[:half])
	if _, err := io.WriteString(conn, first); err != nil {
		return err
	}
	<-time.After(gap)
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(body)-half, body[half:])
	return err
}

// slowReader reads a few bytes at a time.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	<-time.After(slowPause)
	return r.Reader.Read(p[:min(len(p), slowPiece)])
}
