package flow_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

const (
	// eventSize and eventCount make a stream of about 2 MB, eight windows of a connection.
	eventSize  = 4 << 10
	eventCount = 500
)

// Guards against a stream that its upstream cuts off as unread because its caller does not
// read for five seconds. The whole stream must arrive in order, and the upstream's slot must
// be free as soon as the upstream has ended.
func TestStreamOfACallerThatPausesIsWhole(t *testing.T) {
	runSlow(t, ampleMemory, func(f *slowFixture) {
		f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, eventCount, eventSize, 4*time.Millisecond) })
		caller := f.send("/long/x", "key", "r1", "", "")
		bubble.Sleep(5 * time.Second)
		_, body, err := caller.read()
		require.NoError(t, err)
		require.Equal(t, eventTexts(1, eventCount, eventSize), body)
		require.Zero(t, f.record().cutOff)
		require.Equal(t, []flow.Outcome{flow.Answered}, f.record().outcomes)
		require.Less(t, f.record().released[0], 2100*time.Millisecond)
		require.EqualValues(t, 1, f.account.Stats().ReadAhead)
	})
}

// Guards against tests that pass without reading ahead, and against a change of deployments
// that do not bound memory: their stream is cut off, as before.
func TestStreamIsNotReadAheadWithoutAnAccount(t *testing.T) {
	runSlow(t, 0, func(f *slowFixture) {
		f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, eventCount, eventSize, 4*time.Millisecond) })
		caller := f.send("/long/x", "key", "r1", "", "")
		bubble.Sleep(5 * time.Second)
		_, _, err := caller.read()
		require.Error(t, err)
		require.Equal(t, 1, f.record().cutOff)
		require.Zero(t, f.account.Stats().ReadAhead)
	})
}

// Guards against events that are lost, repeated or out of order when the reader passes from
// one goroutine to the other and back: the caller pauses again and again.
func TestStreamOfACallerThatPausesOftenIsWhole(t *testing.T) {
	for _, pause := range []time.Duration{100 * time.Millisecond, 260 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			runSlow(t, ampleMemory, func(f *slowFixture) {
				f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, eventCount, eventSize, 2*time.Millisecond) })
				body, err := f.send("/long/x", "key", "r1", "", "").readSlowly(300<<10, pause)
				require.NoError(t, err)
				require.Equal(t, eventTexts(1, eventCount, eventSize), body)
				require.Zero(t, f.record().cutOff)
			})
		})
	}
}

// Guards against a stream that is resumed after the last event that was read ahead, so that
// the caller misses those that were never written: the upstream breaks off while events wait
// for the caller. They are written, and then the stream is resumed after the last of them.
func TestUpstreamThatBreaksOffWhileEventsWaitIsResumed(t *testing.T) {
	runSlow(t, ampleMemory, func(f *slowFixture) {
		f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) {
			w.openStream()
			w.events(1, 300, eventSize, 4*time.Millisecond)
			w.write("fff\r\nid: 301\ndata: unfinished")
		})
		f.serveUpstream("two", func(w *upstreamWriter, request *http.Request) {
			first := 0
			_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &first)
			w.stream(first+1, eventCount, eventSize, time.Millisecond)
		})
		caller := f.send("/long/x", "key", "r1", "", "")
		bubble.Sleep(4 * time.Second)
		require.Equal(t, []flow.Outcome{flow.Interrupted}, f.record().outcomes, "the broken attempt ends at once")
		require.Less(t, f.record().released[0], 1300*time.Millisecond)
		_, body, err := caller.read()
		require.NoError(t, err)
		require.Equal(t, eventTexts(1, eventCount, eventSize), body)
		require.Equal(t, []string{"one after ", "two after 300"}, f.record().executed)
		require.Len(t, f.record().crashes, 1)
	})
}

// Guards against bytes that stay reserved, and a reader that never ends, when the caller
// disconnects while events wait for it.
func TestCallerThatLeavesWhileEventsWaitReleasesThem(t *testing.T) {
	runSlow(t, ampleMemory, func(f *slowFixture) {
		f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, eventCount, eventSize, 4*time.Millisecond) })
		caller := f.send("/long/x", "key", "r1", "", "")
		bubble.Sleep(1500 * time.Millisecond)
		require.NotZero(t, f.heldBytes())
		require.NoError(t, caller.Close())
		bubble.Sleep(100 * time.Millisecond)
		require.Zero(t, f.heldBytes())
		require.Equal(t, []flow.Outcome{flow.Canceled}, f.record().outcomes)
		require.Empty(t, f.record().crashes, "an upstream whose caller left did not break off")
	})
}

// Guards against a stop that waits forever, or loses bytes of the account, when the process
// exits while events wait; and against a stop that cuts off a caller who reads in time.
func TestProcessThatStopsWhileEventsWait(t *testing.T) {
	runSlow(t, ampleMemory, func(f *slowFixture) {
		f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, eventCount, eventSize, 4*time.Millisecond) })
		inTime, never := f.send("/long/x", "key", "r1", "", ""), f.send("/long/x", "key", "r2", "", "")
		bubble.Sleep(time.Second)
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.shutDown(7 * time.Second)
		}()
		bubble.Sleep(3 * time.Second)
		_, body, err := inTime.read()
		require.NoError(t, err)
		require.Equal(t, eventTexts(1, eventCount, eventSize), body)
		<-done
		bubble.Sleep(10 * time.Millisecond)
		require.Zero(t, f.heldBytes())
		_, _, err = never.read()
		require.Error(t, err)
	})
}

