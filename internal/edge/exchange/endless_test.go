package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
)

// answerEndlessly answers the request on the connection with the start and then with the rest
// again and again, until the other side closes. It returns the number of bytes that were read.
func answerEndlessly(t *testing.T, conn net.Conn, start, rest string) (read int) {
	t.Helper()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, request.Body)
	require.NoError(t, err)
	piece := strings.Repeat(rest, max(1, 1024/len(rest)))
	for text := start; ; text = piece {
		n, err := io.WriteString(conn, text)
		read += n
		if err != nil {
			return read
		}
	}
}

const (
	answerHead = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nSeal: s\r\n"
	otherHead  = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\n"
)

// Guards against a gateway that reads what a faulty upstream sends in place of an answer until
// its memory is exhausted, and quotes all of it in its log.
func TestBytesWithoutEndInAHeadAreNotRead(t *testing.T) {
	for name, c := range map[string]struct {
		start, rest string
		most        int
	}{
		"no answer":               {"", "\xa5", 4 << 10},
		"line of text":            {"ERROR ", "x", 4 << 10},
		"empty lines":             {"", "\r\n", 4 << 10},
		"status line":             {"HTTP/1.1 200 ", "O", 64 << 10},
		"protocol":                {"HTTP/", "1", 64 << 10},
		"header line":             {answerHead + "X: ", "y", 64 << 10},
		"header name":             {answerHead, "n", 64 << 10},
		"header lines":            {answerHead, "X: y\r\n", 64 << 10},
		"continued header line":   {answerHead + "X: y\r\n", " y\r\n", 64 << 10},
		"1xx answers":             {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 64 << 10},
		"header line of 1xx":      {"HTTP/1.1 103 Early Hints\r\nX: ", "y", 64 << 10},
		"answers to others":       {"", otherHead + "Content-Length: 2\r\n\r\nok", 64 << 10},
		"long answer to others":   {otherHead + "Content-Length: 99999999999\r\n\r\n", "x", 8 << 10},
		"chunked answer to other": {otherHead + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", 8 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			read := make(chan int, 1)
			go func() { read <- answerEndlessly(t, far, c.start, c.rest) }()
			pool := exchange.NewPool(func(context.Context, string, string) (net.Conn, error) { return near, nil })
			client := exchange.NewClient(pool, names, time.Now)
			_, err := client.Do(t.Context(), "upstream", request("one"))
			require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
			require.False(t, errorx.IsOfType(err, exchange.Stale), "%v", err)
			require.Less(t, len(err.Error()), 1000)
			require.LessOrEqual(t, <-read, c.most)
			require.NoError(t, pool.Close())
		})
	}
}

// Guards against the lines between the chunks of a body, or after them, that have no end.
func TestBytesWithoutEndBesideABodyAreNotRead(t *testing.T) {
	chunked := answerHead + "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, rest string }{
		"chunk size":      {chunked, "0"},
		"chunk extension": {chunked + "2;", "e"},
		"trailer line":    {chunked + "2\r\nok\r\n0\r\nX: ", "y"},
		"trailer lines":   {chunked + "2\r\nok\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			read := make(chan int, 1)
			go func() { read <- answerEndlessly(t, far, c.start, c.rest) }()
			pool := exchange.NewPool(func(context.Context, string, string) (net.Conn, error) { return near, nil })
			answer, err := exchange.NewClient(pool, names, time.Now).Do(t.Context(), "upstream", request("one"))
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, answer)
			require.Error(t, err)
			answer.Close(false)
			require.LessOrEqual(t, <-read, 64<<10)
			require.NoError(t, pool.Close())
		})
	}
}

// Guards against a sound answer with a long header, or whose body arrives with its header, that
// is refused as one without end.
func TestLongHeadIsRead(t *testing.T) {
	body := strings.Repeat("line\n", 700)
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		_, _ = io.WriteString(far, answerHead+"X: "+strings.Repeat("y", 30<<10)+"\r\n\r\n"+body)
	}()
	pool := exchange.NewPool(func(context.Context, string, string) (net.Conn, error) { return near, nil })
	r := request("one")
	r.Body = nil
	answer, err := exchange.NewClient(pool, names, time.Now).Do(t.Context(), "upstream", r)
	require.NoError(t, err)
	require.Len(t, answer.Header.Get("X"), 30<<10)
	got, err := io.ReadAll(answer)
	require.NoError(t, err)
	require.Equal(t, body, string(got))
	answer.Close(false)
	require.NoError(t, pool.Close())
}
