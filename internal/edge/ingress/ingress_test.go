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

// Guards against a request that is read while the idle limit closes its
// connection, and gets no answer.
func TestRequestThatMeetsTheIdleLimitIsNotCut(t *testing.T) {
	play(t, 10*time.Millisecond, func(s *site) {
		for offset := -5 * time.Millisecond; offset <= 15*time.Millisecond; offset += time.Millisecond {
			c := s.dial()
			_, err := c.call()
			require.NoError(t, err)
			bubble.Pass(idleLimit + offset)
			path, err := c.call()
			require.False(t, c.lost(path, err), "sent %v after the limit: %v", offset, err)
			if offset < 0 {
				require.NoError(t, err, "sent %v before the limit", -offset)
			}
		}
		require.Zero(t, s.closed.inFlight.Load())
	})
}

// Guards against a request that is dropped or cut while a stop closes its idle
// connection.
func TestRequestThatMeetsTheEndOfAStopIsServed(t *testing.T) {
	for _, late := range []time.Duration{0, 10 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			play(t, late, func(s *site) {
				s.limit(time.Minute)
				// All are answered before the stop, so none is told to leave.
				callers := make([]*caller, 100)
				for i := range callers {
					callers[i] = s.dial()
					_, err := callers[i].call()
					require.NoError(t, err)
				}
				var wg sync.WaitGroup
				var lost atomic.Int64
				for i, c := range callers {
					wg.Go(func() {
						bubble.Pass(ingress.LingerAfterStop - 300*time.Millisecond + time.Duration(i)*5*time.Millisecond)
						if c.lost(c.call()) {
							lost.Add(1)
						}
					})
				}
				s.stop()
				wg.Wait()
				require.Zero(t, lost.Load(), "requests that were read and got no answer")
				require.Zero(t, s.closed.inFlight.Load())
			})
		})
	}
}

// Guards against a limit that is read once: idle connections kept the one of
// before, and were closed while their callers went by the new one.
func TestIdleLimitsThatChange(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, scripts)
	for _, script := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(script), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(script)
			require.NoError(t, err)
			play(t, 0, func(s *site) {
				c := s.dial()
				for line := range strings.Lines(string(text)) {
					c.step(strings.TrimSpace(line))
				}
			})
		})
	}
}

// step takes one line of a script: limit TIME, rest TIME, call served, call
// closed, or a comment.
func (c *caller) step(line string) {
	t := c.site.t
	verb, argument, _ := strings.Cut(line, " ")
	switch verb {
	case "#", "":
	case "limit", "rest":
		d, err := time.ParseDuration(argument)
		require.NoError(t, err, line)
		if verb == "limit" {
			c.site.limit(d)
			return
		}
		bubble.Pass(d)
	case "call":
		_, err := c.call()
		// The server is idle again before the next step.
		synctest.Wait()
		require.Equal(t, argument == "served", err == nil, "%s: %v", line, err)
	default:
		require.Fail(t, "unknown step", line)
	}
}

// Guards against a connection that is closed beside a request without a sign of
// who closed it.
func TestRequestThatTheStopCutsIsCounted(t *testing.T) {
	play(t, 0, func(s *site) {
		c := s.dial()
		ctx, cancel := context.WithCancel(s.t.Context())
		cancel()
		cut := make(chan error, 1)
		go func() {
			_, err := c.call()
			cut <- err
		}()
		bubble.Pass(handlerTime / 2)
		s.stopped.Do(func() { require.NoError(t, s.server.Stop(ctx)) })
		require.Error(t, <-cut)
		require.NoError(t, <-s.done)
		require.Equal(t, int64(1), s.closed.inFlight.Load())
	})
}

// Guards against a handler that breaks off an answer without a sign of it.
func TestRequestThatTheHandlerBreaksOffIsCounted(t *testing.T) {
	play(t, 0, func(s *site) {
		c := s.dial()
		require.NoError(t, c.write(request(broken)))
		require.Error(t, c.read())
		synctest.Wait()
		require.Equal(t, int64(1), s.closed.inFlight.Load())
	})
}

// Guards against the idle limit as a bound of requests that came in one write
// with the one before them: they were cut, or answered late.
func TestRequestsOfOneWriteAreServed(t *testing.T) {
	for _, last := range []string{"/last", slow} {
		t.Run(last, func(t *testing.T) {
			play(t, 0, func(s *site) {
				c := s.dial()
				begun := time.Now()
				require.NoError(t, c.write(request("/first")+request("/second")+request(last)))
				require.NoError(t, c.read())
				require.NoError(t, c.read())
				require.Equal(t, 2*handlerTime, time.Since(begun))
				require.NoError(t, c.read())
				require.Zero(t, s.closed.idle.Load())
			})
		})
	}
}

// Guards against a stop that waits for the idle limit of a connection on which
// two requests came in one write.
func TestStopAfterRequestsOfOneWriteEnds(t *testing.T) {
	play(t, 0, func(s *site) {
		s.limit(time.Minute)
		c := s.dial()
		require.NoError(t, c.write(request("/first")+request("/second")))
		require.NoError(t, c.read())
		require.NoError(t, c.read())
		begun := time.Now()
		s.stop()
		require.Less(t, time.Since(begun), ingress.LingerAfterStop+time.Second)
	})
}

