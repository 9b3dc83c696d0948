// Package evacuation holds the failure domains whose upstreams operators have ordered to
// get no requests.
package evacuation

import (
	"slices"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// Set is the set of evacuated domains as of a revision of the store. It is safe for
// concurrent use. What is known at a later revision replaces what was known before, so a
// store or a peer that is behind ends no evacuation. When the store returns to an older
// copy, evacuations that it lacks hold until operators had the time to order them again.
type Set struct {
	mu       sync.RWMutex
	revision kv.Revision
	domains  []string
	// retained are the domains that were evacuated when the era began, until retainedUntil.
	retained      []string
	retainedUntil time.Time
}

// Change is the difference between two sets.
type Change struct{ Begun, Ended []string }

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return len(c.Begun)+len(c.Ended) == 0 }

// Replace replaces the set by all domains that are evacuated at the revision, unless a
// later revision is known.
func (s *Set) Replace(now time.Time, revision kv.Revision, domains []string) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.revision {
		return Change{}
	}
	before := s.allLocked()
	if s.revision != 0 && revision.Era() > s.revision.Era() {
		s.retained, s.retainedUntil = before, now.Add(kv.RewriteTime)
	}
	s.revision, s.domains = revision, sorted(domains)
	return difference(before, s.allLocked())
}

// Apply applies the order of one domain at the revision, unless a later one is known.
func (s *Set) Apply(revision kv.Revision, domain string, evacuated bool) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision {
		return Change{}
	}
	before := s.allLocked()
	other := func(known string) bool { return known != domain }
	s.revision, s.domains, s.retained = revision, filter(s.domains, other), filter(s.retained, other)
	if evacuated {
		s.domains = sorted(append(s.domains, domain))
	}
	return difference(before, s.allLocked())
}

// Expire ends the evacuations that were not ordered again in time after the store returned
// to an older copy.
func (s *Set) Expire(now time.Time) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.retained) == 0 || now.Before(s.retainedUntil) {
		return Change{}
	}
	before := s.allLocked()
	s.retained = nil
	return difference(before, s.allLocked())
}

func (s *Set) allLocked() []string {
	if len(s.retained) == 0 {
		return s.domains
	}
	return sorted(slices.Concat(s.domains, s.retained))
}

func sorted(domains []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(domains)))
}

// filter returns a new list of the domains that are kept.
func filter(domains []string, keep func(string) bool) []string {
	var kept []string
	for _, domain := range domains {
		if keep(domain) {
			kept = append(kept, domain)
		}
	}
	return kept
}

func difference(before, after []string) Change {
	return Change{
		Begun: filter(after, func(domain string) bool { return !slices.Contains(before, domain) }),
		Ended: filter(before, func(domain string) bool { return !slices.Contains(after, domain) }),
	}
}

// Advance records that the set is complete up to the revision.
func (s *Set) Advance(revision kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
}

// State returns the domains that are evacuated at the revision, sorted. Those that hold
// only until they are ordered again are not among them. The caller must not change the
// list.
func (s *Set) State() (revision kv.Revision, domains []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision, s.domains
}

// Domains returns all evacuated domains, sorted. The caller must not change the list.
func (s *Set) Domains() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.allLocked()
}

// Contains reports whether the domain is evacuated.
func (s *Set) Contains(domain string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Contains(s.domains, domain) || slices.Contains(s.retained, domain)
}
