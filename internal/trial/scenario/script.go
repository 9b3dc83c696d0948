// Package scenario plays scripted and random failures against a whole small
// site and judges what callers saw. Scripts are data files; each opens with
// its story.
package scenario

import (
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/standin/engine"
	"github.com/persimmonridge/persimmonridge/internal/standin/kv"
	"github.com/persimmonridge/persimmonridge/internal/trial/fleet"
)

var namespace = errorx.NewNamespace("scenario")

// BadScript means that a script cannot be played.
var BadScript = namespace.NewType("bad-script")

// Action is one kind of event.
type Action string

// The actions of a script.
const (
	KillAgent    Action = "kill-agent"
	RestartAgent Action = "restart-agent"
	KillEntry    Action = "kill-entry"
	StopEntry    Action = "stop-entry"
	AddEntry     Action = "add-entry"
	Silence      Action = "silence"
	SilencePeers Action = "silence-peers"
	LoseVM       Action = "lose-vm"
	Freeze       Action = "freeze"
	FreezePeers  Action = "freeze-peers"
	Stall        Action = "stall"
	CrashEngine  Action = "crash-engine"
	EngineFaults Action = "engine-faults"
	StoreFaults  Action = "store-faults"
	SendCrasher  Action = "send-crasher"
	BeginMove    Action = "begin-move"
	RollAll      Action = "roll-all"
)

// Event is one thing that happens at a moment.
type Event struct {
	At     Duration `json:"at"`
	Do     Action   `json:"do"`
	Target string   `json:"target,omitempty"`
	// Entry is the index of the entry concerned.
	Entry int `json:"entry,omitempty"`
	// Times repeats a sending.
	Times  int           `json:"times,omitempty"`
	Store  kv.Faults     `json:"store,omitempty"`
	Engine engine.Faults `json:"engine,omitempty"`
	// Within is a move's deadline after its start, or how long a freeze lasts.
	Within Duration `json:"within,omitempty"`
}

// Expect says how the run must end.
type Expect struct {
	// Goodput is the least share in time, by tier.
	Goodput map[string]float64 `json:"goodput,omitempty"`
	// TailFrom is the moment from which every request must be answered in time.
	TailFrom Duration `json:"tail-from,omitempty"`
	// CutMost, MayHaveRunMost and UnreachedMost bound those endings.
	CutMost        int `json:"cut-most"`
	MayHaveRunMost int `json:"may-have-run-most"`
	UnreachedMost  int `json:"unreached-most"`
	// NotRunMost bounds refusals; a negative number allows any.
	NotRunMost int `json:"not-run-most"`
	// CrashesMost bounds the engines that a crasher took down.
	CrashesMost int `json:"crashes-most"`
	// ConvictedInnocent bounds refusals of innocent requests as crashers.
	ConvictedInnocent int `json:"convicted-innocent"`
	// Verdict is how a move must end, and BadRunsMost bounds the requests that
	// the new version ran.
	Verdict     string  `json:"verdict,omitempty"`
	BadShareMax float64 `json:"bad-share-most,omitempty"`
}

// Script is one whole scenario.
type Script struct {
	Story    []string `json:"story"`
	Seed     uint64   `json:"seed"`
	Duration Duration `json:"duration"`
	Rate     float64  `json:"rate"`
	// Burst multiplies the rate in the middle fifth.
	Burst    float64 `json:"burst,omitempty"`
	Engines  int     `json:"engines"`
	Bookings int     `json:"bookings"`
	Entries  int     `json:"entries"`
	// NewEngines run the version that a move goes to.
	NewEngines int `json:"new-engines,omitempty"`
	// Settle is how long the site is left alone after the load.
	Settle Duration `json:"settle,omitempty"`
	Events []Event  `json:"events"`
	Expect Expect   `json:"expect"`
}

// Duration is a time.Duration that is written as text.
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// Parse reads a script.
func Parse(raw []byte) (Script, error) {
	var s Script
	if err := json.Unmarshal(raw, &s); err != nil {
		return Script{}, BadScript.Wrap(err, "correct the field named")
	}
	if len(s.Story) < 2 || s.Duration <= 0 || s.Rate <= 0 || s.Engines <= 0 || s.Entries <= 0 {
		return Script{}, BadScript.New("a script needs a story of two lines or more, duration, rate, engines and entries")
	}
	return s, nil
}

// shorter makes answers so many times shorter and engines as much slower: the
// same load with fewer events.
const shorter = 4

// shrink cuts an example site down to the script's size.
func (s Script) shrink(shape fleet.Shape, network fleet.Network) fleet.Shape {
	shape.Network = network
	shape.Entries = s.Entries
	shape.Engines = shape.Engines[:min(s.Engines, len(shape.Engines))]
	shape.Bookings = shape.Bookings[:min(s.Bookings, len(shape.Bookings))]
	for i := range shape.Engines {
		shape.Engines[i].Settings.TokenGap = time.Duration(3+i%4) * shorter * time.Millisecond
		shape.Engines[i].TokenGap = 15 * shorter * time.Millisecond
	}
	return shape
}
