// Package document is the whole configuration at one revision: inventory,
// rules, and the state of version moves that the system itself records.
package document

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/config/rules"
	"github.com/persimmonridge/persimmonridge/schema"
)

// Verdict is where a version move stands.
type Verdict string

// The verdicts; Completed and TakenBack are final.
const (
	Moving    Verdict = "moving"
	Completed Verdict = "completed"
	TakenBack Verdict = "taken-back"
)

// MoveState is what the system recorded of one move.
type MoveState struct {
	stage   int
	share   float64
	verdict Verdict
	since   time.Time
	why     string
}

type moveStateJSON struct {
	Stage   int       `json:"stage"`
	Share   float64   `json:"share"`
	Verdict Verdict   `json:"verdict"`
	Since   time.Time `json:"since"`
	Why     string    `json:"why"`
}

// NewMoveState returns a state; why is one sentence for operators.
func NewMoveState(stage int, share float64, verdict Verdict, since time.Time, why string) MoveState {
	return MoveState{stage: stage, share: share, verdict: verdict, since: since, why: why}
}

// Stage returns the number of the stage, from 0.
func (m MoveState) Stage() int { return m.stage }

// Share returns the share of traffic that the new version may have.
func (m MoveState) Share() float64 { return m.share }

// Verdict returns where the move stands.
func (m MoveState) Verdict() Verdict { return m.verdict }

// Since returns when the state was recorded.
func (m MoveState) Since() time.Time { return m.since }

// Why returns the evidence in one sentence.
func (m MoveState) Why() string { return m.why }

// MarshalJSON implements json.Marshaler.
func (m MoveState) MarshalJSON() ([]byte, error) {
	return json.Marshal(moveStateJSON{m.stage, m.share, m.verdict, m.since, m.why})
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *MoveState) UnmarshalJSON(raw []byte) error {
	var doc moveStateJSON
	if err := json.Unmarshal(raw, &doc); err != nil {
		return err
	}
	*m = NewMoveState(doc.Stage, doc.Share, doc.Verdict, doc.Since, doc.Why)
	return nil
}

type wire struct {
	Inventory json.RawMessage      `json:"inventory"`
	Rules     json.RawMessage      `json:"rules"`
	Moves     map[string]MoveState `json:"moves,omitempty"`
}

// Document is one accepted configuration. It never changes.
type Document struct {
	raw       []byte
	inventory inventory.Inventory
	rules     rules.Rules
	moves     map[string]MoveState
}

// Build joins an inventory and rules, as operators write them, to a document.
func Build(inventoryFile, rulesFile []byte) (Document, []schema.Finding) {
	raw, err := json.Marshal(wire{Inventory: inventoryFile, Rules: rulesFile})
	if err != nil {
		return Document{}, []schema.Finding{schema.NewFinding("/", err.Error(), "correct the JSON syntax")}
	}
	return Parse(raw)
}

// Parse checks a whole document and returns it or every finding.
func Parse(raw []byte) (Document, []schema.Finding) {
	var doc wire
	if err := json.Unmarshal(raw, &doc); err != nil {
		return Document{}, []schema.Finding{schema.NewFinding("/", err.Error(), "correct the JSON syntax")}
	}
	inv, findings := inventory.Parse(orEmpty(doc.Inventory))
	if len(findings) > 0 {
		return Document{}, under("/inventory", findings)
	}
	parsed, findings := rules.Parse(orEmpty(doc.Rules), inv)
	if len(findings) > 0 {
		return Document{}, under("/rules", findings)
	}
	return Document{raw: raw, inventory: inv, rules: parsed, moves: doc.Moves}, nil
}

func orEmpty(raw json.RawMessage) []byte {
	if len(raw) == 0 {
		return []byte("{}")
	}
	return raw
}

func under(prefix string, findings []schema.Finding) []schema.Finding {
	moved := make([]schema.Finding, 0, len(findings))
	for _, f := range findings {
		moved = append(moved, schema.NewFinding(prefix+f.Path(), f.Rule(), f.Remedy()))
	}
	return moved
}

// Raw returns the document as JSON.
func (d Document) Raw() []byte { return d.raw }

// Inventory returns the inventory.
func (d Document) Inventory() inventory.Inventory { return d.inventory }

// Rules returns the rules.
func (d Document) Rules() rules.Rules { return d.rules }

// Move is a wished move with what was recorded of it.
type Move struct {
	rules.Move
	state MoveState
	known bool
}

// State returns what was recorded, if anything was.
func (m Move) State() (state MoveState, known bool) { return m.state, m.known }

// Open tells whether the move has not ended.
func (m Move) Open() bool { return !m.known || m.state.Verdict() == Moving }

// UnderWay tells whether the move has begun and not ended.
func (m Move) UnderWay() bool { return m.known && m.state.Verdict() == Moving }

// Moves returns the wished moves with what was recorded of them, in order of
// name.
func (d Document) Moves() []Move {
	var out []Move
	for _, wish := range d.rules.Moves() {
		state, known := d.moves[wish.Name()]
		out = append(out, Move{Move: wish, state: state, known: known})
	}
	return out
}

// Edit returns the merge patch that makes the operators' files the document,
// and whether there is anything to change. What the system recorded of moves
// is left as it is.
func Edit(current Document, inventoryFile, rulesFile []byte) (patch []byte, changed bool, err error) {
	wanted, err := json.Marshal(wire{Inventory: inventoryFile, Rules: rulesFile})
	if err != nil || len(current.raw) == 0 {
		return wanted, true, err
	}
	var held wire
	if err := json.Unmarshal(current.raw, &held); err != nil {
		return nil, false, err
	}
	base, err := json.Marshal(wire{Inventory: held.Inventory, Rules: held.Rules})
	if err != nil {
		return nil, false, err
	}
	return Diff(base, wanted)
}

// Patch applies an RFC 7396 merge patch and returns the result as JSON.
func Patch(raw, patch []byte) ([]byte, error) {
	var target, change any
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &target); err != nil {
			return nil, err
		}
	}
	if err := json.Unmarshal(patch, &change); err != nil {
		return nil, err
	}
	return json.Marshal(merge(target, change))
}

func merge(target, change any) any {
	fields, ok := change.(map[string]any)
	if !ok {
		return change
	}
	merged, ok := target.(map[string]any)
	if !ok {
		merged = make(map[string]any)
	}
	for name, value := range fields {
		if value == nil {
			delete(merged, name)
			continue
		}
		merged[name] = merge(merged[name], value)
	}
	return merged
}

// Diff returns the merge patch that turns one JSON value into another, and
// whether there is any difference.
func Diff(from, to []byte) ([]byte, bool, error) {
	var old, wanted any
	if err := json.Unmarshal(from, &old); err != nil {
		return nil, false, err
	}
	if err := json.Unmarshal(to, &wanted); err != nil {
		return nil, false, err
	}
	if reflect.DeepEqual(old, wanted) {
		return []byte("{}"), false, nil
	}
	patch, err := json.Marshal(diff(old, wanted))
	return patch, true, err
}

func diff(old, wanted any) any {
	before, oldIsObject := old.(map[string]any)
	after, wantedIsObject := wanted.(map[string]any)
	if !oldIsObject || !wantedIsObject {
		return wanted
	}
	patch := make(map[string]any)
	for name := range before {
		if _, kept := after[name]; !kept {
			patch[name] = nil
		}
	}
	for name, value := range after {
		known, had := before[name]
		if had && reflect.DeepEqual(known, value) {
			continue
		}
		patch[name] = diff(known, value)
	}
	return patch
}
