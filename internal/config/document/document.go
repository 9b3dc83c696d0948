// Package document is the complete configuration at one revision: the inventory,
// the rules, and the state of version moves, which the system itself records.
package document

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/config/rules"
	"github.com/persimmonridge/persimmonridge/schema"
)

// Verdict is the status of a version move.
type Verdict string

// Verdicts of a move; Completed and RolledBack are final.
const (
	Moving     Verdict = "moving"
	Completed  Verdict = "completed"
	RolledBack Verdict = "taken-back"
)

// MoveState is the recorded state of one move.
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

// NewMoveState returns the state of a move; why is one sentence for operators.
func NewMoveState(stage int, share float64, verdict Verdict, since time.Time, why string) MoveState {
	return MoveState{stage: stage, share: share, verdict: verdict, since: since, why: why}
}

// Stage returns the index of the stage; the first is 0.
func (m MoveState) Stage() int { return m.stage }

// Share returns the fraction of traffic that goes to the new version.
func (m MoveState) Share() float64 { return m.share }

// Verdict returns the status of the move.
func (m MoveState) Verdict() Verdict { return m.verdict }

// Since returns when the state was recorded.
func (m MoveState) Since() time.Time { return m.since }

// Why returns the reason for the state in one sentence.
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

type documentJSON struct {
	Inventory json.RawMessage      `json:"inventory"`
	Rules     json.RawMessage      `json:"rules"`
	Moves     map[string]MoveState `json:"moves,omitempty"`
}

// Document is one valid configuration. It is immutable.
type Document struct {
	raw       []byte
	inventory inventory.Inventory
	rules     rules.Rules
	moves     map[string]MoveState
}

// Build combines an inventory file and a rules file into a document.
func Build(inventoryFile, rulesFile []byte) (Document, []schema.Finding) {
	raw, err := json.Marshal(documentJSON{Inventory: inventoryFile, Rules: rulesFile})
	if err != nil {
		return Document{}, []schema.Finding{schema.NewFinding("/", err.Error(), "correct the JSON syntax")}
	}
	return Parse(raw)
}

// Parse validates a document and returns it, or all findings.
func Parse(raw []byte) (Document, []schema.Finding) {
	var doc documentJSON
	if err := json.Unmarshal(raw, &doc); err != nil {
		return Document{}, []schema.Finding{schema.NewFinding("/", err.Error(), "correct the JSON syntax")}
	}
	inv, findings := inventory.Parse(orEmptyObject(doc.Inventory))
	if len(findings) > 0 {
		return Document{}, withPathPrefix("/inventory", findings)
	}
	parsed, findings := rules.Parse(orEmptyObject(doc.Rules), inv)
	if len(findings) > 0 {
		return Document{}, withPathPrefix("/rules", findings)
	}
	return Document{raw: raw, inventory: inv, rules: parsed, moves: doc.Moves}, nil
}

func orEmptyObject(raw json.RawMessage) []byte {
	if len(raw) == 0 {
		return []byte("{}")
	}
	return raw
}

func withPathPrefix(prefix string, findings []schema.Finding) []schema.Finding {
	prefixed := make([]schema.Finding, 0, len(findings))
	for _, f := range findings {
		prefixed = append(prefixed, schema.NewFinding(prefix+f.Path(), f.Rule(), f.Remedy()))
	}
	return prefixed
}

// Raw returns the document as JSON.
func (d Document) Raw() []byte { return d.raw }

// Inventory returns the inventory.
func (d Document) Inventory() inventory.Inventory { return d.inventory }

// Rules returns the rules.
func (d Document) Rules() rules.Rules { return d.rules }

// Move is a move that the rules request, with its recorded state.
type Move struct {
	rules.Move
	state    MoveState
	recorded bool
}

// State returns the recorded state, and whether there is one.
func (m Move) State() (state MoveState, known bool) { return m.state, m.recorded }

// Open reports whether the move has not ended.
func (m Move) Open() bool { return !m.recorded || m.state.Verdict() == Moving }

// InProgress reports whether the move has begun and not ended.
func (m Move) InProgress() bool { return m.recorded && m.state.Verdict() == Moving }

// Moves returns the moves that the rules request, with their recorded states, in
// order of name.
func (d Document) Moves() []Move {
	var out []Move
	for _, requested := range d.rules.Moves() {
		state, recorded := d.moves[requested.Name()]
		out = append(out, Move{Move: requested, state: state, recorded: recorded})
	}
	return out
}

// Edit returns the merge patch that replaces the inventory and rules of current
// by the operators' files, and whether they differ. The recorded states of moves
// are not changed.
func Edit(current Document, inventoryFile, rulesFile []byte) (patch []byte, changed bool, err error) {
	wanted, err := json.Marshal(documentJSON{Inventory: inventoryFile, Rules: rulesFile})
	if err != nil || len(current.raw) == 0 {
		return wanted, true, err
	}
	var currentFiles documentJSON
	if err := json.Unmarshal(current.raw, &currentFiles); err != nil {
		return nil, false, err
	}
	base, err := json.Marshal(documentJSON{Inventory: currentFiles.Inventory, Rules: currentFiles.Rules})
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
// whether they differ.
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
		previous, exists := before[name]
		if exists && reflect.DeepEqual(previous, value) {
			continue
		}
		patch[name] = diff(previous, value)
	}
	return patch
}
