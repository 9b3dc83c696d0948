package exchange_test

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
)

// readHeads returns the heads of answers in testdata/heads.txt by name, with both kinds of line ends.
func readHeads(t *testing.T) map[string]string {
	t.Helper()
	data, err := os.ReadFile("testdata/heads.txt")
	require.NoError(t, err)
	heads := make(map[string]string)
	headers := strings.NewReplacer("@id", "Request-Id: one", "@seal", "Seal: s", "@other-id", "Request-Id: zero",
		"@not-executed", "Not-Run: 1", "@load", "Load: 3,1,12")
	for _, section := range strings.Split(string(data), "-- ")[1:] {
		name, text, ok := strings.Cut(section, " --\n")
		require.True(t, ok, section)
		text = headers.Replace(text)
		heads[name+", bare line feeds"] = text
		heads[name] = strings.ReplaceAll(text, "\n", "\r\n")
	}
	require.Len(t, heads, 26)
	return heads
}

// Guards against an answer whose head broke off that is taken for one with an empty body, and
// against a refusal that broke off that tells that nothing ran.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for name, head := range readHeads(t) {
		for ending, reset := range map[string]bool{"end": false, "reset": true} {
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				client := newClient(t)
				for cut := range len(head) {
					u := startUpstream(t, func(conn net.Conn, _ int) bool {
						_, _ = io.WriteString(conn, head[:cut])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					answer, err := client.Do(context.Background(), u.address, request("one"))
					require.Nil(t, answer, "cut after %d bytes", cut)
					require.True(t, errorx.IsOfType(err, exchange.Lost), "cut after %d bytes: %v", cut, err)
				}
			})
		}
	}
}

func TestWholeHeadIsAnAnswer(t *testing.T) {
	for name, head := range readHeads(t) {
		u := startUpstream(t, func(conn net.Conn, _ int) bool {
			_, _ = io.WriteString(conn, head)
			return false
		})
		answer, err := newClient(t).Do(context.Background(), u.address, request("one"))
		require.NoError(t, err, name)
		answer.Close(false)
	}
}
