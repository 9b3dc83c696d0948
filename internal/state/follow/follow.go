// Package follow keeps a view of a key range in the store up to date: it reads the
// whole range, then watches it, and reads it again when the store's history has a gap.
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
	// The pause after a failed call doubles from minRetryPause to maxRetryPause. An
	// unavailable store is called up to five times a second, so that its return is
	// noticed within 200 ms.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// defaultWatchTimeout is how long a watch waits for changes if the options set no
	// time-out. A watch on a dead connection is given up after this time and the
	// time-out of one call.
	defaultWatchTimeout = time.Second
)

// View holds what is read from the store. Its methods are called by one goroutine at a
// time.
type View interface {
	// Replace replaces the whole range.
	Replace(now time.Time, snapshot kv.Snapshot)
	// Apply applies changes in order.
	Apply(now time.Time, changes kv.Changes)
}

// Options configure a Follower.
type Options struct {
	Prefix string
	// WatchPause returns the pause between a watch that found changes and the next one,
	// so that keys which change many times a second cost few calls. Wake ends the pause.
	WatchPause func() time.Duration
	// WatchTimeout is how long a watch waits for changes; 0 means one second.
	WatchTimeout time.Duration
	// OnLost and OnRegained are called when calls begin to fail and when the first
	// one succeeds again. They may be nil.
	OnLost     func(now time.Time)
	OnRegained func(now time.Time)
}

// Follower keeps a view of one key range up to date.
type Follower struct {
	store      kv.Store
	view       View
	options    Options
	logger     *slog.Logger
	now        func() time.Time
	storeLost  bool
	retryPause time.Duration

	// readRevision is the kv.Revision up to which the view is up to date.
	readRevision atomic.Int64
	wake         chan struct{}
}

// New returns a follower that has not been started.
func New(store kv.Store, view View, options Options, logger *slog.Logger, now func() time.Time) *Follower {
	if options.WatchTimeout == 0 {
		options.WatchTimeout = defaultWatchTimeout
	}
	return &Follower{store: store, view: view, options: options, logger: logger, now: now, wake: make(chan struct{}, 1)}
}

// Wake reports that another process has seen a change at the revision. If the change
// has not been read here yet, the pause before the next watch ends.
func (f *Follower) Wake(revision kv.Revision) {
	if revision <= f.read() {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// read returns the revision up to which the view is up to date.
func (f *Follower) read() kv.Revision { return kv.Revision(f.readRevision.Load()) }

// Run follows the range until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	gapPause := time.Duration(0)
	for ctx.Err() == nil {
		snapshot, err := f.store.Range(ctx, f.options.Prefix)
		if err != nil {
			f.callFailed(ctx, err)
			continue
		}
		f.callSucceeded()
		if before := f.read(); before != 0 && snapshot.Revision.Era() > before.Era() {
			f.logger.Warn("store restored from an older copy", "prefix", f.options.Prefix, "era", snapshot.Revision.Era(), "revision", snapshot.Revision,
				"former-era", before.Era(), "former-revision", before)
		}
		f.readRevision.Store(int64(snapshot.Revision))
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

// watch watches for changes until the history has a gap, and reports whether any watch
// succeeded: a store may have no history at all. After a failed call a watch does not
// wait for changes: one that was sent while the store did not answer would hang for its
// whole time-out although the store has returned.
func (f *Follower) watch(ctx context.Context, after kv.Revision) (answered bool) {
	for ctx.Err() == nil {
		timeout := f.options.WatchTimeout
		if f.storeLost {
			timeout = 0
		}
		changes, err := f.store.Watch(ctx, f.options.Prefix, after, timeout)
		if errorx.IsOfType(err, kv.Compacted) {
			f.logger.Info("store history compacted; reading the range again", "prefix", f.options.Prefix, "after", after, "err", err)
			return answered
		}
		if err != nil {
			f.callFailed(ctx, err)
			continue
		}
		f.callSucceeded()
		answered = true
		after = max(after, changes.Revision)
		f.readRevision.Store(int64(after))
		if len(changes.Events) > 0 || changes.Revision > 0 {
			f.view.Apply(f.now(), changes)
		}
		if len(changes.Events) > 0 {
			f.pause(ctx)
		}
	}
	return answered
}

// pause waits before the next watch until Wake ends the pause.
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
