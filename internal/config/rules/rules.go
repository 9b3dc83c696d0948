// Package rules parses the rules that operators add to their inventory: the
// priority tiers, the actions that must not run twice, and the deadlines by which
// traffic must move to a new version.
package rules

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/schema"
)

// Defaults of omitted rules.
const (
	DefaultDeadline    = 60 * time.Second
	DefaultRetryBudget = 0.1
)

// Repeat states whether an action may run again if its outcome is unknown.
type Repeat string

// Values of Repeat. Never is the default, so that for example a payment without
// a rule is not made twice when its answer is lost.
const (
	Never Repeat = "never"
	Safe  Repeat = "safe"
)

// IfLate states what happens to a move that does not meet its deadline.
type IfLate string

// Values of IfLate: return the traffic to the old version, or keep the stage
// reached until there is good evidence for the next one.
const (
	RollBack IfLate = "take-back"
	Hold     IfLate = "hold"
)

type document struct {
	Tiers       []string                  `json:"tiers"`
	DefaultTier string                    `json:"default-tier"`
	Actions     map[string]actionDocument `json:"actions"`
	Current     map[string]string         `json:"current"`
	RetryBudget *float64                  `json:"retry-budget"`
	Moves       map[string]moveDocument   `json:"moves"`
}

type actionDocument struct {
	Tier        string `json:"tier"`
	Deadline    string `json:"deadline"`
	Repeat      Repeat `json:"repeat"`
	KeyRequired bool   `json:"key-required"`
}

type moveDocument struct {
	Service string    `json:"service"`
	From    string    `json:"from"`
	To      string    `json:"to"`
	Start   time.Time `json:"start"`
	By      time.Time `json:"by"`
	IfLate  IfLate    `json:"if-late"`
}

// Rules is one valid set of rules. It is immutable.
type Rules struct {
	doc     document
	actions map[string]Action
	moves   []Move
}

// Action is the rule of one action.
type Action struct {
	tier        int
	deadline    time.Duration
	repeat      Repeat
	keyRequired bool
}

// Move is a request to move a service's traffic to another version.
type Move struct {
	name string
	doc  moveDocument
}

// Parse validates raw against the schema and the inventory, and returns the
// rules, or all findings.
func Parse(raw []byte, inv inventory.Inventory) (Rules, []schema.Finding) {
	if findings := schema.Check(schema.Rules, raw); len(findings) > 0 {
		return Rules{}, findings
	}
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return Rules{}, []schema.Finding{schema.NewFinding("/", err.Error(), "correct the value named")}
	}
	r := Rules{doc: doc, actions: make(map[string]Action)}
	findings := r.buildActions(inv)
	findings = append(findings, r.checkCurrent(inv)...)
	findings = append(findings, r.buildMoves(inv)...)
	sort.SliceStable(findings, func(i, j int) bool { return findings[i].Path() < findings[j].Path() })
	return r, findings
}

func (r *Rules) buildActions(inv inventory.Inventory) []schema.Finding {
	var findings []schema.Finding
	if r.doc.DefaultTier != "" && r.tierIndex(r.doc.DefaultTier) < 0 {
		findings = append(findings, schema.NewFinding("/default-tier", "tier "+r.doc.DefaultTier+" is not in tiers", "name one of "+strings.Join(r.doc.Tiers, ", ")))
	}
	for route, doc := range r.doc.Actions {
		path := "/actions/" + route
		serviceName, actionName, _ := strings.Cut(route, "/")
		service, ok := inv.Service(serviceName)
		if !ok {
			findings = append(findings, schema.NewFinding(path, "service "+serviceName+" is not in the inventory", "add it there, or name one of "+strings.Join(inv.ServiceNames(), ", ")))
		} else if _, ok := service.Action(actionName); !ok {
			findings = append(findings, schema.NewFinding(path, "service "+serviceName+" has no action "+actionName, "add the action to the inventory or correct the name"))
		}
		action := Action{tier: r.defaultTier(), deadline: DefaultDeadline, repeat: Never, keyRequired: doc.KeyRequired}
		if doc.Tier != "" {
			action.tier = r.tierIndex(doc.Tier)
		}
		if action.tier < 0 {
			findings = append(findings, schema.NewFinding(path+"/tier", "tier "+doc.Tier+" is not in tiers", "name one of "+strings.Join(r.doc.Tiers, ", ")))
		}
		if doc.Deadline != "" {
			deadline, err := time.ParseDuration(doc.Deadline)
			if err != nil || deadline <= 0 {
				findings = append(findings, schema.NewFinding(path+"/deadline", "deadline "+doc.Deadline+" is not a positive duration", `write one such as "20s"`))
			}
			action.deadline = deadline
		}
		if doc.Repeat != "" {
			action.repeat = doc.Repeat
		}
		if action.repeat == Safe && action.keyRequired {
			findings = append(findings, schema.NewFinding(path+"/key-required", "an action that is safe to repeat needs no key", "drop key-required or set repeat to never"))
		}
		r.actions[route] = action
	}
	return findings
}

