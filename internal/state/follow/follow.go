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
	"github.com/persimmonridge/persimmonridge/internal/state/relay"
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

// Relay passes on what a peer has read from the store.
type Relay interface {
	// First returns all that exists, for a process that has just started. If it fails, the
	// store is read.
	First(ctx context.Context) (relay.Changes, error)
	// Usable reports whether a peer is there to be asked.
	Usable(now time.Time) bool
	// Since returns the changes after a revision, which may be later than the last ones. It
	// fails with kv.Compacted if this process must read the whole range from the store.
	Since(ctx context.Context, after kv.Revision) (relay.Changes, error)
	// Pause returns the pause between two questions. Wake ends it.
	Pause() time.Duration
	// Patience returns how long peers that are there may fail to answer until the store is
	// asked. If all that they serve turned to the store at once, it would be too slow for them.
	Patience() time.Duration
}

// Options configure a Follower.
type Options struct {
	// Relay is used in place of watches while it is usable; it may be nil.
	Relay  Relay
	Prefix string
	// WatchPause returns the pause between a watch that found changes and the next one,
	// so that keys which change many times a second cost few calls. Wake ends the pause.
	WatchPause func() time.Duration
	// WatchTimeout is how long a watch waits for changes; 0 means one second.
	WatchTimeout time.Duration
	// MaxRetryPause returns the longest pause after failed calls; nil means a fifth of a
	// second. Retry ends it.
	MaxRetryPause func() time.Duration
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
	// cut is set after a watch whose connection ended while it waited, and cutPause is the
	// pause after the next one.
	cut      bool
	cutPause time.Duration
	// relayedAt is when a peer last passed on what it read.
	relayedAt time.Time

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

// Retry ends the pause after failed calls: the store probably answers again.
func (f *Follower) Retry() {
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
	if f.options.Relay != nil {
		if changes, err := f.options.Relay.First(ctx); err == nil {
			f.applyRelayed(0, changes)
			f.watch(ctx, changes.Revision)
		}
	}
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
		if relayed, err := f.relay(ctx, after); errorx.IsOfType(err, kv.Compacted) {
			return true
		} else if err == nil {
			after = max(after, relayed)
			answered = true
			continue
		} else if !errorx.IsOfType(err, noRelay) && f.now().Sub(f.relayedAt) < f.options.Relay.Patience() {
			f.pause(ctx, minRetryPause)
			continue
		}
		timeout := f.options.WatchTimeout
		if f.storeLost || f.cut {
			timeout = 0
		}
		changes, err := f.store.Watch(ctx, f.options.Prefix, after, timeout)
		if errorx.IsOfType(err, kv.Compacted) {
			f.logger.Info("store history compacted; reading the range again", "prefix", f.options.Prefix, "after", after, "err", err)
			return answered
		}
		if errorx.IsOfType(err, kv.TooLarge) {
			f.logger.Warn("changes too large for one response; reading the range again", "prefix", f.options.Prefix, "after", after, "err", err)
			return true
		}
		if errorx.IsOfType(err, kv.Cut) && timeout > 0 {
			// Only a call that does not wait tells whether the store answers.
			f.cut = true
			f.cutPause = min(2*f.cutPause, maxRetryPause)
			f.pause(ctx, f.cutPause)
			f.cutPause = max(f.cutPause, minRetryPause)
			continue
		}
		if err != nil {
			f.cut = false
			f.callFailed(ctx, err)
			continue
		}
		if !f.cut {
			f.cutPause = 0
		}
		f.cut = false
		f.callSucceeded()
		answered = true
		after = max(after, changes.Revision)
		f.readRevision.Store(int64(after))
		if len(changes.Events) > 0 || changes.Revision > 0 {
			f.view.Apply(f.now(), changes)
		}
		if len(changes.Events) > 0 {
			f.pause(ctx, f.options.WatchPause())
		}
	}
	return answered
}

// noRelay means that no peer is there to be asked.
var noRelay = kv.Unavailable.NewSubtype("no-relay")

// relay applies what a peer passes on, and returns the revision up to which that is complete.
// If it fails, the store is to be asked.
func (f *Follower) relay(ctx context.Context, after kv.Revision) (kv.Revision, error) {
	if f.options.Relay == nil || !f.options.Relay.Usable(f.now()) {
		return 0, noRelay.New("no peer passes on what it reads; ask the store")
	}
	changes, err := f.options.Relay.Since(ctx, after)
	if err != nil {
		f.logger.Debug("no changes from a peer", "after", after, "err", err)
		return 0, err
	}
	f.callSucceeded()
	f.applyRelayed(after, changes)
	f.pause(ctx, f.options.Relay.Pause())
	return changes.Revision, nil
}

// applyRelayed applies what a peer passed on after a revision.
func (f *Follower) applyRelayed(after kv.Revision, changes relay.Changes) {
	if changes.Partial {
		f.view.Apply(f.now(), kv.Changes{Events: changes.Events, Revision: changes.Revision})
	} else if changes.Revision > after {
		snapshot := kv.Snapshot{Revision: changes.Revision}
		for _, e := range changes.Events {
			snapshot.Items = append(snapshot.Items, e.Item)
		}
		f.view.Replace(f.now(), snapshot)
	}
	f.readRevision.Store(int64(max(after, changes.Revision)))
	f.relayedAt = f.now()
}

// pause waits before the next call until Wake or Retry ends the pause.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
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
	longest := maxRetryPause
	if f.options.MaxRetryPause != nil {
		longest = f.options.MaxRetryPause()
	}
	f.retryPause = min(max(2*f.retryPause, minRetryPause), longest)
	f.pause(ctx, f.retryPause)
}
