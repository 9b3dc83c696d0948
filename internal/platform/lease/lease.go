// Package lease holds keys of the platform's store under a session that is
// renewed periodically. A lease only selects the process that should act;
// whether its action takes effect is decided by compare-and-swap on the data
// that it writes.
package lease

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/platform/store"
)

// Store is the subset of the platform's store that leases use.
type Store interface {
	CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error)
	RenewSession(ctx context.Context, session string) (bool, error)
	DestroySession(ctx context.Context, session string) error
	Acquire(ctx context.Context, key, session string, value []byte) (bool, error)
	Get(ctx context.Context, priority store.Priority, key string) (store.Entry, error)
}

// renewalsPerTTL is the number of renewals per TTL; three allow for two lost
// attempts.
const renewalsPerTTL = 3

// Holder maintains one session and the keys acquired under it.
type Holder struct {
	store  Store
	name   string
	ttl    time.Duration
	logger *slog.Logger
	now    func() time.Time

	mu        sync.Mutex
	session   string
	expiresAt time.Time
	fences    map[string]uint64

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a holder that maintains a session with the given TTL.
func New(s Store, name string, ttl time.Duration, logger *slog.Logger, now func() time.Time) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{store: s, name: name, ttl: ttl, logger: logger, now: now, fences: make(map[string]uint64), cancel: cancel, done: make(chan struct{})}
	go h.renewLoop(ctx)
	return h
}

func (h *Holder) renewLoop(ctx context.Context) {
	defer close(h.done)
	for failures := 0; ctx.Err() == nil; {
		pause := h.ttl / renewalsPerTTL
		if err := h.renew(ctx); err != nil {
			pause = min(pause, store.Backoff(failures, pause))
			failures++
		} else {
			failures = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// renew renews or creates the session. The TTL is counted from before the call:
// a holder that was paused during the call must not assume that it holds the
// lease for longer than the store does.
func (h *Holder) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.ttl/renewalsPerTTL)
	defer cancel()
	requestedAt := h.now()
	session := h.Session()
	if session != "" {
		renewed, err := h.store.RenewSession(ctx, session)
		if err != nil {
			return err
		}
		if renewed {
			h.extend(session, requestedAt)
			return nil
		}
		h.logger.Warn("lease lost", "holder", h.name, "session", session)
		h.reset()
	}
	session, err := h.store.CreateSession(ctx, h.name, h.ttl)
	if err != nil {
		return err
	}
	h.extend(session, requestedAt)
	return nil
}

func (h *Holder) extend(session string, requestedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session = session
	h.expiresAt = requestedAt.Add(h.ttl)
}

func (h *Holder) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session = ""
	h.expiresAt = time.Time{}
	clear(h.fences)
}

// Session returns the current session, or "" if there is none.
func (h *Holder) Session() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.session
}

// Held reports whether the key is held at now, by this holder's own clock.
func (h *Holder) Held(now time.Time, key string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fences[key] > 0 && now.Before(h.expiresAt)
}

// Fence returns the fencing token of a held key, which increases with each
// change of holder.
func (h *Holder) Fence(key string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fences[key]
}

// TryAcquire acquires the key if no other session holds it, and reports whether
// this holder holds it.
func (h *Holder) TryAcquire(ctx context.Context, key string, value []byte) (bool, error) {
	session := h.Session()
	if session == "" {
		return false, nil
	}
	if h.Held(h.now(), key) {
		return true, nil
	}
	acquired, err := h.store.Acquire(ctx, key, session, value)
	if err != nil || !acquired {
		return false, err
	}
	entry, err := h.store.Get(ctx, store.Watches, key)
	if err != nil || entry.Session() != session {
		return false, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.session != session {
		return false, nil
	}
	h.fences[key] = entry.Index()
	return true, nil
}

// Abandon stops the renewal without releasing any key, as a crash would, and
// waits for its goroutine to end.
func (h *Holder) Abandon() {
	h.cancel()
	<-h.done
}

// Close stops the renewal, waits for its goroutine to end, and releases all
// keys.
func (h *Holder) Close() error {
	h.cancel()
	<-h.done
	session := h.Session()
	h.reset()
	if session == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return h.store.DestroySession(ctx, session)
}
