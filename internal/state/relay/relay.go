// Package relay keeps what a gateway has read from the store in a form in which it can be
// passed on to others, so that not each of them has to read the store.
package relay

import (
	"strings"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// maxRemovals bounds the removals that are remembered.
const maxRemovals = 1024

// Changes are the changes after a revision.
type Changes struct {
	Events []kv.Event
	// Revision is up to where the changes are complete.
	Revision kv.Revision
	// Partial is set if the events are all changes after the requested revision. Otherwise
	// they are the complete list of what exists.
	Partial bool
}

// Log holds the latest item of each key that is passed on, and what was removed. It implements
// follow.View and must come after all other views, as it states the revision up to which they
// have applied changes. It is safe for concurrent use.
type Log struct {
	// passes reports whether a key is passed on.
	passes func(key string) bool

	mu       sync.Mutex
	items    map[string]kv.Item
	removed  map[string]kv.Revision
	start    kv.Revision
	revision kv.Revision
}

// New returns an empty log of the keys that have none of the prefixes.
func New(except ...string) *Log {
	return &Log{
		passes: func(key string) bool {
			for _, prefix := range except {
				if strings.HasPrefix(key, prefix) {
					return false
				}
			}
			return true
		},
		items: make(map[string]kv.Item), removed: make(map[string]kv.Revision),
	}
}

// Replace implements follow.View.
func (l *Log) Replace(_ time.Time, s kv.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items, l.removed = make(map[string]kv.Item, len(s.Items)), make(map[string]kv.Revision)
	l.start, l.revision = s.Revision, s.Revision
	for _, item := range s.Items {
		if l.passes(item.Key) {
			l.items[item.Key] = item
		}
	}
}

// Apply implements follow.View. Changes of an earlier era are ignored.
func (l *Log) Apply(_ time.Time, c kv.Changes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Revision.Era() < l.revision.Era() {
		return
	}
	for _, e := range c.Events {
		if !l.passes(e.Key) || e.Revision <= max(l.items[e.Key].Revision, l.removed[e.Key]) {
			continue
		}
		if e.Deleted {
			delete(l.items, e.Key)
			l.remove(e.Key, e.Revision)
			continue
		}
		l.items[e.Key] = e.Item
		delete(l.removed, e.Key)
	}
	l.revision = max(l.revision, c.Revision)
}

// remove remembers a removal. When there are too many, all are forgotten.
func (l *Log) remove(key string, revision kv.Revision) {
	if len(l.removed) >= maxRemovals {
		for _, r := range l.removed {
			l.start = max(l.start, r)
		}
		clear(l.removed)
	}
	l.removed[key] = revision
}

// Since returns the changes after a revision. One that the log does not reach back to, or of
// another era, gets the complete list.
func (l *Log) Since(after kv.Revision) Changes {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Changes{Revision: l.revision, Partial: after != 0 && after >= l.start && after.Era() == l.revision.Era()}
	for _, item := range l.items {
		if !c.Partial || item.Revision > after {
			c.Events = append(c.Events, kv.Event{Item: item})
		}
	}
	if !c.Partial {
		return c
	}
	for key, revision := range l.removed {
		if revision > after {
			c.Events = append(c.Events, kv.Event{Item: kv.Item{Key: key, Revision: revision}, Deleted: true})
		}
	}
	return c
}
