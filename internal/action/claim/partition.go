// Package claim prevents non-idempotent actions from running twice. A caller's
// idempotency key identifies an action across resends; a claim on the key is
// stored before the dispatch, where every entry can read it. Keys are divided
// into partitions, and the owner of a partition batches concurrent claims into
// one write.
package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// Retention is how long the record of an action is retained.
const Retention = 24 * time.Hour

// state is the state of an action.
type state string

const (
	held     state = "held"
	finished state = "finished"
	released state = "released"
)

// record is a state transition of an action in its stored form.
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

// answerJSON is the stored form of a finished action's response.
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

// decision is the result of a request: a reply and, if write is set, a record
// that must be stored before the reply is sent.
type decision struct {
	reply *wire.ClaimReply
	write *record
	// wait means that a write for the same key is in progress.
	wait bool
}

// ledger holds the state of a partition's actions in memory and decides
// requests on it, without I/O. It is not safe for concurrent use.
type ledger struct {
	committed map[string]record
	pending   map[string]bool
}

func newLedger() *ledger {
	return &ledger{committed: make(map[string]record), pending: make(map[string]bool)}
}

// handle decides a request. A record that it returns must be passed to commit
// after it is stored.
func (l *ledger) handle(now time.Time, a *wire.ClaimAsk) decision {
	key := a.GetKey()
	if l.pending[key] {
		return decision{wait: true}
	}
	known, exists := l.committed[key]
	if exists && (known.State == released || now.Sub(known.At) > Retention) {
		exists = false
	}
	d := l.decide(now, a, known, exists)
	if d.write != nil {
		l.pending[key] = true
	}
	return d
}

func (l *ledger) decide(now time.Time, a *wire.ClaimAsk, known record, exists bool) decision {
	isHolder := exists && known.State == held && known.RequestID == a.GetRequestId()
	switch a.GetStep() {
	case wire.ClaimAsk_STEP_CLAIM:
		return l.claim(now, a, known, exists)
	case wire.ClaimAsk_STEP_DISPATCH:
		if !isHolder {
			return l.currentState(known, exists)
		}
		return decision{write: newRecord(now, a), reply: grantedReply()}
	case wire.ClaimAsk_STEP_FINISH:
		if !isHolder {
			return decision{reply: doneReply()}
		}
		r := newRecord(now, a)
		r.State, r.Fingerprint, r.Upstream, r.Incarnation = finished, known.Fingerprint, known.Upstream, known.Incarnation
		r.Answer = toJSON(a.GetAnswer())
		return decision{write: r, reply: doneReply()}
	case wire.ClaimAsk_STEP_RELEASE:
		if !isHolder {
			return decision{reply: doneReply()}
		}
		r := newRecord(now, a)
		r.State = released
		return decision{write: r, reply: doneReply()}
	}
	return decision{reply: &wire.ClaimReply{State: wire.ClaimReply_STATE_UNAVAILABLE, Detail: "unknown claim step"}}
}

// claim grants a key that is free or whose holder was proven not to have run.
func (l *ledger) claim(now time.Time, a *wire.ClaimAsk, known record, exists bool) decision {
	if !exists {
		return decision{write: newRecord(now, a), reply: grantedReply()}
	}
	if known.Fingerprint != a.GetFingerprint() {
		return decision{reply: &wire.ClaimReply{State: wire.ClaimReply_STATE_MISMATCH}}
	}
	if known.State == held && provenNotRun(known, a.GetReplaces()) || known.State == held && known.RequestID == a.GetRequestId() {
		return decision{write: newRecord(now, a), reply: grantedReply()}
	}
	return l.currentState(known, exists)
}

// provenNotRun reports whether the proof that a request did not run refers to
// the upstream and incarnation of its current claim. Otherwise the holder may
// have moved to another upstream in the meantime, and would run the action a
// second time beside the request that replaces it.
func provenNotRun(known record, replaced *wire.ClaimAsk_Replaced) bool {
	return replaced != nil && known.RequestID == replaced.GetRequestId() &&
		known.Upstream == replaced.GetUpstream() && known.Incarnation == replaced.GetIncarnation()
}

// currentState replies with the holder of the key, or with the stored response
// of its finished action.
func (l *ledger) currentState(known record, exists bool) decision {
	if !exists {
		return decision{reply: &wire.ClaimReply{State: wire.ClaimReply_STATE_UNAVAILABLE, Detail: "no claim is held for this key"}}
	}
	reply := &wire.ClaimReply{State: wire.ClaimReply_STATE_HELD, RequestId: known.RequestID, Upstream: known.Upstream, Incarnation: known.Incarnation}
	if known.State == finished {
		reply.State = wire.ClaimReply_STATE_FINISHED
		reply.Answer = fromJSON(known.Answer)
	}
	return decision{reply: reply}
}

// commit applies a record that was stored.
func (l *ledger) commit(r record) {
	delete(l.pending, r.Key)
	l.committed[r.Key] = r
}

// isLive reports whether the record is the latest of its key and still
// retained.
func (l *ledger) isLive(now time.Time, r record) bool {
	last, ok := l.committed[r.Key]
	return ok && last.RequestID == r.RequestID && last.State == r.State && r.State != released && now.Sub(r.At) <= Retention
}

// expire removes records that are past their retention.
func (l *ledger) expire(now time.Time) {
	for key, r := range l.committed {
		if now.Sub(r.At) > Retention {
			delete(l.committed, key)
		}
	}
}

func newRecord(now time.Time, a *wire.ClaimAsk) *record {
	return &record{
		Key: a.GetKey(), State: held, Fingerprint: a.GetFingerprint(), RequestID: a.GetRequestId(),
		Upstream: a.GetUpstream(), Incarnation: a.GetIncarnation(), At: now.UTC(),
	}
}

func grantedReply() *wire.ClaimReply { return &wire.ClaimReply{State: wire.ClaimReply_STATE_GRANTED} }

func doneReply() *wire.ClaimReply { return &wire.ClaimReply{State: wire.ClaimReply_STATE_DONE} }

func unavailableReply(detail string) *wire.ClaimReply {
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
