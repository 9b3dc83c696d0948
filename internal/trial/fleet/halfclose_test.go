package fleet_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/trial/fleet"
)

// Guards against a truncated answer that looks complete to a caller that closes its
// sending side and still reads: the entry takes it for disconnected, cancels the run
// and must abort the connection.
func TestHalfClosedCallerGetsNoTruncatedAnswerAsComplete(t *testing.T) {
	for name, closeAfter := range map[string]time.Duration{"before the first token": time.Millisecond, "within the stream": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				spec, err := fleet.NewSpec(examples.CairoInventory, examples.CairoRules, 1)
				require.NoError(t, err)
				net := network.New()
				spec.Network, spec.Engines, spec.Bookings = net, spec.Engines[:2], spec.Bookings[:2]
				logger := slog.New(slog.DiscardHandler)
				site, err := fleet.New(spec, logger, invariant.New(logger))
				require.NoError(t, err)
				conn, err := net.DialContext(context.Background(), "tcp", strings.TrimPrefix(site.URLs()[0], "http://"))
				require.NoError(t, err)
				c := critique("m", 300)
				request, err := http.NewRequest(c.method, site.URLs()[0]+c.path, strings.NewReader(c.body))
				require.NoError(t, err)
				request.Header.Set("X-Workspace", "evening-drawing")
				require.NoError(t, request.Write(conn))
				bubble.Sleep(closeAfter)
				require.NoError(t, conn.(interface{ CloseWrite() error }).CloseWrite())
				response, err := http.ReadResponse(bufio.NewReader(conn), request)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(response.Body)
				}
				require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%s", body)
				require.NoError(t, conn.Close())
				require.NoError(t, site.Close())
			})
		})
	}
}
