// Package vms is a stand-in for the platform's VM list, for tests and trials. It
// serves changes of the list with a lag.
package vms

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/platform/vmlist"
)

// List is the stand-in.
type List struct {
	lag time.Duration
	now func() time.Time

	mu        sync.Mutex
	snapshots []snapshot
}

// snapshot is a list with the time from which it is served.
type snapshot struct {
	servedFrom time.Time
	raw        []byte
	etag       string
}

// New returns a List whose changes are served after the lag.
func New(lag time.Duration, now func() time.Time) *List {
	return &List{lag: lag, now: now}
}

// Set replaces the list. The new list is served after the lag, the first one at once.
func (l *List) Set(list []vmlist.VM) error {
	raw, err := vmlist.Format(list)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.now().Add(l.lag)
	if len(l.snapshots) == 0 {
		at = l.now()
	}
	l.snapshots = append(l.snapshots, snapshot{servedFrom: at, raw: raw, etag: fmt.Sprintf(`"%d"`, len(l.snapshots))})
	return nil
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	current, ok := l.current()
	if !ok {
		http.Error(w, "no list yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("ETag", current.etag)
	if r.Header.Get("If-None-Match") == current.etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(current.raw)
}

func (l *List) current() (snapshot, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for i := len(l.snapshots) - 1; i >= 0; i-- {
		if !now.Before(l.snapshots[i].servedFrom) {
			return l.snapshots[i], true
		}
	}
	return snapshot{}, false
}
