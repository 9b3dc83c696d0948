package changelog

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
)

// Keys in the platform's store.
const (
	headKey        = "persimmonridge/config/head"
	changePrefix   = "persimmonridge/config/change/"
	snapshotPrefix = "persimmonridge/config/snapshot/"
)

const (
	// maxOutcomePause is the longest pause between attempts to determine the outcome
	// of a write whose answer was lost.
	maxOutcomePause = time.Second
	// maxAuditRecords limits the records that one audit reads.
	maxAuditRecords = 10000
)

// Store is the part of the platform's key-value service that the log uses.
type Store interface {
	Get(ctx context.Context, priority store.Priority, key string) (store.Entry, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Entry, error)
	Swap(ctx context.Context, priority store.Priority, key string, value []byte, index uint64) (bool, error)
}

// head is the value of the key that every node follows.
type head struct {
	Revision uint64   `json:"revision"`
	Mark     string   `json:"mark"`
	Snapshot string   `json:"snapshot,omitempty"`
	Recent   []Record `json:"recent"`
}

// Change is a change to submit.
type Change struct {
	basedOn uint64
	who     string
	why     string
	patch   []byte
}

// NewChange returns a change to the revision basedOn.
func NewChange(basedOn uint64, who, why string, patch []byte) Change {
	return Change{basedOn: basedOn, who: who, why: why, patch: patch}
}

// Submitter submits changes and reads the audit trail.
type Submitter struct {
	store Store
}

// NewSubmitter returns a submitter that uses the store s.
func NewSubmitter(s Store) *Submitter { return &Submitter{store: s} }

// Read returns the document in force and its revision as they are in the store.
func (s *Submitter) Read(ctx context.Context) (document.Document, uint64, error) {
	current, _, err := s.load(ctx)
	if err != nil || current.revision == 0 {
		return document.Document{}, 0, err
	}
	doc, findings := document.Parse(current.raw)
	if len(findings) > 0 {
		return document.Document{}, 0, rejectedError(findings)
	}
	return doc, current.revision, nil
}

// Submit returns the accepted record, or an error if the change was not accepted.
// One compare-and-swap of the head decides; the record is written before it, so
// that the audit trail never lacks an accepted change.
func (s *Submitter) Submit(ctx context.Context, now time.Time, change Change) (Record, error) {
	current, entry, err := s.load(ctx)
	if err != nil {
		return Record{}, err
	}
	if current.revision != change.basedOn {
		return Record{}, conflictError(current, change)
	}
	record := Record{
		revision: current.revision + 1,
		mark:     rand.Text(),
		previous: current.mark,
		who:      change.who,
		when:     now.UTC(),
		why:      change.why,
		patch:    change.patch,
	}
	next, err := current.withRecord(record)
	if err != nil {
		return Record{}, err
	}
	if _, findings := document.Parse(next.raw); len(findings) > 0 {
		return Record{}, rejectedError(findings)
	}
	if err := s.prepare(ctx, record, next); err != nil {
		return Record{}, err
	}
	return record, s.accept(ctx, entry, record, next, change)
}

// prepare writes what the new head refers to: the record, and the snapshot if
// one is due. Both keys contain the mark, so a change that then loses the race
// leaves only unreferenced keys behind.
func (s *Submitter) prepare(ctx context.Context, record Record, next state) error {
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	if err := s.create(ctx, recordKey(record.revision, record.mark), raw); err != nil {
		return err
	}
	if len(next.recent) > 0 {
		return nil
	}
	snapshot, err := json.Marshal(next.base)
	if err != nil {
		return err
	}
	return s.create(ctx, snapshotKey(next.base), snapshot)
}

// create writes a key that no other submitter writes. If the answer is lost it
// writes again: if the swap then reports false, the first attempt took effect.
func (s *Submitter) create(ctx context.Context, key string, value []byte) error {
	for attempt := 0; ; attempt++ {
		_, err := s.store.Swap(ctx, store.Housekeeping, key, value, 0)
		if err == nil {
			return nil
		}
		if pauseErr := backoff(ctx, attempt); pauseErr != nil {
			return err
		}
	}
}