// Guards against a stream that is ended, or never read on, because the account was full for
// a while: bodies and answers of others hold it for 1.2 seconds.
func TestReadingAheadPausesWhileTheAccountIsFull(t *testing.T) {
	runSlow(t, smallMemory, func(f *slowFixture) {
		filler := f.account.Open(memory.Answer, "others")
		f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, 150, eventSize, time.Millisecond) })
		filler.Force(smallMemory)
		caller := f.send("/long/x", "key", "r1", "", "")
		bubble.Sleep(1200 * time.Millisecond)
		require.Zero(t, f.account.Stats().Held[memory.Stream])
		require.Empty(t, f.record().outcomes, "the rest of the stream is unread")
		filler.Close(time.Now())
		bubble.Sleep(1200 * time.Millisecond)
		require.NotZero(t, f.account.Stats().Held[memory.Stream])
		_, body, err := caller.read()
		require.NoError(t, err)
		require.Equal(t, eventTexts(1, 150, eventSize), body)
	})
}

// Guards against a stream that stops for good because its caller has caught up while the
// account is full: it goes on as it would without reading ahead.
func TestCallerThatCatchesUpWhileTheAccountIsFullIsServed(t *testing.T) {
	runSlow(t, smallMemory, func(f *slowFixture) {
		filler := f.account.Open(memory.Answer, "others")
		defer func() { filler.Close(time.Now()) }()
		f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, 200, eventSize, time.Millisecond) })
		caller := f.send("/long/x", "key", "r1", "", "")
		bubble.Sleep(400 * time.Millisecond)
		filler.Force(smallMemory)
		bubble.Sleep(time.Second)
		_, body, err := caller.read()
		require.NoError(t, err)
		require.Equal(t, eventTexts(1, 200, eventSize), body)
	})
}

// Guards against a gateway that is killed, or that serves nobody, because many callers read
// slowly. The load is a burst of 40 streams whose callers do not read for 1.5 seconds, ten
// times as much as the account takes, and callers who read at once beside them. What does
// not fit stays unread at the upstream, and reading goes on when there is room.
func TestLoadManySlowReadersInABurst(t *testing.T) {
	const limit, readers, events = 4 << 20, 40, 250
	runSlow(t, limit, func(f *slowFixture) {
		f.serveUpstream("one", func(w *upstreamWriter, request *http.Request) {
			if strings.HasPrefix(request.URL.Path, "/read/") {
				w.write(w.header() + "Content-Length: 2\r\n\r\nok")
				return
			}
			w.stream(1, events, eventSize, 2*time.Millisecond)
		})
		var slow []*slowCaller
		for i := range readers {
			slow = append(slow, f.send("/long/x", "key", fmt.Sprintf("s%d", i), "", ""))
		}
		for i := range 30 {
			bubble.Sleep(50 * time.Millisecond)
			began := time.Now()
			response, body, err := f.send("/read/x", "other", fmt.Sprintf("f%d", i), "Content-Length: 4\r\n", "body").read()
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "ok", body)
			require.Less(t, time.Since(began), 100*time.Millisecond)
			require.LessOrEqual(t, f.heldBytes(), int64(limit/2), "one workspace may hold half")
		}
		var group sync.WaitGroup
		bodies := make([]string, readers)
		for i, caller := range slow {
			group.Go(func() { _, bodies[i], _ = caller.read() })
		}
		group.Wait()
		for i, body := range bodies {
			require.Equal(t, eventTexts(1, events, eventSize), body, "stream %d", i)
		}
		require.Zero(t, f.record().cutOff)
	})
}

// Guards against an upstream that counts as crashed because the write to a caller failed while
// another goroutine was reading from it: closing its connection ends that read.
func TestFailedWriteToACallerIsNoCrash(t *testing.T) {
	for seed := range 5 {
		runSlow(t, ampleMemory, func(f *slowFixture) {
			f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, eventCount, eventSize, 4*time.Millisecond) })
			caller := f.send("/long/x", "key", "r1", "", "")
			bubble.Sleep(time.Second + time.Duration(seed)*time.Millisecond/4)
			// The gateway's side of the connection fails for writes alone, so that the
			// request's context does not end first.
			f.statesMu.Lock()
			accepted := f.accepted
			f.statesMu.Unlock()
			require.NoError(t, accepted.SetWriteDeadline(time.Now()))
			bubble.Sleep(100 * time.Millisecond)
			require.Equal(t, []flow.Outcome{flow.Canceled}, f.record().outcomes)
			require.Empty(t, f.record().crashes)
			require.Zero(t, f.heldBytes())
			_ = caller.Close()
		})
	}
}