func (r *Rules) checkCurrent(inv inventory.Inventory) []schema.Finding {
	var findings []schema.Finding
	for name, version := range r.doc.Current {
		service, ok := inv.Service(name)
		if !ok {
			findings = append(findings, schema.NewFinding("/current/"+name, "service "+name+" is not in the inventory", "add it there or correct the name"))
			continue
		}
		if !service.HasVersion(version) {
			findings = append(findings, schema.NewFinding("/current/"+name, "service "+name+" has no version "+version, "name one of "+strings.Join(service.Versions(), ", ")))
		}
	}
	return findings
}

func (r *Rules) buildMoves(inv inventory.Inventory) []schema.Finding {
	var findings []schema.Finding
	moveOfService := make(map[string]string)
	for _, name := range sortedMoveNames(r.doc.Moves) {
		doc := r.doc.Moves[name]
		path := "/moves/" + name
		if doc.IfLate == "" {
			doc.IfLate = RollBack
		}
		r.moves = append(r.moves, Move{name: name, doc: doc})
		service, ok := inv.Service(doc.Service)
		if !ok {
			findings = append(findings, schema.NewFinding(path+"/service", "service "+doc.Service+" is not in the inventory", "add it there or correct the name"))
			continue
		}
		if !service.HasVersion(doc.From) {
			findings = append(findings, schema.NewFinding(path+"/from", "service "+doc.Service+" has no version "+doc.From, "name one of "+strings.Join(service.Versions(), ", ")))
		}
		if !service.HasVersion(doc.To) {
			findings = append(findings, schema.NewFinding(path+"/to", "service "+doc.Service+" has no version "+doc.To, "name one of "+strings.Join(service.Versions(), ", ")))
		}
		if doc.From == doc.To {
			findings = append(findings, schema.NewFinding(path+"/to", "from and to are the same version", "name the version to move to"))
		}
		if !doc.By.After(doc.Start) {
			findings = append(findings, schema.NewFinding(path+"/by", "by is not after start", "set a later deadline, so that the move has time to gather evidence"))
		}
		if other, ok := moveOfService[doc.Service]; ok {
			findings = append(findings, schema.NewFinding(path, "service "+doc.Service+" has another move, "+other, "complete or remove one of them"))
		}
		moveOfService[doc.Service] = name
	}
	return findings
}

// defaultTier returns the index of the default tier; without a valid one it is
// the lowest tier.
func (r *Rules) defaultTier() int {
	if index := r.tierIndex(r.doc.DefaultTier); index >= 0 {
		return index
	}
	return len(r.doc.Tiers) - 1
}

func (r *Rules) tierIndex(name string) int {
	for index, tier := range r.doc.Tiers {
		if tier == name {
			return index
		}
	}
	return -1
}

// Tiers returns the tiers, highest first.
func (r Rules) Tiers() []string { return r.doc.Tiers }

// Tier returns the index of a tier by name, 0 being the highest.
func (r Rules) Tier(name string) (int, bool) {
	index := r.tierIndex(name)
	return index, index >= 0
}

// Action returns the rule for a route. Without one it returns the defaults: the
// default tier, DefaultDeadline and Never.
func (r Rules) Action(route string) Action {
	if action, ok := r.actions[route]; ok {
		return action
	}
	return Action{tier: r.defaultTier(), deadline: DefaultDeadline, repeat: Never}
}

// RetryBudget returns the fraction of requests that may be retried.
func (r Rules) RetryBudget() float64 {
	if r.doc.RetryBudget == nil {
		return DefaultRetryBudget
	}
	return *r.doc.RetryBudget
}

// Current returns the version that serves a service outside of moves, if the
// rules name one.
func (r Rules) Current(service string) (string, bool) {
	version, ok := r.doc.Current[service]
	return version, ok
}

// Moves returns the requested moves in order of name.
func (r Rules) Moves() []Move { return r.moves }

// Tier returns the action's tier, 0 being the highest.
func (a Action) Tier() int { return a.tier }

// Deadline returns the time after the arrival of a request by which it must be
// answered.
func (a Action) Deadline() time.Duration { return a.deadline }

// RepeatSafe reports whether the action may run again if its outcome is unknown.
func (a Action) RepeatSafe() bool { return a.repeat == Safe }

// KeyRequired reports whether callers must send an Idempotency-Key.
func (a Action) KeyRequired() bool { return a.keyRequired }

// Name returns the move's name.
func (m Move) Name() string { return m.name }

// Service returns the service whose traffic moves.
func (m Move) Service() string { return m.doc.Service }

// From returns the old version.
func (m Move) From() string { return m.doc.From }

// To returns the new version.
func (m Move) To() string { return m.doc.To }

// Start returns the earliest time at which the move may begin.
func (m Move) Start() time.Time { return m.doc.Start }

// Deadline returns the time by which the move must be complete.
func (m Move) Deadline() time.Time { return m.doc.By }

// IfLate states what happens to the move if it does not meet its deadline.
func (m Move) IfLate() IfLate { return m.doc.IfLate }

func sortedMoveNames(moves map[string]moveDocument) []string {
	names := make([]string, 0, len(moves))
	for name := range moves {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
