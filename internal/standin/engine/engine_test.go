package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/engine"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// Guards against a stand-in that ends the answer of an aborted run as if it were
// complete. The caller closes its sending side, which aborts the run, and still reads.
func TestAnswerOfAbortedRunDoesNotLookComplete(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				n := network.New()
				listener, err := n.Listen("a:1")
				require.NoError(t, err)
				e := engine.New(listener, engine.Settings{TokenGap: 10 * time.Millisecond, Knee: 8, PrefillRate: 20000, CacheTokens: 100}, nil)
				conn, err := n.DialContext(context.Background(), "tcp", "a:1")
				require.NoError(t, err)
				body := fmt.Sprintf(`{"stream":%t,"messages":[{"role":"user","content":"[length=50] [mark=m]"}]}`, stream)
				request, err := http.NewRequest(http.MethodPost, "http://a:1/v1/chat/completions", strings.NewReader(body))
				require.NoError(t, err)
				require.NoError(t, request.Write(conn))
				bubble.Sleep(100 * time.Millisecond)
				require.NoError(t, conn.(interface{ CloseWrite() error }).CloseWrite())
				response, err := http.ReadResponse(bufio.NewReader(conn), request)
				if err == nil {
					_, err = io.ReadAll(response.Body)
				}
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				require.NoError(t, conn.Close())
				require.NoError(t, e.Close())
			})
		})
	}
}
