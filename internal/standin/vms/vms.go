// Package vms is a stand-in of the platform's list of VMs for tests and
// trials. The list it serves lags behind the one it is given.
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

	mu       sync.Mutex
	versions []version
}

// version is a list and from when on it is served.
type version struct {
	at  time.Time
	raw []byte
	tag string
}

// New returns an empty list that is served with a lag.
func New(lag time.Duration, now func() time.Time) *List {
	return &List{lag: lag, now: now}
}

// Set replaces the list; it is served once the lag has passed. The first one
// is served at once.
func (l *List) Set(list []vmlist.VM) error {
	raw, err := vmlist.Format(list)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.now().Add(l.lag)
	if len(l.versions) == 0 {
		at = l.now()
	}
	l.versions = append(l.versions, version{at: at, raw: raw, tag: fmt.Sprintf(`"%d"`, len(l.versions))})
	return nil
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	current, ok := l.current()
	if !ok {
		http.Error(w, "no list yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("ETag", current.tag)
	if r.Header.Get("If-None-Match") == current.tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(current.raw)
}

func (l *List) current() (version, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for i := len(l.versions) - 1; i >= 0; i-- {
		if !now.Before(l.versions[i].at) {
			return l.versions[i], true
		}
	}
	return version{}, false
}
