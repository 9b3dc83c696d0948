package follow_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/follow"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/relay"
)

// scriptedRelay is a relay that passes on the items of a log, or fails.
type scriptedRelay struct {
	log *relay.Log

	mu             sync.Mutex
	usable, answer bool
}

func (r *scriptedRelay) set(usable, answer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usable, r.answer = usable, answer
}

func (r *scriptedRelay) First(context.Context) (relay.Changes, error) {
	return relay.Changes{}, kv.Unavailable.New("no hubs")
}

func (r *scriptedRelay) Usable(time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usable
}

func (r *scriptedRelay) Since(_ context.Context, after kv.Revision) (relay.Changes, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.answer {
		return relay.Changes{}, kv.Unavailable.New("no answer")
	}
	return r.log.Since(after), nil
}

func (r *scriptedRelay) Pause() time.Duration    { return time.Second }
func (r *scriptedRelay) Patience() time.Duration { return 3 * time.Second }

// Guards against processes that all turn to the store as soon as a hub is late, which makes
// it late for the hubs as well, and against one that never does.
func TestStoreIsAskedAfterAPatienceWithPeersThatDoNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, v := newStore(), &view{seenAt: make(map[string]time.Time)}
		r := &scriptedRelay{log: relay.New()}
		r.log.Replace(time.Now(), kv.Snapshot{Revision: s.revision})
		r.set(true, true)
		ctx, cancel := context.WithCancel(t.Context())
		f := follow.New(s, v, follow.Options{Relay: r, WatchPause: func() time.Duration { return time.Second }}, slog.New(slog.DiscardHandler), time.Now)
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		advance(5 * time.Second)
		require.Equal(t, 1, s.takeCallCount(), "the whole range")
		r.set(true, false)
		advance(1900 * time.Millisecond)
		require.Zero(t, s.takeCallCount())
		s.put("changed")
		advance(1500 * time.Millisecond)
		require.Positive(t, s.takeCallCount())
		require.False(t, v.firstSeen("changed").IsZero())
		r.set(true, true)
		advance(2 * time.Second)
		s.takeCallCount()
		r.set(false, false)
		s.put("without hubs")
		advance(1500 * time.Millisecond)
		require.False(t, v.firstSeen("without hubs").IsZero())
		cancel()
		require.NoError(t, <-done)
	})
}
