// Package follow keeps a view of a key range up to date: one read of the whole
// range, then watches, and another read whenever the history has a gap.
package follow

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// minRetryPause and retryMost bound the pause after a failed call. A store
	// that turns this process away is asked up to five times a second, so that
	// its return is noticed within 200 ms.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// defaultWatchTimeout is how long a watch waits at the store if the options do not
	// say. One whose connection went silent is given up after it and one call's
	// time-out.
	defaultWatchTimeout = time.Second
)

// View takes what is read. Its methods are called by one goroutine at a time.
type View interface {
	// Replace takes the whole range.
	Replace(now time.Time, s kv.Snapshot)
	// Apply takes changes in their order.
	Apply(now time.Time, c kv.Changes)
}

// Options are how a range is followed.
type Options struct {
	Prefix string
	// WatchPause returns how long is waited before a watch is repeated, so that keys
	// which change many times a second cost few calls. A change of which Wake
	// tells ends the pause.
	WatchPause func() time.Duration
	// WatchTimeout is how long a watch waits for a change; 0 takes the usual.
	WatchTimeout time.Duration
	// OnLost and Regained are told when calls begin to fail and when the first
	// one succeeds again. They may be nil.
	OnLost     func(now time.Time)
	OnRegained func(now time.Time)
}

// Follower follows one range until its context ends.
type Follower struct {
	store      kv.Store
	view       View
	options    Options
	logger     *slog.Logger
	now        func() time.Time
	storeLost  bool
	retryPause time.Duration

	// readRevision is the revision up to which the view knows the range.
	readRevision atomic.Int64
	wake         chan struct{}
}

// New returns a follower; Run starts it.
func New(store kv.Store, view View, options Options, logger *slog.Logger, now func() time.Time) *Follower {
	if options.WatchTimeout == 0 {
		options.WatchTimeout = defaultWatchTimeout
	}
	return &Follower{store: store, view: view, options: options, logger: logger, now: now, wake: make(chan struct{}, 1)}
}

// Wake tells of a change at the revision that somebody else has read. If it is
// not read here yet, the present pause ends.
func (f *Follower) Wake(revision int64) {
	if revision <= f.readRevision.Load() {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	gapPause := time.Duration(0)
	for ctx.Err() == nil {
		snapshot, err := f.store.Range(ctx, f.options.Prefix)
		if err != nil {
			f.callFailed(ctx, err)
			continue
		}
		f.callSucceeded()
		f.readRevision.Store(snapshot.Revision)
		f.view.Replace(f.now(), snapshot)
		if f.watch(ctx, snapshot.Revision) {
			gapPause = 0
			continue
		}
		gapPause = min(max(2*gapPause, minRetryPause), maxRetryPause)
		wait.For(ctx, gapPause)
	}
	return nil
}

// watch follows the history until it has a gap, and tells whether any watch was
// answered: a store may have no history at all. After a failure the store is
// asked without waiting: a watch that was begun while the store is silent would
// hang for its whole time after the store's return.
func (f *Follower) watch(ctx context.Context, after int64) (answered bool) {
	for ctx.Err() == nil {
		longest := f.options.WatchTimeout
		if f.storeLost {
			longest = 0
		}
		changes, err := f.store.Watch(ctx, f.options.Prefix, after, longest)
		if errorx.IsOfType(err, kv.Compacted) {
			f.logger.Info("history is gone, reading the range again", "prefix", f.options.Prefix, "after", after)
			return answered
		}
		if err != nil {
			f.callFailed(ctx, err)
			continue
		}
		f.callSucceeded()
		answered = true
		after = max(after, changes.Revision)
		f.readRevision.Store(after)
		if len(changes.Events) > 0 || changes.Revision > 0 {
			f.view.Apply(f.now(), changes)
		}
		if len(changes.Events) > 0 {
			f.pause(ctx)
		}
	}
	return answered
}

// pause waits before the next watch, unless it is woken.
func (f *Follower) pause(ctx context.Context) {
	timer := time.NewTimer(f.options.WatchPause())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wake:
	}
}

func (f *Follower) callSucceeded() {
	f.retryPause = 0
	if !f.storeLost {
		return
	}
	f.storeLost = false
	f.logger.Info("store regained", "prefix", f.options.Prefix)
	if f.options.OnRegained != nil {
		f.options.OnRegained(f.now())
	}
}

func (f *Follower) callFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.storeLost {
		f.storeLost = true
		f.logger.Warn("store lost", "prefix", f.options.Prefix, "err", err)
		if f.options.OnLost != nil {
			f.options.OnLost(f.now())
		}
	}
	f.retryPause = min(max(2*f.retryPause, minRetryPause), maxRetryPause)
	wait.For(ctx, f.retryPause)
}
