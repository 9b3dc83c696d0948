package flow_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// answerOK is an upstream that answers after the time.
func answerOK(after time.Duration) func(w *upstreamWriter, request *http.Request) {
	return func(w *upstreamWriter, _ *http.Request) {
		bubble.Sleep(after)
		w.write(w.header() + "Content-Length: 2\r\n\r\nok")
	}
}

func stated(length int) string { return "Content-Length: " + strconv.Itoa(length) + "\r\n" }

// Guards against a request that is read or run although its body does not fit, and against a
// refusal that waits for the body. Requests that run are answered, and once they have ended,
// the body fits.
func TestBodyThatDoesNotFitIsRefusedBeforeItIsRead(t *testing.T) {
	runSlow(t, smallMemory, func(f *slowFixture) {
		f.serveUpstream("one", answerOK(time.Second))
		var running []*slowCaller
		for i := range 2 {
			for _, key := range []string{"key", "other"} {
				running = append(running, f.send("/pay/x", key, fmt.Sprintf("%s%d", key, i), stated(180<<10), strings.Repeat("x", 180<<10)))
			}
		}
		bubble.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 720<<10, f.account.Stats().Held[memory.Body])
		began := time.Now()
		// Nothing of the body is sent: 500 KB would be read by http.Server otherwise.
		response, _, err := f.send("/pay/x", "other", "late", stated(500<<10), "").read()
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, "5.000", response.Header.Get("Retry-After"), "nothing became free lately")
		require.Less(t, time.Since(began), 10*time.Millisecond)
		require.Equal(t, 4, f.record().sentRequests)
		for _, caller := range running {
			response, body, err := caller.read()
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "ok", body)
		}
		require.EqualValues(t, 1, f.account.Stats().Refused)
		response, _, err = f.send("/pay/x", "key", "again", stated(4), "body").read()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, []bool{true, false}, f.record().accountStates)
	})
}

// Guards against bodies of unknown length that get past the bound.
func TestChunkedBodyIsReservedPieceByPiece(t *testing.T) {
	const chunk = 100 << 10
	chunks := func(n int) string {
		return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)), n) + "0\r\n\r\n"
	}
	runSlow(t, smallMemory, func(f *slowFixture) {
		f.serveUpstream("one", answerOK(0))
		response, _, err := f.send("/pay/x", "key", "fits", "Transfer-Encoding: chunked\r\n", chunks(2)).read()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		response, _, err = f.send("/pay/x", "key", "large", "Transfer-Encoding: chunked\r\n", chunks(6)).read()
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.True(t, response.Close, "the end of the body is unknown")
		require.Len(t, f.record().executed, 1)
	})
}

// Guards against bytes that stay reserved when a caller leaves within its body, whose handler
// panics to close the connection.
func TestCallerThatLeavesWithinItsBodyReleasesIt(t *testing.T) {
	runSlow(t, smallMemory, func(f *slowFixture) {
		caller := f.send("/pay/x", "key", "r1", stated(100<<10), "some")
		bubble.Sleep(10 * time.Millisecond)
		require.EqualValues(t, 100<<10, f.heldBytes())
		require.NoError(t, caller.Close())
		bubble.Sleep(10 * time.Millisecond)
		require.Zero(t, f.heldBytes())
	})
}

// Guards against an answer that is lost because the account is full when the request has
// run: the answer is larger than the whole account.
func TestAnswerIsDeliveredWhateverTheAccountHolds(t *testing.T) {
	answer := strings.Repeat("y", 3*smallMemory)
	runSlow(t, smallMemory, func(f *slowFixture) {
		f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) {
			w.write(w.header() + stated(len(answer)) + "\r\n" + answer)
		})
		response, body, err := f.send("/pay/x", "key", "r1", stated(4), "body").read()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, answer, body)
		require.Zero(t, f.record().cutOff)
	})
}

// Guards against a slow caller of a plain service that keeps the upstream's slot and its own
// body while it takes the answer.
func TestSlowCallerOfAPlainServiceKeepsNoSlot(t *testing.T) {
	answer := strings.Repeat("y", 600<<10)
	runSlow(t, ampleMemory, func(f *slowFixture) {
		f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) {
			w.write(w.header() + stated(len(answer)) + "\r\n" + answer)
		})
		caller := f.send("/pay/x", "key", "r1", stated(4), "body")
		bubble.Sleep(3 * time.Second)
		require.Equal(t, []flow.Outcome{flow.Answered}, f.record().outcomes)
		require.Zero(t, f.account.Stats().Held[memory.Body])
		require.GreaterOrEqual(t, f.account.Stats().Held[memory.Answer], int64(len(answer)))
		_, body, err := caller.read()
		require.NoError(t, err)
		require.Equal(t, answer, body)
	})
}

// Guards against a Retry-After, and room for higher tiers, that leave out most of what a
// body of unknown length lacks: its next piece is larger than the first one. 98 KiB of it
// are missing, and 100 KiB became free within the last second.
func TestRefusedChunkedBodyLacksItsWholeNextPiece(t *testing.T) {
	const piece = 128 << 10
	runSlow(t, smallMemory, func(f *slowFixture) {
		f.serveUpstream("one", answerOK(0))
		filler := f.account.Open(memory.Answer, "others")
		filler.Force(610 << 10)
		defer func() { filler.Close(time.Now()) }()
		filler.Force(100 << 10)
		filler.Shrink(time.Now(), 100<<10)
		body := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 2*piece, strings.Repeat("x", 2*piece))
		response, _, err := f.send("/pay/x", "key", "r1", "Transfer-Encoding: chunked\r\n", body).read()
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, retryAfter, 1.0)
	})
}

// Guards against bodies that stop short of their end and keep others out until their routes'
// timeout, and against one that is dropped without a refusal that says it has not run.
func TestBodyThatStopsGivesWayToAnother(t *testing.T) {
	runSlow(t, smallMemory, func(f *slowFixture) {
		f.serveUpstream("one", answerOK(0))
		stopped := f.send("/pay/x", "key", "stopped", stated(400<<10), strings.Repeat("x", 400<<10-1))
		bubble.Sleep(100 * time.Millisecond)
		chunked := f.send("/pay/x", "other", "chunked", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s", 400<<10, strings.Repeat("x", 200<<10)))
		bubble.Sleep(2 * time.Second)
		response, _, err := f.send("/pay/x", "other", "whole", stated(150<<10), strings.Repeat("x", 150<<10)).read()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		response, _, err = stopped.read()
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.True(t, response.Close, "the rest of the body cannot be told from a request")
		require.Len(t, f.record().executed, 1)
		require.EqualValues(t, 1, f.account.Stats().Displaced)
		require.NoError(t, chunked.Close())
		bubble.Sleep(10 * time.Millisecond)
		require.Zero(t, f.heldBytes())
	})
}

// Guards against a body in chunks that holds twice the largest size, as its buffer doubles.
func TestChunkedBodyHoldsNoMoreThanTheLargest(t *testing.T) {
	runSlow(t, ampleMemory, func(f *slowFixture) {
		const largest = 4 << 20
		caller := f.send("/pay/x", "key", "r1", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s", largest, strings.Repeat("x", largest)))
		bubble.Sleep(10 * time.Millisecond)
		require.EqualValues(t, largest, f.account.Stats().Held[memory.Body])
		require.NoError(t, caller.Close())
		bubble.Sleep(10 * time.Millisecond)
		require.Zero(t, f.heldBytes())
	})
}
