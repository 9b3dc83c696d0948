package framing_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/upstream/framing"
)

const kept = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// serve answers the requests on all connections with the texts, one after the other.
func serve(listener net.Listener, texts []string, requests, connections *atomic.Int32) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		connections.Add(1)
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, texts[min(int(requests.Add(1)), len(texts))-1])
			}
		}()
	}
}

// Guards against a malformed head on a kept connection that counts as its end, so that the
// transport sends the request again by itself, and against a head that is judged by a former one.
func TestMalformedAnswerOnAKeptConnectionIsNotAskedForAgain(t *testing.T) {
	memory := network.New()
	listener, err := memory.Listen("10.0.0.1:80")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var requests, connections atomic.Int32
	interim := "HTTP/1.1 103 Early Hints\r\n\r\n" + kept
	go serve(listener, []string{kept, interim, "HTTP/1.1 200 OK\r\nX Y: v\r\nContent-Length: 2\r\n\r\nok", kept}, &requests, &connections)
	client := &http.Client{Transport: framing.NewTransport(&http.Transport{DialContext: memory.DialContext})}
	defer client.CloseIdleConnections()
	for i, sound := range []bool{true, true, false, true} {
		response, err := client.Get("http://" + listener.Addr().String())
		require.Equal(t, int32(i+1), requests.Load())
		if !sound {
			require.True(t, framing.IsMalformed(err), "%v", err)
			continue
		}
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		require.NoError(t, response.Body.Close())
	}
	require.Equal(t, int32(2), connections.Load(), "the connection of a malformed answer is not kept")
}
