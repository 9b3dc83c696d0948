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
	// watchWait is the length of one blocking read of the head.
	watchWait = 50 * time.Second
	// rewatchJitter spreads the nodes' next reads after a change.
	rewatchJitter = time.Second
	// followMost is the longest pause after failures; it leaves most of the
	// 8 s in which a change must be in force.
	followMost = 4 * time.Second
)

// Follower keeps a log at the head of the store's.
type Follower struct {
	log    *Log
	store  Store
	logger *slog.Logger
	cancel context.CancelFunc
	done   chan struct{}
}

// Follow starts following; Close ends it.
func Follow(log *Log, s Store, logger *slog.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{log: log, store: s, logger: logger, cancel: cancel, done: make(chan struct{})}
	go f.run(ctx)
	return f
}

// Close ends following and waits for it.
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
			delay = store.Backoff(failures, followMost)
			failures++
			f.logger.Debug("config not read", "error", errorx.Cast(errorx.Decorate(err, "head")).Message())
		case index == after:
			failures, delay = 0, 0
		default:
			failures, after = 0, index
		}
		wait.For(ctx, delay)
	}
}

// step waits for a head other than the one at the index and applies it.
func (f *Follower) step(ctx context.Context, after uint64) (uint64, error) {
	entry, err := f.read(ctx, after)
	if err != nil {
		return after, err
	}
	if !entry.Exists() {
		wait.For(ctx, rewatchJitter)
		return after, nil
	}
	known, err := parseHead(entry)
	if err != nil {
		return after, err
	}
	if err := f.apply(ctx, known); err != nil {
		return after, err
	}
	return entry.Index(), nil
}

func (f *Follower) read(ctx context.Context, after uint64) (store.Entry, error) {
	if after == 0 {
		return f.store.Get(ctx, store.Watches, headKey)
	}
	return f.store.Watch(ctx, headKey, after, watchWait)
}

// apply needs the snapshot only when the head's records do not reach back to
// what the log holds.
func (f *Follower) apply(ctx context.Context, known head) error {
	before := f.log.Revision()
	if known.Revision <= before {
		return nil
	}
	err := f.log.Apply(nil, known.Recent)
	if errorx.IsOfType(err, Gap) || err == nil && f.log.Revision() < known.Revision {
		var snapshot Snapshot
		if snapshot, err = loadSnapshot(ctx, f.store, known); err != nil {
			return err
		}
		err = f.log.Apply(&snapshot, known.Recent)
	}
	if err == nil {
		f.logger.Info("config in force", "revision", f.log.Revision(), "before", before)
	}
	return err
}
