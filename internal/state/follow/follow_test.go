package follow_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/follow"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// store is an in-memory kv.Store whose calls hang while it is silent.
type store struct {
	kv.Store
	mu              sync.Mutex
	changed         chan struct{}
	revision        kv.Revision
	compactedBefore kv.Revision
	events          []kv.Event
	silent          bool
	calls           int
	// cutAfter is how long a watch may wait until its connection is cut, 0 for any time, and
	// refuses is set while all connections are cut at once.
	cutAfter time.Duration
	refuses  bool
	// maxEvents is the most events that the client reads of a response, 0 for any number.
	maxEvents int
}

func newStore() *store { return &store{changed: make(chan struct{}), revision: 1} }

func (s *store) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, kv.Event{Item: kv.Item{Key: key, Revision: s.revision}})
	close(s.changed)
	s.changed = make(chan struct{})
}

// takeCallCount returns the number of calls since it was last called.
func (s *store) takeCallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = 0
	return calls
}

func (s *store) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// beginCall counts a call. A call that begins while the store is silent never gets an
// answer, but fails after its time-out.
func (s *store) beginCall(ctx context.Context, wait time.Duration) error {
	s.mu.Lock()
	s.calls++
	silent, refuses := s.silent, s.refuses
	s.mu.Unlock()
	if refuses {
		return kv.Cut.New("connection refused")
	}
	if !silent {
		return nil
	}
	const callTimeout = 800 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	<-ctx.Done()
	return kv.Unavailable.New("call timed out")
}

func (s *store) Range(ctx context.Context, _ string) (kv.Snapshot, error) {
	if err := s.beginCall(ctx, 0); err != nil {
		return kv.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := kv.Snapshot{Revision: s.revision}
	for _, e := range s.events {
		snapshot.Items = append(snapshot.Items, e.Item)
	}
	return snapshot, nil
}

func (s *store) Watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) (kv.Changes, error) {
	if err := s.beginCall(ctx, wait); err != nil {
		return kv.Changes{}, err
	}
	s.mu.Lock()
	cut := s.cutAfter > 0 && s.cutAfter < wait
	if cut {
		wait = s.cutAfter
	}
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changes, changed, compacted := kv.Changes{Revision: s.revision}, s.changed, after < s.compactedBefore
		for _, e := range s.events {
			if e.Revision > after {
				changes.Events = append(changes.Events, e)
			}
		}
		tooLarge := s.maxEvents > 0 && len(changes.Events) > s.maxEvents
		s.mu.Unlock()
		if tooLarge {
			return kv.Changes{}, kv.TooLarge.New("too many events")
		}
		if compacted {
			return kv.Changes{}, kv.Compacted.New("history compacted")
		}
		if len(changes.Events) > 0 {
			return changes, nil
		}
		select {
		case <-ctx.Done():
			return kv.Changes{}, kv.Unavailable.Wrap(ctx.Err(), "watch canceled")
		case <-timer.C:
			if cut {
				return kv.Changes{}, kv.Cut.New("connection closed")
			}
			return changes, nil
		case <-changed:
		}
	}
}

// view records when it first saw each key.
type view struct {
	mu           sync.Mutex
	seenAt       map[string]time.Time
	replaceCount int
}

func (v *view) Replace(now time.Time, s kv.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replaceCount++
	for _, item := range s.Items {
		v.record(now, item.Key)
	}
}

func (v *view) Apply(now time.Time, c kv.Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range c.Events {
		v.record(now, e.Key)
	}
}

func (v *view) record(now time.Time, key string) {
	if _, ok := v.seenAt[key]; !ok {
		v.seenAt[key] = now
	}
}

func (v *view) replaceCalls() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.replaceCount
}

func (v *view) firstSeen(key string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seenAt[key]
}

// watchPause is the pause between two watches of the follower under test.
const watchPause = 500 * time.Millisecond

