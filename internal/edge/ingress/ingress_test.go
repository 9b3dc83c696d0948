package ingress_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// Guards against a request that is read while its connection is closed as idle, and
// gets no answer.
func TestRequestAtTheIdleLimitIsNotDropped(t *testing.T) {
	runServer(t, 10*time.Millisecond, func(f *fixture) {
		for offset := -5 * time.Millisecond; offset <= 15*time.Millisecond; offset += time.Millisecond {
			c := f.dial()
			_, err := c.call()
			require.NoError(t, err)
			bubble.Sleep(idleLimit + offset)
			path, err := c.call()
			require.False(t, c.readButUnanswered(path, err), "sent %v after the limit: %v", offset, err)
			if offset < 0 {
				require.NoError(t, err, "sent %v before the limit", -offset)
			}
		}
		require.Zero(t, f.closedConns.inFlight.Load())
	})
}

// Guards against a request that is dropped because a shutdown closes its idle
// connection at the same time.
func TestRequestAtTheEndOfAShutdownIsServed(t *testing.T) {
	for _, delay := range []time.Duration{0, 10 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			runServer(t, delay, func(f *fixture) {
				f.setIdleLimit(time.Minute)
				// All requests are answered before the shutdown, so no caller is
				// told to close its connection.
				callers := make([]*caller, 100)
				for i := range callers {
					callers[i] = f.dial()
					_, err := callers[i].call()
					require.NoError(t, err)
				}
				var wg sync.WaitGroup
				var lost atomic.Int64
				for i, c := range callers {
					wg.Go(func() {
						bubble.Sleep(ingress.ShutdownLinger - 300*time.Millisecond + time.Duration(i)*5*time.Millisecond)
						if c.readButUnanswered(c.call()) {
							lost.Add(1)
						}
					})
				}
				f.stop()
				wg.Wait()
				require.Zero(t, lost.Load(), "requests that were read and not answered")
				require.Zero(t, f.closedConns.inFlight.Load())
			})
		})
	}
}

// Guards against an idle limit that is read only once: idle connections kept the
// previous one, and were closed while their callers relied on the new one.
func TestChangedIdleLimitAppliesToIdleConnections(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, scripts)
	for _, script := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(script), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(script)
			require.NoError(t, err)
			runServer(t, 0, func(f *fixture) {
				c := f.dial()
				for line := range strings.Lines(string(text)) {
					c.step(strings.TrimSpace(line))
				}
			})
		})
	}
}

// step executes one line of a script: limit DURATION, rest DURATION, call served,
// call closed, or a comment.
func (c *caller) step(line string) {
	t := c.fixture.t
	verb, argument, _ := strings.Cut(line, " ")
	switch verb {
	case "#", "":
	case "limit", "rest":
		d, err := time.ParseDuration(argument)
		require.NoError(t, err, line)
		if verb == "limit" {
			c.fixture.setIdleLimit(d)
			return
		}
		bubble.Sleep(d)
	case "call":
		_, err := c.call()
		// The connection must be idle again before the next step.
		synctest.Wait()
		require.Equal(t, argument == "served", err == nil, "%s: %v", line, err)
	default:
		require.Fail(t, "unknown step", line)
	}
}

// Guards against a shutdown that closes a connection with a request in flight
// without counting it.
func TestRequestAbortedByAShutdownIsCounted(t *testing.T) {
	runServer(t, 0, func(f *fixture) {
		c := f.dial()
		ctx, cancel := context.WithCancel(f.t.Context())
		cancel()
		callErr := make(chan error, 1)
		go func() {
			_, err := c.call()
			callErr <- err
		}()
		bubble.Sleep(handlerTime / 2)
		f.stopOnce.Do(func() { require.NoError(t, f.server.Shutdown(ctx)) })
		require.Error(t, <-callErr)
		require.NoError(t, <-f.serveDone)
		require.Equal(t, int64(1), f.closedConns.inFlight.Load())
	})
}

// Guards against a handler that aborts an answer without it being counted.
func TestRequestAbortedByTheHandlerIsCounted(t *testing.T) {
	runServer(t, 0, func(f *fixture) {
		c := f.dial()
		require.NoError(t, c.write(request(abortedPath)))
		require.Error(t, c.read())
		synctest.Wait()
		require.Equal(t, int64(1), f.closedConns.inFlight.Load())
	})
}

// Guards against an idle limit that applies to pipelined requests, which arrive in
// one write: they were dropped or answered late.
func TestPipelinedRequestsAreServed(t *testing.T) {
	for _, last := range []string{"/last", slowPath} {
		t.Run(last, func(t *testing.T) {
			runServer(t, 0, func(f *fixture) {
				c := f.dial()
				startedAt := time.Now()
				require.NoError(t, c.write(request("/first")+request("/second")+request(last)))
				require.NoError(t, c.read())
				require.NoError(t, c.read())
				require.Equal(t, 2*handlerTime, time.Since(startedAt))
				require.NoError(t, c.read())
				require.Zero(t, f.closedConns.idle.Load())
			})
		})
	}
}

// Guards against a shutdown that waits for the idle limit of a connection on which
// two requests were pipelined.
func TestShutdownAfterPipelinedRequestsEnds(t *testing.T) {
	runServer(t, 0, func(f *fixture) {
		f.setIdleLimit(time.Minute)
		c := f.dial()
		require.NoError(t, c.write(request("/first")+request("/second")))
		require.NoError(t, c.read())
		require.NoError(t, c.read())
		startedAt := time.Now()
		f.stop()
		require.Less(t, time.Since(startedAt), ingress.ShutdownLinger+time.Second)
	})
}