// accept swaps the head. If the answer is lost it tries again with the same
// index: if the first attempt took effect, the second fails and the audit trail
// contains the record's mark.
func (s *Submitter) accept(ctx context.Context, entry store.Entry, record Record, next state, change Change) error {
	value := head{Revision: next.revision, Mark: next.mark, Recent: next.recent}
	if next.base.Revision > 0 {
		value.Snapshot = snapshotKey(next.base)
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	for attempt := 0; ; attempt++ {
		swapped, err := s.store.Swap(ctx, store.Watches, headKey, raw, entry.Index())
		if err == nil && swapped {
			return nil
		}
		if err == nil {
			return s.determineOutcome(ctx, record, change)
		}
		if pauseErr := backoff(ctx, attempt); pauseErr != nil {
			return store.Indeterminate.Wrap(err, "change %s may or may not be accepted; run audit and look for its mark before trying again", record.mark)
		}
	}
}

// determineOutcome determines whether the change was accepted, by looking for its mark in
// the audit trail.
func (s *Submitter) determineOutcome(ctx context.Context, record Record, change Change) error {
	for attempt := 0; ; attempt++ {
		trail, err := s.Audit(ctx, record.revision-1)
		if err == nil {
			for _, accepted := range trail {
				if accepted.mark == record.mark {
					return nil
				}
			}
			current, _, err := s.load(ctx)
			if err == nil {
				return conflictError(current, change)
			}
		}
		if pauseErr := backoff(ctx, attempt); pauseErr != nil {
			return store.Indeterminate.Wrap(pauseErr, "change %s may or may not be accepted; run audit and look for its mark before trying again", record.mark)
		}
	}
}

func conflictError(current state, change Change) error {
	winner := "another operator"
	if len(current.recent) > 0 {
		last := current.recent[len(current.recent)-1]
		winner = fmt.Sprintf("%s (%q)", last.who, last.why)
	}
	return Conflict.New("the change is based on revision %d, but revision %d by %s is in force; review it with `persimmonridge audit --above %d` and apply again with `--revision %d`",
		change.basedOn, current.revision, winner, change.basedOn, current.revision)
}

// load reads the head and its snapshot, and builds the state in force.
func (s *Submitter) load(ctx context.Context) (state, store.Entry, error) {
	entry, err := s.store.Get(ctx, store.Watches, headKey)
	if err != nil || !entry.Exists() {
		return state{raw: []byte("{}"), base: Snapshot{Document: []byte("{}")}}, entry, err
	}
	headValue, err := parseHead(entry)
	if err != nil {
		return state{}, entry, err
	}
	snapshot, err := loadSnapshot(ctx, s.store, headValue)
	if err != nil {
		return state{}, entry, err
	}
	built := state{revision: snapshot.Revision, mark: snapshot.Mark, raw: snapshot.Document, base: snapshot}
	for _, record := range headValue.Recent {
		if built, err = built.withRecord(record); err != nil {
			return state{}, entry, err
		}
	}
	return built, entry, nil
}

// Audit returns the accepted changes above a revision, oldest first. It follows
// the predecessors back from the head, because the store also contains records
// of changes that lost a race.
func (s *Submitter) Audit(ctx context.Context, above uint64) ([]Record, error) {
	entry, err := s.store.Get(ctx, store.Watches, headKey)
	if err != nil || !entry.Exists() {
		return nil, err
	}
	headValue, err := parseHead(entry)
	if err != nil {
		return nil, err
	}
	var newestFirst []Record
	revision, mark := headValue.Revision, headValue.Mark
	for revision > above && len(newestFirst) < maxAuditRecords {
		record, err := s.record(ctx, headValue, revision, mark)
		if err != nil {
			return nil, err
		}
		newestFirst = append(newestFirst, record)
		revision, mark = revision-1, record.previous
	}
	trail := make([]Record, 0, len(newestFirst))
	for i := len(newestFirst) - 1; i >= 0; i-- {
		trail = append(trail, newestFirst[i])
	}
	return trail, nil
}

func (s *Submitter) record(ctx context.Context, headValue head, revision uint64, mark string) (Record, error) {
	for _, r := range headValue.Recent {
		if r.revision == revision {
			return r, nil
		}
	}
	entry, err := s.store.Get(ctx, store.Housekeeping, recordKey(revision, mark))
	if err != nil {
		return Record{}, err
	}
	var record Record
	if err := json.Unmarshal(entry.Value(), &record); err != nil {
		return Record{}, Gap.Wrap(err, "record %d is missing or unreadable; restore key %s", revision, recordKey(revision, mark))
	}
	return record, nil
}

func parseHead(entry store.Entry) (head, error) {
	var parsed head
	if err := json.Unmarshal(entry.Value(), &parsed); err != nil {
		return head{}, Gap.Wrap(err, "the head at %s is unreadable; restore it from the platform's backup", headKey)
	}
	return parsed, nil
}

func loadSnapshot(ctx context.Context, s Store, headValue head) (Snapshot, error) {
	if headValue.Snapshot == "" {
		return Snapshot{Document: []byte("{}")}, nil
	}
	entry, err := s.Get(ctx, store.Watches, headValue.Snapshot)
	if err != nil {
		return Snapshot{}, err
	}
	var snapshot Snapshot
	if err := json.Unmarshal(entry.Value(), &snapshot); err != nil {
		return Snapshot{}, Gap.Wrap(err, "the snapshot %s is missing or unreadable; restore that key", headValue.Snapshot)
	}
	return snapshot, nil
}

func recordKey(revision uint64, mark string) string {
	return fmt.Sprintf("%s%010d-%s", changePrefix, revision, mark)
}

func snapshotKey(s Snapshot) string {
	return fmt.Sprintf("%s%010d-%s", snapshotPrefix, s.Revision, s.Mark)
}

func backoff(ctx context.Context, attempt int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(store.Backoff(attempt, maxOutcomePause)):
		return nil
	}
}
