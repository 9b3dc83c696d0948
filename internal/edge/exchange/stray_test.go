package exchange_test

import (
	"net"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
)

const strayRefusal = "HTTP/1.1 400 Bad Request\nNot-Run: 1\nContent-Length: 3\n\nbad"

// Guards against a request that runs twice: bytes that an upstream sent after an earlier answer
// are taken for the refusal of the next request, which it runs.
func TestRefusalThatFollowsAnAnswerIsNotThatOfTheNextRequest(t *testing.T) {
	client := newClient(t)
	answer, err := client.Do(t.Context(), keptUpstream(t, client).address, request("one"))
	require.NoError(t, err)
	require.False(t, answer.NotExecuted)
	require.True(t, answer.Sealed)
	answer.Close(true)
}

// Guards against a refusal that is not believed: nothing precedes it on a new connection.
func TestRefusalWithoutAnIDOnANewConnectionCounts(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ int) bool { return write(conn, strayRefusal) })
	answer, err := newClient(t).Do(t.Context(), u.address, request("one"))
	require.NoError(t, err)
	require.True(t, answer.NotExecuted)
	answer.Close(true)
}

// keptUpstream returns an upstream to which the client keeps a connection, and which sends a
// refusal without an ID before each further answer.
func keptUpstream(t *testing.T, client *exchange.Client) *upstream {
	t.Helper()
	answered := false
	u := startUpstream(t, func(conn net.Conn, _ int) bool {
		text := completeAnswer
		if answered {
			text = strayRefusal + completeAnswer
		}
		answered = true
		return write(conn, text)
	})
	_, err := roundTrip(t, client, u, "one")
	require.NoError(t, err)
	return u
}

// Guards against a caller that waits until its deadline for an answer after which nothing comes.
func TestAnswerWithoutAnIDOnAKeptConnectionIsNotWaitedBehindForLong(t *testing.T) {
	for name, more := range map[string]string{"silence": "", "chunks": "HTTP/1.1 400 Bad Request\nTransfer-Encoding: chunked\n\n3\nbad\n0\n\n"} {
		t.Run(name, func(t *testing.T) {
			answered := false
			u := startUpstream(t, func(conn net.Conn, _ int) bool {
				text := completeAnswer
				if answered {
					text = strayRefusal + more
				}
				answered = true
				return write(conn, text)
			})
			client := newClient(t)
			_, err := roundTrip(t, client, u, "one")
			require.NoError(t, err)
			began := time.Now()
			_, err = client.Do(t.Context(), u.address, request("one"))
			require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
			require.False(t, errorx.IsOfType(err, exchange.Stale), "%v", err)
			require.Less(t, time.Since(began), 5*time.Second)
		})
	}
}
