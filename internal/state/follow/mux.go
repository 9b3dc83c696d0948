package follow

import (
	"strings"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// MuxEntry is the view of the keys under a prefix.
type MuxEntry struct {
	Prefix string
	View   View
}

// Mux is a view that passes each key to the entry with its prefix. A single watch of
// all keys takes a fraction of the calls that a watch for each prefix would, and the
// prefix that changes most often shows for all of them that the store answers.
type Mux []MuxEntry

// Replace implements View.
func (m Mux) Replace(now time.Time, snapshot kv.Snapshot) {
	for _, entry := range m {
		matching := kv.Snapshot{Revision: snapshot.Revision}
		for _, item := range snapshot.Items {
			if strings.HasPrefix(item.Key, entry.Prefix) {
				matching.Items = append(matching.Items, item)
			}
		}
		entry.View.Replace(now, matching)
	}
}

// Apply implements View.
func (m Mux) Apply(now time.Time, changes kv.Changes) {
	for _, entry := range m {
		matching := kv.Changes{Revision: changes.Revision}
		for _, event := range changes.Events {
			if strings.HasPrefix(event.Key, entry.Prefix) {
				matching.Events = append(matching.Events, event)
			}
		}
		entry.View.Apply(now, matching)
	}
}
