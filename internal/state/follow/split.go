package follow

import (
	"strings"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// MuxEntry is a view of the keys under a prefix.
type MuxEntry struct {
	Prefix string
	View   View
}

// Mux is a view that hands each key to the part whose prefix it has. One
// watch of all keys costs the store a fraction of the calls of one for each
// part, and the part that changes most shows for all that the store answers.
type Mux []MuxEntry

// Replace implements View.
func (s Mux) Replace(now time.Time, all kv.Snapshot) {
	for _, part := range s {
		own := kv.Snapshot{Revision: all.Revision}
		for _, item := range all.Items {
			if strings.HasPrefix(item.Key, part.Prefix) {
				own.Items = append(own.Items, item)
			}
		}
		part.View.Replace(now, own)
	}
}

// Apply implements View.
func (s Mux) Apply(now time.Time, all kv.Changes) {
	for _, part := range s {
		own := kv.Changes{Revision: all.Revision}
		for _, e := range all.Events {
			if strings.HasPrefix(e.Key, part.Prefix) {
				own.Events = append(own.Events, e)
			}
		}
		part.View.Apply(now, own)
	}
}