// runFollower runs a follower and the script in fake time.
func runFollower(t *testing.T, script func(s *store, v *view, f *follow.Follower)) {
	runFollowerWith(t, follow.Options{}, script)
}

// runFollowerWith is runFollower with further options.
func runFollowerWith(t *testing.T, options follow.Options, script func(s *store, v *view, f *follow.Follower)) {
	synctest.Test(t, func(t *testing.T) {
		s, v := newStore(), &view{seenAt: make(map[string]time.Time)}
		ctx, cancel := context.WithCancel(t.Context())
		options.WatchTimeout, options.WatchPause = 2*time.Second, func() time.Duration { return watchPause }
		f := follow.New(s, v, options, slog.New(slog.DiscardHandler), time.Now)
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		script(s, v, f)
		cancel()
		require.NoError(t, <-done)
	})
}

// advance advances the fake time.
func advance(d time.Duration) { <-time.After(d) }

// A change must be seen soon enough to be applied within two seconds of its
// acceptance.
func TestChangeIsSeenWithinThePause(t *testing.T) {
	runFollower(t, func(s *store, v *view, _ *follow.Follower) {
		advance(10 * time.Second)
		s.put("first")
		advance(100 * time.Millisecond)
		s.put("second")
		written := time.Now()
		advance(time.Second)
		require.WithinDuration(t, written, v.firstSeen("second"), 500*time.Millisecond)
	})
}

// Guards against changes that are seen seconds after the store's return: a watch that
// was sent while the store was silent hung for its whole time-out, although the store
// answered new calls at once.
func TestStoreReturnIsNoticedWithinOneSecond(t *testing.T) {
	runFollower(t, func(s *store, v *view, _ *follow.Follower) {
		advance(time.Second)
		s.update(func() { s.silent = true })
		advance(7300 * time.Millisecond)
		s.put("while silent")
		s.update(func() { s.silent = false })
		returned := time.Now()
		advance(3 * time.Second)
		require.WithinDuration(t, returned, v.firstSeen("while silent"), time.Second)
	})
}

// After the store has compacted its history, the whole range must be read again, so
// that keys which were deleted meanwhile are not kept.
func TestRangeIsReadAgainAfterCompaction(t *testing.T) {
	runFollower(t, func(s *store, v *view, _ *follow.Follower) {
		advance(time.Second)
		require.Equal(t, 1, v.replaceCalls())
		s.update(func() { s.revision, s.compactedBefore = 100, 100 })
		advance(3 * time.Second)
		require.Equal(t, 2, v.replaceCalls())
	})
}

// Guards against a busy loop on a store that has no history at all: calls at the rate
// of its answers, which no time-out slows down.
func TestStoreWithoutHistoryIsReadWithPauses(t *testing.T) {
	runFollower(t, func(s *store, v *view, _ *follow.Follower) {
		advance(time.Second)
		s.update(func() { s.compactedBefore = 1 << 40 })
		s.takeCallCount()
		advance(10 * time.Second)
		require.LessOrEqual(t, s.takeCallCount(), 110)
		s.put("meanwhile")
		s.update(func() { s.compactedBefore = 0 })
		returned := time.Now()
		advance(time.Second)
		require.WithinDuration(t, returned, v.firstSeen("meanwhile"), 200*time.Millisecond)
	})
}

// Every call to the store is billed. Keys that change many times a second may cost two
// calls a second, and without changes there may be one call per watch time-out.
func TestCallRateIsBounded(t *testing.T) {
	runFollower(t, func(s *store, _ *view, _ *follow.Follower) {
		for range 100 {
			s.put("heartbeat")
			advance(100 * time.Millisecond)
		}
		require.LessOrEqual(t, s.takeCallCount(), 22)
		advance(20 * time.Second)
		require.LessOrEqual(t, s.takeCallCount(), 11)
	})
}

