package exchange_test

import (
	"io"
	"net"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/proof/heads"
)

// requireNoAnswers sends a request to upstreams that answer with one of the texts each, which are
// no answers. What an upstream did that sends such bytes is not known.
func requireNoAnswers(t *testing.T, texts map[string]string) {
	t.Helper()
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, ending := range []string{"", heads.Reset} {
				answer, err := sendTo(t, text+ending)
				require.Nil(t, answer)
				require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
				require.False(t, errorx.IsOfType(err, exchange.Stale), "%v", err)
			}
		})
	}
}

// Guards against an answer whose status is none, and against one that is read where its body is.
func TestAnswerWithoutAStatusIsNone(t *testing.T) {
	requireNoAnswers(t, heads.UnknownStatuses(headLines))
}

// Guards against bytes on a kept connection that are no answer and count as its end, so that the
// request is taken for one that did not arrive.
func TestAnswerWithoutAStatusOnAKeptConnectionIsNotStale(t *testing.T) {
	answered := false
	u := startUpstream(t, func(conn net.Conn, _ int) bool {
		text := completeAnswer
		if answered {
			text = "HTTP/1.1 000 OK\nRequest-Id: one\nSeal: s\nContent-Length: 2\n\nok"
		}
		answered = true
		return write(conn, text)
	})
	client := newClient(t)
	_, err := roundTrip(t, client, u, "one")
	require.NoError(t, err)
	_, err = roundTrip(t, client, u, "one")
	require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
	require.False(t, errorx.IsOfType(err, exchange.Stale), "%v", err)
	require.Len(t, u.connections, 1)
}

// Guards against a line that is no header field and is passed over, so that an answer is read
// without it, or framed otherwise than its upstream did.
func TestAnswerWithALineThatIsNoFieldIsNone(t *testing.T) {
	requireNoAnswers(t, heads.BadLines(headLines))
}

// Guards against the bytes of chunks that are read as a body, because the version of the answer
// has no chunks.
func TestAnswerInACodingThatItsVersionLacksIsNone(t *testing.T) {
	requireNoAnswers(t, heads.OldCodings(headLines))
}

// Guards against bytes of another protocol that are read as the answer.
func TestAnswerThatSwitchesTheProtocolIsNone(t *testing.T) {
	requireNoAnswers(t, heads.Switches(headLines))
}

// Guards against a sound answer that is refused because it is unusual.
func TestUnusualAnswersAreRead(t *testing.T) {
	for name, text := range heads.Sound(headLines) {
		for _, size := range []string{"at once", "byte by byte"} {
			t.Run(name+" "+size, func(t *testing.T) {
				t.Parallel()
				u := startUpstream(t, func(conn net.Conn, _ int) bool {
					if size == "at once" {
						_, err := io.WriteString(conn, text)
						return err == nil
					}
					for i := range len(text) {
						if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
							return false
						}
					}
					return true
				})
				client := newClient(t)
				for range 2 {
					answer, err := client.Do(t.Context(), u.address, request("one"))
					require.NoError(t, err)
					require.Equal(t, 200, answer.Status)
					body, err := io.ReadAll(iotest.OneByteReader(answer))
					require.NoError(t, err)
					require.Equal(t, "inner", string(body))
					answer.Close(true)
				}
			})
		}
	}
}
