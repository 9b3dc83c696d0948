package changelog

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/platform/store"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// watchTimeout is the time-out of one blocking read of the head.
	watchTimeout = 50 * time.Second
	// rewatchJitter spreads the nodes' next reads after a change over time.
	rewatchJitter = time.Second
	// maxFollowPause is the longest pause after failed reads. It must stay well
	// below the 8 s within which a change must be in force.
	maxFollowPause = 4 * time.Second
)

// Follower keeps a Log up to date with the head in the store.
type Follower struct {
	log    *Log
	store  Store
	logger *slog.Logger
	cancel context.CancelFunc
	done   chan struct{}
}

// Follow starts a follower; Close stops it.
func Follow(log *Log, s Store, logger *slog.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{log: log, store: s, logger: logger, cancel: cancel, done: make(chan struct{})}
	go f.run(ctx)
	return f
}

// Close stops the follower and waits until it has ended.
func (f *Follower) Close() error {
	f.cancel()
	<-f.done
	return nil
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	var after uint64
	for failures := 0; ctx.Err() == nil; {
		index, err := f.step(ctx, after)
		delay := rand.N(rewatchJitter)
		switch {
		case err != nil && ctx.Err() == nil:
			delay = store.Backoff(failures, maxFollowPause)
			failures++
			f.logger.Debug("reading the configuration failed", "error", errorx.Cast(errorx.Decorate(err, "head")).Message())
		case index == after:
			failures, delay = 0, 0
		default:
			failures, after = 0, index
		}
		wait.For(ctx, delay)
	}
}

// step waits until the head's index differs from after, and applies the head.
func (f *Follower) step(ctx context.Context, after uint64) (uint64, error) {
	entry, err := f.read(ctx, after)
	if err != nil {
		return after, err
	}
	if !entry.Exists() {
		wait.For(ctx, rewatchJitter)
		return after, nil
	}
	headValue, err := parseHead(entry)
	if err != nil {
		return after, err
	}
	if err := f.apply(ctx, headValue); err != nil {
		return after, err
	}
	return entry.Index(), nil
}

func (f *Follower) read(ctx context.Context, after uint64) (store.Entry, error) {
	if after == 0 {
		return f.store.Get(ctx, store.Watches, headKey)
	}
	return f.store.Watch(ctx, headKey, after, watchTimeout)
}

// apply applies the head's records. It reads the snapshot only if they do not
// reach back to the log's revision.
func (f *Follower) apply(ctx context.Context, headValue head) error {
	before := f.log.Revision()
	if headValue.Revision <= before {
		return nil
	}
	err := f.log.Apply(nil, headValue.Recent)
	if errorx.IsOfType(err, Gap) || err == nil && f.log.Revision() < headValue.Revision {
		var snapshot Snapshot
		if snapshot, err = loadSnapshot(ctx, f.store, headValue); err != nil {
			return err
		}
		err = f.log.Apply(&snapshot, headValue.Recent)
	}
	if err == nil {
		f.logger.Info("new configuration revision in force", "revision", f.log.Revision(), "before", before)
	}
	return err
}
