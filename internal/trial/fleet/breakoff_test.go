package fleet_test

import (
	"bufio"
	"context"
	"fmt"
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

// Guards against an answer of an entry that broke off and looks whole, to callers of HTTP/1.0
// as well, who are told the end by the connection alone.
func TestAnswerOfAnEntryThatBreaksOffLooksWholeToNoCaller(t *testing.T) {
	for name, harm := range map[string]func(f *fleet.Fleet) error{
		"engines crash": func(f *fleet.Fleet) error {
			for _, upstream := range f.Upstreams() {
				if f.Engine(upstream) != nil {
					f.Engine(upstream).Crash()
				}
			}
			return nil
		},
		"agents end": func(f *fleet.Fleet) error {
			for _, upstream := range f.Upstreams() {
				if err := f.KillAgent(upstream); err != nil {
					return err
				}
			}
			return nil
		},
		"the entry ends": func(f *fleet.Fleet) error { return f.KillEntry(f.Entries()[0]) },
		"nothing":        nil,
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" "+version, func(t *testing.T) {
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
					_, err = fmt.Fprintf(conn, "%s %s %s\r\nHost: h\r\nX-Workspace: evening-drawing\r\nContent-Length: %d\r\n\r\n%s", c.method, c.path, version, len(c.body), c.body)
					require.NoError(t, err)
					reader := bufio.NewReader(conn)
					response, err := http.ReadResponse(reader, nil)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode)
					first := make([]byte, 10)
					_, err = io.ReadFull(response.Body, first)
					require.NoError(t, err)
					if harm != nil {
						bubble.Sleep(100 * time.Millisecond)
						require.NoError(t, harm(site))
					}
					body, err := io.ReadAll(response.Body)
					if harm == nil {
						require.NoError(t, err)
						require.True(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"))
					} else {
						require.Error(t, err, "%d bytes look whole", len(body))
					}
					require.NoError(t, conn.Close())
					_ = site.Close()
				})
			})
		}
	}
}
