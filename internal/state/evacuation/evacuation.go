// Package evacuation holds the failure domains whose upstreams operators have ordered to
// get no requests.
package evacuation

import (
	"slices"
	"sync"
)

// Set is the set of evacuated domains as of a revision of the store. It is safe for
// concurrent use. What is known at a later revision replaces what was known before, so a
// store or a peer that is behind ends no evacuation.
type Set struct {
	mu       sync.RWMutex
	revision int64
	domains  []string
}

// Change is the difference between two sets.
type Change struct{ Begun, Ended []string }

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return len(c.Begun)+len(c.Ended) == 0 }

// Replace replaces the set by all domains that are evacuated at the revision, unless a
// later revision is known.
func (s *Set) Replace(revision int64, domains []string) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.revision {
		return Change{}
	}
	sorted := slices.Compact(slices.Sorted(slices.Values(domains)))
	var change Change
	for _, domain := range sorted {
		if !slices.Contains(s.domains, domain) {
			change.Begun = append(change.Begun, domain)
		}
	}
	for _, domain := range s.domains {
		if !slices.Contains(sorted, domain) {
			change.Ended = append(change.Ended, domain)
		}
	}
	s.revision, s.domains = revision, sorted
	return change
}

// Apply applies the order of one domain at the revision, unless a later one is known.
func (s *Set) Apply(revision int64, domain string, evacuated bool) Change {
	s.mu.RLock()
	next, known := slices.Clone(s.domains), s.revision
	s.mu.RUnlock()
	if revision <= known {
		return Change{}
	}
	next = slices.DeleteFunc(next, func(other string) bool { return other == domain })
	if evacuated {
		next = append(next, domain)
	}
	return s.Replace(revision, next)
}

// Advance records that the set is complete up to the revision.
func (s *Set) Advance(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
}

// State returns the evacuated domains, sorted, and the revision up to which they are
// known. The caller must not change the list.
func (s *Set) State() (revision int64, domains []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision, s.domains
}

// Contains reports whether the domain is evacuated.
func (s *Set) Contains(domain string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Contains(s.domains, domain)
}
