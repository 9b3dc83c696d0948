// Package lease holds one key of the platform's store for as long as its
// session is renewed. A lease only decides who should act; whether an act
// still counts is decided by compare-and-swap where it is written down.
package lease

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/platform/store"
)

// Store is what a lease needs of the platform's service.
type Store interface {
	CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error)
	RenewSession(ctx context.Context, session string) (bool, error)
	DestroySession(ctx context.Context, session string) error
	Acquire(ctx context.Context, key, session string, value []byte) (bool, error)
	Get(ctx context.Context, priority store.Priority, key string) (store.Entry, error)
}

// renewShare is the share of the term after which a lease is renewed; a third
// leaves room for two lost attempts.
const renewShare = 3

// Holder keeps one session and the keys acquired under it.
type Holder struct {
	store  Store
	name   string
	term   time.Duration
	logger *slog.Logger
	now    func() time.Time

	mu      sync.Mutex
	session string
	until   time.Time
	fences  map[string]uint64

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a holder that keeps a session of the given term.
func New(s Store, name string, term time.Duration, logger *slog.Logger, now func() time.Time) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{store: s, name: name, term: term, logger: logger, now: now, fences: make(map[string]uint64), cancel: cancel, done: make(chan struct{})}
	go h.keep(ctx)
	return h
}

func (h *Holder) keep(ctx context.Context) {
	defer close(h.done)
	for failures := 0; ctx.Err() == nil; {
		pause := h.term / renewShare
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

// renew keeps or opens the session. The term is counted from before the call:
// a holder that was paused in the midst of it must not believe it holds
// longer than the service does.
func (h *Holder) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.term/renewShare)
	defer cancel()
	asked := h.now()
	session := h.Session()
	if session != "" {
		kept, err := h.store.RenewSession(ctx, session)
		if err != nil {
			return err
		}
		if kept {
			h.extend(session, asked)
			return nil
		}
		h.logger.Warn("lease lost", "holder", h.name, "session", session)
		h.forget()
	}
	session, err := h.store.CreateSession(ctx, h.name, h.term)
	if err != nil {
		return err
	}
	h.extend(session, asked)
	return nil
}

func (h *Holder) extend(session string, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session = session
	h.until = asked.Add(h.term)
}

func (h *Holder) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session = ""
	h.until = time.Time{}
	clear(h.fences)
}

// Session returns the current session, or none.
func (h *Holder) Session() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.session
}

// Held tells whether the key is held at now, by this holder's own reckoning.
func (h *Holder) Held(now time.Time, key string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fences[key] > 0 && now.Before(h.until)
}

// Fence returns the fencing number of a held key: it rises with each change
// of holder.
func (h *Holder) Fence(key string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fences[key]
}

// TryAcquire takes the key if nobody holds it and tells whether it is held.
func (h *Holder) TryAcquire(ctx context.Context, key string, value []byte) (bool, error) {
	session := h.Session()
	if session == "" {
		return false, nil
	}
	if h.Held(h.now(), key) {
		return true, nil
	}
	took, err := h.store.Acquire(ctx, key, session, value)
	if err != nil || !took {
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

// Abandon ends the renewal without giving anything up, as a process that dies
// does, and waits.
func (h *Holder) Abandon() {
	h.cancel()
	<-h.done
}

// Close gives all keys up and waits for the renewal to end.
func (h *Holder) Close() error {
	h.cancel()
	<-h.done
	session := h.Session()
	h.forget()
	if session == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return h.store.DestroySession(ctx, session)
}
