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
	// settleMost is the longest pause between attempts to settle a write
	// whose answer was lost.
	settleMost = time.Second
	// auditMost bounds the records that one audit reads.
	auditMost = 10000
)

// Store is what the log needs of the platform's service.
type Store interface {
	Get(ctx context.Context, priority store.Priority, key string) (store.Entry, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Entry, error)
	Swap(ctx context.Context, priority store.Priority, key string, value []byte, index uint64) (bool, error)
}

// head is the one key that every node follows.
type head struct {
	Revision uint64   `json:"revision"`
	Mark     string   `json:"mark"`
	Snapshot string   `json:"snapshot,omitempty"`
	Recent   []Record `json:"recent"`
}

// Change is what someone wants changed.
type Change struct {
	basedOn uint64
	who     string
	why     string
	patch   []byte
}

// NewChange returns a change written against a revision.
func NewChange(basedOn uint64, who, why string, patch []byte) Change {
	return Change{basedOn: basedOn, who: who, why: why, patch: patch}
}

// Submitter makes changes accepted.
type Submitter struct {
	store Store
}

// NewSubmitter returns a submitter that writes to the store.
func NewSubmitter(s Store) *Submitter { return &Submitter{store: s} }

// Read returns the document in force and its revision, from the store.
func (s *Submitter) Read(ctx context.Context) (document.Document, uint64, error) {
	current, _, err := s.load(ctx)
	if err != nil || current.revision == 0 {
		return document.Document{}, 0, err
	}
	doc, findings := document.Parse(current.raw)
	if len(findings) > 0 {
		return document.Document{}, 0, rejection(findings)
	}
	return doc, current.revision, nil
}

// Submit makes the change accepted or says why it is not. One
// compare-and-swap on the head decides; the record is written before it, so
// that the audit trail never lacks an accepted change.
func (s *Submitter) Submit(ctx context.Context, now time.Time, change Change) (Record, error) {
	current, entry, err := s.load(ctx)
	if err != nil {
		return Record{}, err
	}
	if current.revision != change.basedOn {
		return Record{}, conflict(current, change)
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
	next, err := current.with(record)
	if err != nil {
		return Record{}, err
	}
	if _, findings := document.Parse(next.raw); len(findings) > 0 {
		return Record{}, rejection(findings)
	}
	if err := s.prepare(ctx, record, next); err != nil {
		return Record{}, err
	}
	return record, s.accept(ctx, entry, record, next, change)
}

// prepare writes what the head will point to: the record, and the snapshot
// when one is due. Both names carry the mark, so a change that then loses the
// race leaves only unreferenced keys behind.
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

// create writes a key of our own. If the answer is lost, writing it again
// settles it: false then means that the first attempt took effect.
func (s *Submitter) create(ctx context.Context, key string, value []byte) error {
	for attempt := 0; ; attempt++ {
		_, err := s.store.Swap(ctx, store.Housekeeping, key, value, 0)
		if err == nil {
			return nil
		}
		if pauseErr := pause(ctx, attempt); pauseErr != nil {
			return err
		}
	}
}

// accept swaps the head. An unclear answer is settled by trying again with
// the same index: if the first attempt took effect the second fails, and the
// head read back carries our mark.
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
			return s.settle(ctx, record, change)
		}
		if pauseErr := pause(ctx, attempt); pauseErr != nil {
			return store.Unclear.Wrap(err, "change %s may or may not be accepted; run audit and look for its mark before trying again", record.mark)
		}
	}
}

// settle looks whether the head's history holds our mark.
func (s *Submitter) settle(ctx context.Context, record Record, change Change) error {
	for attempt := 0; ; attempt++ {
		trail, err := s.Audit(ctx, record.revision-1)
		if err == nil {
			for _, known := range trail {
				if known.mark == record.mark {
					return nil
				}
			}
			current, _, err := s.load(ctx)
			if err == nil {
				return conflict(current, change)
			}
		}
		if pauseErr := pause(ctx, attempt); pauseErr != nil {
			return store.Unclear.Wrap(pauseErr, "change %s may or may not be accepted; run audit and look for its mark before trying again", record.mark)
		}
	}
}