// Guards against a gateway that answers 404 for an added route which its peers already
// know: in a fleet of 25 each gateway polls the store only every 1.2 seconds. A change
// that a peer has read must end the pause, and one that is already known must not.
func TestWakeForUnreadChangeEndsPause(t *testing.T) {
	runFollower(t, func(s *store, v *view, f *follow.Follower) {
		s.put("first")
		advance(100 * time.Millisecond)
		s.put("second")
		f.Wake(s.revision)
		written := time.Now()
		advance(time.Second)
		require.Equal(t, written, v.firstSeen("second"))
		s.put("third")
		advance(10 * time.Millisecond)
		f.Wake(s.revision)
		require.LessOrEqual(t, s.takeCallCount(), 5)
	})
}

// Guards against a follower that goes on from the revision of a former era because its
// number is higher: the range is read again, and a peer's lower number ends the pause.
func TestRangeIsReadAgainInALaterEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, v := newStore(), &view{seenAt: make(map[string]time.Time)}
		s.revision = kv.At(1, 500)
		var log bytes.Buffer
		options := follow.Options{WatchTimeout: 2 * time.Second, WatchPause: func() time.Duration { return time.Minute }}
		f := follow.New(s, v, options, slog.New(slog.NewTextHandler(&log, nil)), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		advance(time.Second)
		s.put("before the pause")
		advance(time.Second)
		s.update(func() { s.revision, s.compactedBefore, s.events = kv.At(2, 399), kv.At(2, 0), nil })
		s.put("of the new era")
		f.Wake(kv.At(2, 400))
		advance(100 * time.Millisecond)
		require.Equal(t, 2, v.replaceCalls())
		require.NotZero(t, v.firstSeen("of the new era"))
		f.Wake(kv.At(1, 600))
		require.Equal(t, 2, v.replaceCalls())
		cancel()
		require.NoError(t, <-done)
		require.Equal(t, 1, strings.Count(log.String(), "store restored from an older copy"))
		require.Contains(t, log.String(), "era=2 revision=400 former-era=1 former-revision=501")
	})
}

// Guards against changes that no gateway ever reads: a response that exceeds the client's limit
// was asked for again as it was until the store dropped its history.
func TestRangeIsReadWhenChangesAreTooLarge(t *testing.T) {
	runFollower(t, func(s *store, v *view, _ *follow.Follower) {
		advance(time.Second)
		s.update(func() { s.maxEvents = 3 })
		for i := range 5 {
			s.put(fmt.Sprint("large-", i))
		}
		written := time.Now()
		advance(time.Second)
		require.WithinDuration(t, written, v.firstSeen("large-4"), watchPause)
		s.takeCallCount()
		advance(10 * time.Second)
		require.LessOrEqual(t, s.takeCallCount(), 10, "the range is read once")
	})
}

// Guards against a watch that is cut while it waits and is taken for an outage of the store, in
// which upstreams whose registrations are removed are kept.
func TestCutWatchIsNoOutage(t *testing.T) {
	lost, regained := 0, 0
	options := follow.Options{OnLost: func(time.Time) { lost++ }, OnRegained: func(time.Time) { regained++ }}
	runFollowerWith(t, options, func(s *store, v *view, _ *follow.Follower) {
		advance(time.Second)
		s.update(func() { s.cutAfter = 50 * time.Millisecond })
		advance(10 * time.Second)
		s.takeCallCount()
		advance(10 * time.Second)
		require.LessOrEqual(t, s.takeCallCount(), 100, "calls are paused")
		s.put("meanwhile")
		written := time.Now()
		advance(time.Second)
		require.WithinDuration(t, written, v.firstSeen("meanwhile"), 300*time.Millisecond)
		require.Zero(t, lost)
		s.update(func() { s.refuses = true })
		advance(time.Second)
		require.Equal(t, 1, lost, "all calls are cut")
		s.update(func() { s.refuses = false })
		advance(time.Second)
		require.Equal(t, 1, regained)
	})
}
