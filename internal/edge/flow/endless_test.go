package flow_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
)

const (
	// mostBytes is the most bytes of an answer that is no stream.
	mostBytes   = 16 << 20
	sealedHead  = "HTTP/1.1 200 OK\n" + idHeader + ": ID\n" + sealHeader + ": s\n"
	chunkedHead = sealedHead + "Transfer-Encoding: chunked\n\n"
)

// chunks returns a body in chunks without its end.
func chunks(body string) string {
	const size = 64 << 10
	var text strings.Builder
	for len(body) > 0 {
		piece := body[:min(size, len(body))]
		body = body[len(piece):]
		fmt.Fprintf(&text, "%x\n%s\n", len(piece), piece)
	}
	return text.String()
}

// Guards against an answer that is cut at the maximum and looks complete.
func TestAnswerBeyondTheMaximumDoesNotLookComplete(t *testing.T) {
	body := strings.Repeat("y", mostBytes+1)
	for name, text := range map[string]string{
		"stated length":      sealedHead + fmt.Sprintf("Content-Length: %d\n\n", len(body)) + body,
		"chunks":             chunkedHead + chunks(body) + "0\n\n",
		"ends by connection": sealedHead + "\n" + body,
	} {
		for budget, unfinished := range map[string]*memory.Budget{"no budget": nil, "small budget": memory.NewBudget(1 << 20)} {
			t.Run(name+", "+budget, func(t *testing.T) {
				f := newFixture(t)
				f.unfinished = unfinished
				f.start()
				f.addUpstream("one", text)
				response, got, err := f.call("/pay/x")
				if err == nil {
					require.Equal(t, http.StatusBadGateway, response.StatusCode, "%d bytes", len(got))
				}
				require.Equal(t, []flow.Outcome{flow.Interrupted}, f.outcomes)
				require.Zero(t, unfinished.Taken())
			})
		}
	}
}

// Guards against a large answer that is lost, or changed, as there is no memory to hold it.
func TestLargeAnswerIsDeliveredWithoutMemoryForIt(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 256<<10)
	for name, text := range map[string]string{
		"stated length":      sealedHead + fmt.Sprintf("Content-Length: %d\n\n", len(body)) + body,
		"chunks":             chunkedHead + chunks(body) + "0\n\n",
		"ends by connection": sealedHead + "\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.unfinished = memory.NewBudget(256 << 10)
			f.start()
			f.addUpstream("one", text)
			response, got, err := f.call("/pay/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "s", response.Header.Get(sealHeader))
			require.Equal(t, body, got)
			f.server.Close() // A caller that knows the length may have all before the handler ends.
			require.Equal(t, []flow.Outcome{flow.Answered}, f.outcomes)
			require.Zero(t, f.unfinished.Taken())
		})
	}
}

// Guards against a request that is sent again after a part of its answer was passed on, and
// against a part that looks complete.
func TestAnswerThatBreaksOffAfterItsFirstPartIsNotRepeated(t *testing.T) {
	body := strings.Repeat("y", 2<<20)
	for name, text := range map[string]string{
		"stated length": sealedHead + fmt.Sprintf("Content-Length: %d\n\n", 2*len(body)) + body,
		"chunks":        chunkedHead + chunks(body),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.unfinished = memory.NewBudget(0)
			f.start()
			f.addUpstream("one", text)
			f.addUpstream("two", successAnswer)
			_, _, err := f.call("/read/x")
			require.Error(t, err)
			require.Len(t, f.executed, 1)
		})
	}
}

// Guards against a failure too large to hold back that ends a request which may be repeated.
func TestRequestIsRepeatedAfterALargeFailure(t *testing.T) {
	failure := "HTTP/1.1 500 Oops\n" + idHeader + ": ID\n" + sealHeader + ": s\nContent-Length: 1048576\n\n" + strings.Repeat("y", 1<<20)
	f := newFixture(t)
	f.unfinished = memory.NewBudget(0)
	f.start()
	f.addUpstream("one", failure)
	f.addUpstream("two", successAnswer)
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)

	f = newFixture(t)
	f.unfinished = memory.NewBudget(0)
	f.start()
	f.addUpstream("one", failure)
	response, body, err := f.call("/pay/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Len(t, body, 1<<20)
}

// Guards against a process that many answers and events without end use up: they hold no more
// than the budget besides a small size each, and sound requests beside them are answered.
func TestAnswersWithoutEndHoldNoMoreThanTheBudget(t *testing.T) {
	for name, text := range map[string]string{
		"answer": chunkedHead + chunks(strings.Repeat("y", 4<<20)),
		"event":  chunkedHead + chunks("data: "+strings.Repeat("y", 4<<20)),
	} {
		t.Run(name, func(t *testing.T) {
			const limit = 2 << 20
			f := newFixture(t)
			f.unfinished = memory.NewBudget(limit)
			f.start()
			f.addUpstream("one", text)
			path := "/open/x"
			if name == "event" {
				path = "/once/x"
			}
			var callers sync.WaitGroup
			for range 32 {
				callers.Go(func() { _, _, _ = f.call(path) })
			}
			done := make(chan struct{})
			go func() { callers.Wait(); close(done) }()
			for most := int64(0); ; {
				most = max(most, f.unfinished.Taken())
				select {
				case <-done:
					require.LessOrEqual(t, most, int64(limit))
					require.Zero(t, f.unfinished.Taken())
					return
				default:
				}
			}
		})
	}
}