func conflict(current state, change Change) error {
	winner := "another operator"
	if len(current.recent) > 0 {
		last := current.recent[len(current.recent)-1]
		winner = fmt.Sprintf("%s (%q)", last.who, last.why)
	}
	return Conflict.New("written against revision %d, but revision %d by %s is in force; look at it with `persimmonridge audit --above %d` and apply again with `--revision %d`",
		change.basedOn, current.revision, winner, change.basedOn, current.revision)
}

// load reads the head and the snapshot it builds on.
func (s *Submitter) load(ctx context.Context) (state, store.Entry, error) {
	entry, err := s.store.Get(ctx, store.Watches, headKey)
	if err != nil || !entry.Exists() {
		return state{raw: []byte("{}"), base: Snapshot{Document: []byte("{}")}}, entry, err
	}
	known, err := parseHead(entry)
	if err != nil {
		return state{}, entry, err
	}
	snapshot, err := loadSnapshot(ctx, s.store, known)
	if err != nil {
		return state{}, entry, err
	}
	at := state{revision: snapshot.Revision, mark: snapshot.Mark, raw: snapshot.Document, base: snapshot}
	for _, record := range known.Recent {
		if at, err = at.with(record); err != nil {
			return state{}, entry, err
		}
	}
	return at, entry, nil
}

// Audit returns the accepted changes above a revision, oldest first. It walks
// back from the head by each record's predecessor, because keys of changes
// that lost a race lie beside the accepted ones.
func (s *Submitter) Audit(ctx context.Context, above uint64) ([]Record, error) {
	entry, err := s.store.Get(ctx, store.Watches, headKey)
	if err != nil || !entry.Exists() {
		return nil, err
	}
	known, err := parseHead(entry)
	if err != nil {
		return nil, err
	}
	var backwards []Record
	revision, mark := known.Revision, known.Mark
	for revision > above && len(backwards) < auditMost {
		record, err := s.record(ctx, known, revision, mark)
		if err != nil {
			return nil, err
		}
		backwards = append(backwards, record)
		revision, mark = revision-1, record.previous
	}
	trail := make([]Record, 0, len(backwards))
	for i := len(backwards) - 1; i >= 0; i-- {
		trail = append(trail, backwards[i])
	}
	return trail, nil
}

func (s *Submitter) record(ctx context.Context, known head, revision uint64, mark string) (Record, error) {
	for _, r := range known.Recent {
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
	var known head
	if err := json.Unmarshal(entry.Value(), &known); err != nil {
		return head{}, Gap.Wrap(err, "the head at %s is unreadable; restore it from the platform's backup", headKey)
	}
	return known, nil
}

func loadSnapshot(ctx context.Context, s Store, known head) (Snapshot, error) {
	if known.Snapshot == "" {
		return Snapshot{Document: []byte("{}")}, nil
	}
	entry, err := s.Get(ctx, store.Watches, known.Snapshot)
	if err != nil {
		return Snapshot{}, err
	}
	var snapshot Snapshot
	if err := json.Unmarshal(entry.Value(), &snapshot); err != nil {
		return Snapshot{}, Gap.Wrap(err, "the snapshot %s is missing or unreadable; restore that key", known.Snapshot)
	}
	return snapshot, nil
}

func recordKey(revision uint64, mark string) string {
	return fmt.Sprintf("%s%010d-%s", changePrefix, revision, mark)
}

func snapshotKey(s Snapshot) string {
	return fmt.Sprintf("%s%010d-%s", snapshotPrefix, s.Revision, s.Mark)
}

func pause(ctx context.Context, attempt int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(store.Backoff(attempt, settleMost)):
		return nil
	}
}
