// Package claim keeps actions that may never repeat from running twice. A
// caller's idempotency key names an action across resends, so a claim is
// written down before the dispatch, where any entry finds it. Keys are cut
// into partitions; the owner of a partition groups all claims that are under
// way into one write.
package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// Keep is how long an action is known by its key.
const Keep = 24 * time.Hour

// state is where an action stands.
type state string

const (
	held     state = "held"
	finished state = "finished"
	released state = "released"
)

// record is one transition of one action, as it is written down.
type record struct {
	Key         string      `json:"key"`
	State       state       `json:"state"`
	Fingerprint uint64      `json:"fingerprint"`
	RequestID   string      `json:"request-id"`
	Upstream    string      `json:"upstream,omitempty"`
	Incarnation uint64      `json:"incarnation,omitempty"`
	Answer      *answerJSON `json:"answer,omitempty"`
	At          time.Time   `json:"at"`
}

// answerJSON is a finished action's outcome.
type answerJSON struct {
	Outcome int32       `json:"outcome"`
	Status  uint32      `json:"status"`
	Headers [][2]string `json:"headers,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	Whole   bool        `json:"whole"`
}

// PartitionOf returns the partition of a key.
func PartitionOf(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions))
}

// decision is what becomes of one ask: an answer at once, or a record that
// must be written before the answer is given.
type decision struct {
	reply *wire.ClaimReply
	write *record
	// wait is set while a write for the same key is under way.
	wait bool
}

// ledger is what the owner of a partition knows. It decides and does no I/O.
// It is not safe for concurrent use.
type ledger struct {
	committed map[string]record
	pending   map[string]bool
}

func newLedger() *ledger {
	return &ledger{committed: make(map[string]record), pending: make(map[string]bool)}
}

// ask decides. A record it returns must be passed to commit once it is
// written down.
func (l *ledger) ask(now time.Time, a *wire.ClaimAsk) decision {
	key := a.GetKey()
	if l.pending[key] {
		return decision{wait: true}
	}
	known, exists := l.committed[key]
	if exists && (known.State == released || now.Sub(known.At) > Keep) {
		exists = false
	}
	d := l.decide(now, a, known, exists)
	if d.write != nil {
		l.pending[key] = true
	}
	return d
}

func (l *ledger) decide(now time.Time, a *wire.ClaimAsk, known record, exists bool) decision {
	mine := exists && known.State == held && known.RequestID == a.GetRequestId()
	switch a.GetStep() {
	case wire.ClaimAsk_STEP_CLAIM:
		return l.claim(now, a, known, exists)
	case wire.ClaimAsk_STEP_DISPATCH:
		if !mine {
			return l.standing(known, exists)
		}
		return decision{write: fresh(now, a), reply: granted()}
	case wire.ClaimAsk_STEP_FINISH:
		if !mine {
			return decision{reply: done()}
		}
		r := fresh(now, a)
		r.State, r.Fingerprint, r.Upstream, r.Incarnation = finished, known.Fingerprint, known.Upstream, known.Incarnation
		r.Answer = toJSON(a.GetAnswer())
		return decision{write: r, reply: done()}
	case wire.ClaimAsk_STEP_RELEASE:
		if !mine {
			return decision{reply: done()}
		}
		r := fresh(now, a)
		r.State = released
		return decision{write: r, reply: done()}
	}
	return decision{reply: &wire.ClaimReply{State: wire.ClaimReply_STATE_UNAVAILABLE, Detail: "unknown step"}}
}

// claim grants a key that is free, or whose holder was proven not to have run.
func (l *ledger) claim(now time.Time, a *wire.ClaimAsk, known record, exists bool) decision {
	if !exists {
		return decision{write: fresh(now, a), reply: granted()}
	}
	if known.Fingerprint != a.GetFingerprint() {
		return decision{reply: &wire.ClaimReply{State: wire.ClaimReply_STATE_MISMATCH}}
	}
	if known.State == held && proven(known, a.GetReplaces()) || known.State == held && known.RequestID == a.GetRequestId() {
		return decision{write: fresh(now, a), reply: granted()}
	}
	return l.standing(known, exists)
}

// proven tells whether the proof that a request did not run is about the very
// place where its claim stands now. Without that, a holder that has moved on
// to another upstream in the meantime would run beside the one that replaces
// it: a doubled action.
func proven(known record, replaced *wire.ClaimAsk_Replaced) bool {
	return replaced != nil && known.RequestID == replaced.GetRequestId() &&
		known.Upstream == replaced.GetUpstream() && known.Incarnation == replaced.GetIncarnation()
}

// standing tells who holds the key, or how it ended.
func (l *ledger) standing(known record, exists bool) decision {
	if !exists {
		return decision{reply: &wire.ClaimReply{State: wire.ClaimReply_STATE_UNAVAILABLE, Detail: "the claim is not held"}}
	}
	reply := &wire.ClaimReply{State: wire.ClaimReply_STATE_HELD, RequestId: known.RequestID, Upstream: known.Upstream, Incarnation: known.Incarnation}
	if known.State == finished {
		reply.State = wire.ClaimReply_STATE_FINISHED
		reply.Answer = fromJSON(known.Answer)
	}
	return decision{reply: reply}
}

// commit takes a record that was written down.
func (l *ledger) commit(r record) {
	delete(l.pending, r.Key)
	l.committed[r.Key] = r
}

// live tells whether the record is the last word on its key and still kept.
func (l *ledger) live(now time.Time, r record) bool {
	last, ok := l.committed[r.Key]
	return ok && last.RequestID == r.RequestID && last.State == r.State && r.State != released && now.Sub(r.At) <= Keep
}

// expire forgets what is past its time.
func (l *ledger) expire(now time.Time) {
	for key, r := range l.committed {
		if now.Sub(r.At) > Keep {
			delete(l.committed, key)
		}
	}
}

func fresh(now time.Time, a *wire.ClaimAsk) *record {
	return &record{
		Key: a.GetKey(), State: held, Fingerprint: a.GetFingerprint(), RequestID: a.GetRequestId(),
		Upstream: a.GetUpstream(), Incarnation: a.GetIncarnation(), At: now.UTC(),
	}
}

func granted() *wire.ClaimReply { return &wire.ClaimReply{State: wire.ClaimReply_STATE_GRANTED} }

func done() *wire.ClaimReply { return &wire.ClaimReply{State: wire.ClaimReply_STATE_DONE} }

func unavailable(detail string) *wire.ClaimReply {
	return &wire.ClaimReply{State: wire.ClaimReply_STATE_UNAVAILABLE, Detail: detail}
}

func toJSON(a *wire.StoredAnswer) *answerJSON {
	if a == nil {
		return nil
	}
	out := &answerJSON{Outcome: int32(a.GetOutcome()), Status: a.GetStatus(), Body: a.GetBody(), Whole: a.GetWhole()}
	for _, field := range a.GetHeaders() {
		out.Headers = append(out.Headers, [2]string{field.GetName(), field.GetValue()})
	}
	return out
}

func fromJSON(a *answerJSON) *wire.StoredAnswer {
	if a == nil {
		return nil
	}
	out := &wire.StoredAnswer{Outcome: wire.End_Outcome(a.Outcome), Status: a.Status, Body: a.Body, Whole: a.Whole}
	for _, field := range a.Headers {
		out.Headers = append(out.Headers, &wire.Field{Name: field[0], Value: field[1]})
	}
	return out
}
