// Package changelog keeps the configuration as a log of accepted changes, which
// is also the audit trail. A change is accepted by one compare-and-swap of the
// head; nodes follow the head and never apply a lower revision.
package changelog

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/schema"
)

var namespace = errorx.NewNamespace("changelog")

// Errors of this package.
var (
	// Conflict means that another change was accepted first.
	Conflict = namespace.NewType("conflict")
	// Rejected means that the change is invalid and was not applied.
	Rejected = namespace.NewType("rejected")
	// Gap means that records are missing between two revisions.
	Gap = namespace.NewType("gap")
)

const (
	// maxRecentRecords and maxRecentBytes limit the records in the head, because every
	// node reads the head at every change. A snapshot is written whenever a
	// limit is reached, so that the head and one snapshot are always enough to
	// build the document.
	maxRecentRecords = 16
	maxRecentBytes   = 4 << 10
	// recordOverheadBytes is the approximate size of a record without its patch.
	recordOverheadBytes = 200
)

// Record is one accepted change. It is immutable.
type Record struct {
	revision uint64
	mark     string
	previous string
	who      string
	when     time.Time
	why      string
	patch    json.RawMessage
}

type recordJSON struct {
	Revision uint64          `json:"revision"`
	Mark     string          `json:"mark"`
	Previous string          `json:"previous"`
	Who      string          `json:"who"`
	When     time.Time       `json:"when"`
	Why      string          `json:"why"`
	Patch    json.RawMessage `json:"patch"`
}

// Revision returns the record's revision; the first is 1.
func (r Record) Revision() uint64 { return r.revision }

// Mark returns the random identifier of the record.
func (r Record) Mark() string { return r.mark }

// Who returns the operator or the duty of the system that made the change.
func (r Record) Who() string { return r.who }

// When returns the time of the change by the clock of the process that submitted it.
func (r Record) When() time.Time { return r.when }

// Why returns the reason given for the change.
func (r Record) Why() string { return r.why }

// Patch returns the change as an RFC 7396 merge patch.
func (r Record) Patch() []byte { return r.patch }

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) {
	return json.Marshal(recordJSON{r.revision, r.mark, r.previous, r.who, r.when, r.why, r.patch})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Record) UnmarshalJSON(raw []byte) error {
	var doc recordJSON
	if err := json.Unmarshal(raw, &doc); err != nil {
		return err
	}
	*r = Record{doc.Revision, doc.Mark, doc.Previous, doc.Who, doc.When, doc.Why, doc.Patch}
	return nil
}

// Snapshot is the complete document at one revision.
type Snapshot struct {
	Revision uint64          `json:"revision"`
	Mark     string          `json:"mark"`
	Document json.RawMessage `json:"document"`
}

// Log is one node's copy of the configuration: the document in force and the
// records since the last snapshot. It is safe for concurrent use.
type Log struct {
	invariants *invariant.Recorder

	mu       sync.Mutex
	revision uint64
	mark     string
	doc      document.Document
	base     Snapshot
	recent   []Record
	changed  chan struct{}
}

// New returns an empty log at revision 0.
func New(invariants *invariant.Recorder) *Log {
	return &Log{invariants: invariants, changed: make(chan struct{}), base: Snapshot{Document: []byte("{}")}}
}

// Revision returns the revision in force, or 0 if none is known yet.
func (l *Log) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// Current returns the document in force and its revision.
func (l *Log) Current() (document.Document, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doc, l.revision
}

// Changed returns a channel that is closed when the next revision takes effect.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Since returns what a peer at the given revision lacks: the later records, and
// also the snapshot if the records do not reach back that far.
func (l *Log) Since(revision uint64) (*Snapshot, []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision >= l.revision {
		return nil, nil
	}
	var records []Record
	for _, r := range l.recent {
		if r.revision > revision {
			records = append(records, r)
		}
	}
	if uint64(len(records)) == l.revision-revision {
		return nil, records
	}
	base := l.base
	return &base, append([]Record(nil), l.recent...)
}

// Apply applies records from the store or a peer, on top of snapshot if it is
// not nil. It ignores revisions that are not newer; a gap is an error.
func (l *Log) Apply(snapshot *Snapshot, records []Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := state{revision: l.revision, mark: l.mark, raw: l.doc.Raw(), base: l.base, recent: l.recent}
	if snapshot != nil && snapshot.Revision > next.revision {
		next = state{revision: snapshot.Revision, mark: snapshot.Mark, raw: snapshot.Document, base: *snapshot}
	}
	for _, r := range records {
		if r.revision <= next.revision {
			continue
		}
		var err error
		if next, err = next.withRecord(r); err != nil {
			return err
		}
	}
	if next.revision == l.revision {
		return nil
	}
	return l.adopt(next)
}

// adopt puts a newer state in force. The caller must hold l.mu.
func (l *Log) adopt(next state) error {
	doc, findings := document.Parse(next.raw)
	if len(findings) > 0 {
		return rejectedError(findings)
	}
	if !l.invariants.Check(next.revision > l.revision, invariant.RevisionNeverDown, "", "attempt to apply a lower revision") {
		return nil
	}
	l.revision, l.mark, l.doc, l.base, l.recent = next.revision, next.mark, doc, next.base, next.recent
	close(l.changed)
	l.changed = make(chan struct{})
	return nil
}

// state is a document and its history while records are applied to it.
type state struct {
	revision uint64
	mark     string
	raw      []byte
	base     Snapshot
	recent   []Record
}

// withRecord returns the state after the next record. A record whose predecessor has
// another mark belongs to a different history and is rejected.
func (s state) withRecord(r Record) (state, error) {
	if r.revision != s.revision+1 || r.previous != s.mark {
		return s, Gap.New("record %d does not follow revision %d; read the head and the snapshot", r.revision, s.revision)
	}
	raw, err := document.Patch(s.raw, r.patch)
	if err != nil {
		return s, Rejected.Wrap(err, "the patch of record %d is not a merge patch; write the change as an RFC 7396 merge patch", r.revision)
	}
	next := state{revision: r.revision, mark: r.mark, raw: raw, base: s.base}
	next.recent = append(append(next.recent, s.recent...), r)
	if next.snapshotDue() {
		next.base = Snapshot{Revision: r.revision, Mark: r.mark, Document: raw}
		next.recent = nil
	}
	return next, nil
}

// snapshotDue reports whether a snapshot is due. It depends only on the records, so
// that every node computes the same base.
func (s state) snapshotDue() bool {
	size := 0
	for _, r := range s.recent {
		size += len(r.patch) + recordOverheadBytes
	}
	return len(s.recent) >= maxRecentRecords || size > maxRecentBytes
}

func rejectedError(findings []schema.Finding) error {
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	return Rejected.New("%s", strings.Join(lines, "\n"))
}
