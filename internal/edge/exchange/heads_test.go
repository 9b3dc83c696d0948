package exchange_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/proof/heads"
)

// headLines are the header lines of the heads that tests cut.
var headLines = heads.Lines{ID: "Request-Id: one", OtherID: "Request-Id: zero", Seal: "Seal: s", NotExecuted: "Not-Run: 1", Load: "Load: 3,1,12"}

// Guards against an answer whose head broke off that is taken for one with an empty body, and
// against a refusal that broke off that tells that nothing ran.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for name, head := range heads.All(headLines) {
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
	for name, head := range heads.All(headLines) {
		u := startUpstream(t, func(conn net.Conn, _ int) bool {
			_, _ = io.WriteString(conn, head)
			return false
		})
		answer, err := newClient(t).Do(context.Background(), u.address, request("one"))
		require.NoError(t, err, name)
		answer.Close(false)
	}
}
