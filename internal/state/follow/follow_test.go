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
)

// store is a kv.Store in memory whose calls hang while it is silent.
type store struct {
	kv.Store
	mu      sync.Mutex
	changed chan struct{}
	rev     int64
	gone    int64
	events  []kv.Event
	silent  bool
	calls   int
}

func newStore() *store { return &store{changed: make(chan struct{}), rev: 1} }

func (s *store) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.events = append(s.events, kv.Event{Item: kv.Item{Key: key, Revision: s.rev}})
	close(s.changed)
	s.changed = make(chan struct{})
}

// spent returns the calls since it was last asked.
func (s *store) spent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = 0
	return calls
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// begin counts a call; one that begins or waits while the store is silent never
// gets an answer.
func (s *store) begin(ctx context.Context, wait time.Duration) error {
	s.mu.Lock()
	s.calls++
	silent := s.silent
	s.mu.Unlock()
	if !silent {
		return nil
	}
	const callTimeout = 800 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	<-ctx.Done()
	return kv.Unavailable.New("silent")
}

func (s *store) Range(ctx context.Context, _ string) (kv.Snapshot, error) {
	if err := s.begin(ctx, 0); err != nil {
		return kv.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := kv.Snapshot{Revision: s.rev}
	for _, e := range s.events {
		snapshot.Items = append(snapshot.Items, e.Item)
	}
	return snapshot, nil
}

func (s *store) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (kv.Changes, error) {
	if err := s.begin(ctx, wait); err != nil {
		return kv.Changes{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		changes, wake, gone := kv.Changes{Revision: s.rev}, s.changed, after < s.gone
		for _, e := range s.events {
			if e.Revision > after {
				changes.Events = append(changes.Events, e)
			}
		}
		s.mu.Unlock()
		if gone {
			return kv.Changes{}, kv.Compacted.New("gone")
		}
		if len(changes.Events) > 0 {
			return changes, nil
		}
		select {
		case <-ctx.Done():
			return kv.Changes{}, kv.Unavailable.Wrap(ctx.Err(), "ended")
		case <-deadline.C:
			return changes, nil
		case <-wake:
		}
	}
}

// view notes when it saw which key.
type view struct {
	mu       sync.Mutex
	seen     map[string]time.Time
	replaced int
}

func (v *view) Replace(now time.Time, s kv.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replaced++
	for _, item := range s.Items {
		v.note(now, item.Key)
	}
}

func (v *view) Apply(now time.Time, c kv.Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range c.Events {
		v.note(now, e.Key)
	}
}

func (v *view) note(now time.Time, key string) {
	if _, ok := v.seen[key]; !ok {
		v.seen[key] = now
	}
}

func (v *view) ranges() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.replaced
}

func (v *view) at(key string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen[key]
}

// pause is between two watches of the follower under test.
const pause = 500 * time.Millisecond

// play runs a follower in fake time while the script acts.
func play(t *testing.T, script func(s *store, v *view, f *follow.Follower)) {
	synctest.Test(t, func(t *testing.T) {
		s, v := newStore(), &view{seen: make(map[string]time.Time)}
		ctx, cancel := context.WithCancel(t.Context())
		options := follow.Options{WatchTimeout: 2 * time.Second, WatchPause: func() time.Duration { return pause }}
		f := follow.New(s, v, options, slog.New(slog.DiscardHandler), time.Now)
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		script(s, v, f)
		cancel()
		require.NoError(t, <-done)
	})
}

// pass lets fake time pass.
func pass(d time.Duration) { <-time.After(d) }

// A change must be in force within two seconds of its acceptance.
func TestChangeIsSeenWithinThePause(t *testing.T) {
	play(t, func(s *store, v *view, _ *follow.Follower) {
		pass(10 * time.Second)
		s.put("first")
		pass(100 * time.Millisecond)
		s.put("second")
		at := time.Now()
		pass(time.Second)
		require.WithinDuration(t, at, v.at("second"), 500*time.Millisecond)
	})
}

// Operators' changes were not in force for seconds after the store had come
// back. The store had been silent; a watch that was begun in its silence hung
// for its whole time although the store answered new calls at once.
func TestReturnOfASilentStoreIsNoticedWithinASecond(t *testing.T) {
	play(t, func(s *store, v *view, _ *follow.Follower) {
		pass(time.Second)
		s.set(func() { s.silent = true })
		pass(7300 * time.Millisecond)
		s.put("while silent")
		s.set(func() { s.silent = false })
		back := time.Now()
		pass(3 * time.Second)
		require.WithinDuration(t, back, v.at("while silent"), time.Second)
	})
}

// The store forgets its history. What vanished meanwhile must not be kept, so
// the whole range is read again.
func TestLostHistoryIsReadAnew(t *testing.T) {
	play(t, func(s *store, v *view, _ *follow.Follower) {
		pass(time.Second)
		require.Equal(t, 1, v.ranges())
		s.set(func() { s.rev, s.gone = 100, 100 })
		pass(3 * time.Second)
		require.Equal(t, 2, v.ranges())
	})
}

// Guards against a store that has no history at all and is asked without a pause:
// calls at the rate of its answers, which no time-out ends.
func TestStoreWithoutHistoryIsNotAskedWithoutPause(t *testing.T) {
	play(t, func(s *store, v *view, _ *follow.Follower) {
		pass(time.Second)
		s.set(func() { s.gone = 1 << 40 })
		s.spent()
		pass(10 * time.Second)
		require.LessOrEqual(t, s.spent(), 110)
		s.put("meanwhile")
		s.set(func() { s.gone = 0 })
		back := time.Now()
		pass(time.Second)
		require.WithinDuration(t, back, v.at("meanwhile"), 200*time.Millisecond)
	})
}

// Every call is priced. Keys that change many times a second must cost two
// calls a second at most, and none that changes one call in the waiting time.
func TestCallsAreFew(t *testing.T) {
	play(t, func(s *store, _ *view, _ *follow.Follower) {
		for range 100 {
			s.put("heartbeat")
			pass(100 * time.Millisecond)
		}
		require.LessOrEqual(t, s.spent(), 22)
		pass(20 * time.Second)
		require.LessOrEqual(t, s.spent(), 11)
	})
}

// A gateway among 25 looks at the store every 1.2 seconds only. A route was added
// and the gateway beside it answered 404 for as long, though others knew it: what
// a peer has read already must end the pause, and what is known must not.
func TestChangeThatAPeerHasReadEndsThePause(t *testing.T) {
	play(t, func(s *store, v *view, f *follow.Follower) {
		s.put("first")
		pass(100 * time.Millisecond)
		s.put("second")
		f.Wake(s.rev)
		at := time.Now()
		pass(time.Second)
		require.Equal(t, at, v.at("second"))
		s.put("third")
		pass(10 * time.Millisecond)
		f.Wake(s.rev)
		require.LessOrEqual(t, s.spent(), 5)
	})
}