// Guards against an answer to a header that is too large whose end is lost in a
// reset of the connection.
func TestTooLargeHeaderIsAnsweredToItsEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := ingress.New(ingress.Parts{
		Handler: http.NotFoundHandler(), Catalog: func() *catalog.Catalog { return nil }, Metrics: &counts{},
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
	require.NoError(t, server.Stop(ctx))
	require.NoError(t, <-done)
}

// Guards against a connection that a piece of a request keeps open for ever.
func TestPieceOfARequestDoesNotKeepItsConnection(t *testing.T) {
	for _, piece := range []string{"G", "GET ", "GET / HTTP/1.1\r\nHo"} {
		t.Run(piece, func(t *testing.T) {
			play(t, 0, func(s *site) {
				c := s.dial()
				_, err := c.call()
				require.NoError(t, err)
				bubble.Pass(time.Second)
				require.NoError(t, c.write(piece))
				begun := time.Now()
				require.NoError(t, c.conn.SetReadDeadline(begun.Add(time.Hour)))
				_, err = io.ReadAll(c.reader)
				require.NoError(t, err)
				require.LessOrEqual(t, time.Since(begun), ingress.HeaderTimeout)
			})
		})
	}
}

// Guards against a connection that is accepted as the drain begins, and whose
// request gets no answer.
func TestConnectionAcceptedAsADrainBeginsIsServed(t *testing.T) {
	for offset := 50 * time.Millisecond; offset <= 200*time.Millisecond; offset += 5 * time.Millisecond {
		play(t, 10*time.Millisecond, func(s *site) {
			got := make(chan error, 1)
			go func() {
				bubble.Pass(ingress.LingerAfterStop + offset)
				c := s.tryDial()
				if c == nil {
					got <- nil
					return
				}
				_, err := c.call()
				got <- err
			}()
			s.stop()
			if err := <-got; s.accepted.Load() > 0 {
				require.NoError(t, err, "sent %v after the callers' time to leave", offset)
			}
		})
	}
}

// Guards against a stop that a piece of a request holds up.
func TestPieceOfARequestDoesNotHoldUpAStop(t *testing.T) {
	for _, piece := range []string{"G", "GET / HT", "\r\n"} {
		t.Run(piece, func(t *testing.T) {
			play(t, 0, func(s *site) {
				s.limit(time.Minute)
				c := s.dial()
				_, err := c.call()
				require.NoError(t, err)
				begun := time.Now()
				go func() {
					bubble.Pass(ingress.LingerAfterStop - time.Second)
					_ = c.write(piece)
				}()
				s.stop()
				require.Less(t, time.Since(begun), ingress.LingerAfterStop+ingress.DrainHeaderTimeout+time.Second)
			})
		})
	}
}

// Guards against a caller of a refused request who sends no body and waits for
// ever, and holds up a stop.
func TestUnsentBodyOfARefusedRequestEnds(t *testing.T) {
	for _, header := range []string{"", "Connection: close\r\n"} {
		t.Run(header, func(t *testing.T) {
			play(t, 0, func(s *site) {
				c := s.dial()
				require.NoError(t, c.write("POST "+refused+" HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n"+header+"\r\n"))
				begun := time.Now()
				response, err := http.ReadResponse(c.reader, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusNotFound, response.StatusCode)
				_, err = io.Copy(io.Discard, c.reader)
				require.NoError(t, err)
				require.LessOrEqual(t, time.Since(begun), ingress.UnreadBodyTimeout+time.Second)
			})
		})
	}
}

// Guards against limits of a configuration that bind nobody: a header may take the
// time that is in force when it begins, on a new connection and on an open one.
func TestHeaderTimeoutIsThatOfTheConfiguration(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second} {
		for _, first := range []bool{true, false} {
			play(t, 0, func(s *site) {
				s.limits(catalog.Limits{IdleTimeout: time.Minute, HeaderTimeout: limit})
				c := s.dial()
				if !first {
					_, err := c.call()
					require.NoError(t, err)
					bubble.Pass(time.Second)
				}
				begun := time.Now()
				for _, piece := range []string{"GET / HTTP/1.1\r\n", "Host: h\r\n", "X: a"} {
					require.NoError(t, c.write(piece))
					bubble.Pass(limit / 4)
				}
				require.NoError(t, c.conn.SetReadDeadline(begun.Add(time.Hour)))
				_, err := io.ReadAll(c.reader)
				require.NoError(t, err)
				require.Equal(t, limit, time.Since(begun), "first request: %v", first)
			})
		}
	}
}

// Guards against a configured size of headers that binds nobody, and against one
// over the usual size that proper callers may not use.
func TestHeaderSizeIsThatOfTheConfiguration(t *testing.T) {
	play(t, 0, func(s *site) {
		for _, c := range []struct{ most, size, status int }{
			{8 << 10, 7 << 10, http.StatusOK},
			{8 << 10, 9 << 10, http.StatusRequestHeaderFieldsTooLarge},
			{128 << 10, 100 << 10, http.StatusOK},
			{0, 60 << 10, http.StatusOK},
			{0, 70 << 10, http.StatusRequestHeaderFieldsTooLarge},
		} {
			s.limits(catalog.Limits{IdleTimeout: time.Minute, HeaderBytes: c.most})
			caller := s.dial()
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