// Guards against a reset of the connection that loses the end of the answer to a
// too large header.
func TestTooLargeHeaderGetsACompleteAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := ingress.New(ingress.Dependencies{
		Handler: http.NotFoundHandler(), Catalog: func() *catalog.Catalog { return nil }, Metrics: &closedCounts{},
		Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("a", 80<<10)+"\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, server.Shutdown(ctx))
	require.NoError(t, <-done)
}

// Guards against an incomplete request that keeps its connection open for ever.
func TestIncompleteRequestTimesOut(t *testing.T) {
	for _, piece := range []string{"G", "GET ", "GET / HTTP/1.1\r\nHo"} {
		t.Run(piece, func(t *testing.T) {
			runServer(t, 0, func(f *fixture) {
				c := f.dial()
				_, err := c.call()
				require.NoError(t, err)
				bubble.Sleep(time.Second)
				require.NoError(t, c.write(piece))
				startedAt := time.Now()
				require.NoError(t, c.conn.SetReadDeadline(startedAt.Add(time.Hour)))
				_, err = io.ReadAll(c.reader)
				require.NoError(t, err)
				require.LessOrEqual(t, time.Since(startedAt), ingress.HeaderTimeout)
			})
		})
	}
}

// Guards against a connection that is accepted as the drain begins, and whose
// request is not answered.
func TestConnectionAcceptedAsADrainBeginsIsServed(t *testing.T) {
	for offset := 50 * time.Millisecond; offset <= 200*time.Millisecond; offset += 5 * time.Millisecond {
		runServer(t, 10*time.Millisecond, func(f *fixture) {
			callErr := make(chan error, 1)
			go func() {
				bubble.Sleep(ingress.ShutdownLinger + offset)
				c := f.tryDial()
				if c == nil {
					callErr <- nil
					return
				}
				_, err := c.call()
				callErr <- err
			}()
			f.stop()
			if err := <-callErr; f.accepted.Load() > 0 {
				require.NoError(t, err, "sent %v after the linger time", offset)
			}
		})
	}
}

// Guards against a shutdown that is delayed by an incomplete request.
func TestIncompleteRequestDoesNotDelayAShutdown(t *testing.T) {
	for _, piece := range []string{"G", "GET / HT", "\r\n"} {
		t.Run(piece, func(t *testing.T) {
			runServer(t, 0, func(f *fixture) {
				f.setIdleLimit(time.Minute)
				c := f.dial()
				_, err := c.call()
				require.NoError(t, err)
				startedAt := time.Now()
				go func() {
					bubble.Sleep(ingress.ShutdownLinger - time.Second)
					_ = c.write(piece)
				}()
				f.stop()
				require.Less(t, time.Since(startedAt), ingress.ShutdownLinger+ingress.DrainHeaderTimeout+time.Second)
			})
		})
	}
}

// Guards against a refused request whose body is never sent: its caller waited for
// ever and delayed a shutdown.
func TestRefusedRequestWithoutItsBodyTimesOut(t *testing.T) {
	for _, header := range []string{"", "Connection: close\r\n"} {
		t.Run(header, func(t *testing.T) {
			runServer(t, 0, func(f *fixture) {
				c := f.dial()
				require.NoError(t, c.write("POST "+refusedPath+" HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n"+header+"\r\n"))
				startedAt := time.Now()
				response, err := http.ReadResponse(c.reader, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusNotFound, response.StatusCode)
				_, err = io.Copy(io.Discard, c.reader)
				require.NoError(t, err)
				require.LessOrEqual(t, time.Since(startedAt), ingress.UnreadBodyTimeout+time.Second)
			})
		})
	}
}

// Guards against a configured header timeout that has no effect. The one that is
// configured when the header begins applies, on a new connection and on an open one.
func TestConfiguredHeaderTimeoutApplies(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second} {
		for _, first := range []bool{true, false} {
			runServer(t, 0, func(f *fixture) {
				f.setLimits(catalog.Limits{IdleTimeout: time.Minute, HeaderTimeout: limit})
				c := f.dial()
				if !first {
					_, err := c.call()
					require.NoError(t, err)
					bubble.Sleep(time.Second)
				}
				startedAt := time.Now()
				for _, piece := range []string{"GET / HTTP/1.1\r\n", "Host: h\r\n", "X: a"} {
					require.NoError(t, c.write(piece))
					bubble.Sleep(limit / 4)
				}
				require.NoError(t, c.conn.SetReadDeadline(startedAt.Add(time.Hour)))
				_, err := io.ReadAll(c.reader)
				require.NoError(t, err)
				require.Equal(t, limit, time.Since(startedAt), "first request: %v", first)
			})
		}
	}
}

// Guards against a configured header size that has no effect, and against one above
// the default that callers cannot use.
func TestConfiguredHeaderSizeApplies(t *testing.T) {
	runServer(t, 0, func(f *fixture) {
		for _, c := range []struct{ most, size, status int }{
			{8 << 10, 7 << 10, http.StatusOK},
			{8 << 10, 9 << 10, http.StatusRequestHeaderFieldsTooLarge},
			{128 << 10, 100 << 10, http.StatusOK},
			{0, 60 << 10, http.StatusOK},
			{0, 70 << 10, http.StatusRequestHeaderFieldsTooLarge},
		} {
			f.setLimits(catalog.Limits{IdleTimeout: time.Minute, MaxHeaderBytes: c.most})
			caller := f.dial()
			require.NoError(t, caller.write("GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("a", c.size)+"\r\n\r\n"))
			response, err := http.ReadResponse(caller.reader, nil)
			require.NoError(t, err)
			require.Equal(t, c.status, response.StatusCode, "%+v", c)
			require.Equal(t, c.status != http.StatusOK, response.Close)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.NoError(t, caller.conn.Close())
		}
	})
}
