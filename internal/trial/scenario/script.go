// Package scenario injects scripted failures into a small site under load and
// checks what callers saw. Scripts are JSON files; each starts with a description
// of the failure, under the key "story".
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

// BadScript is the type of errors for a script that cannot be run.
var BadScript = namespace.NewType("bad-script")

// Action is a kind of event.
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

// Event is one action at a time after the start of the load.
type Event struct {
	At     Duration `json:"at"`
	Action Action   `json:"do"`
	Target string   `json:"target,omitempty"`
	// Entry is the index of the entry concerned.
	Entry int `json:"entry,omitempty"`
	// Times is the number of attempts of SendCrasher.
	Times  int           `json:"times,omitempty"`
	Store  kv.Faults     `json:"store,omitempty"`
	Engine engine.Faults `json:"engine,omitempty"`
	// Within is the time from a move's start to its deadline, or the duration of a
	// freeze or stall.
	Within Duration `json:"within,omitempty"`
}

// Expect describes the required result of a run.
type Expect struct {
	// Goodput is the minimum share of requests answered in time, by tier.
	Goodput map[string]float64 `json:"goodput,omitempty"`
	// TailFrom is the time from which on every request sent must be answered in time.
	TailFrom Duration `json:"tail-from,omitempty"`
	// MaxCut, MaxMayHaveRun and MaxUnreached bound the requests with those outcomes.
	MaxCut        int `json:"cut-most"`
	MaxMayHaveRun int `json:"may-have-run-most"`
	MaxUnreached  int `json:"unreached-most"`
	// MaxNotRun bounds the requests refused as not run; a negative value allows any
	// number.
	MaxNotRun int `json:"not-run-most"`
	// MaxCrashes bounds the engine crashes.
	MaxCrashes int `json:"crashes-most"`
	// MaxInnocentConvicted bounds the requests of the load, none of which crashes
	// engines, that were refused as crashing upstreams.
	MaxInnocentConvicted int `json:"convicted-innocent"`
	// Verdict is the required verdict of a move, and MaxNewVersionShare bounds the
	// share of runs on the new version; 0 for no bound.
	Verdict            string  `json:"verdict,omitempty"`
	MaxNewVersionShare float64 `json:"bad-share-most,omitempty"`
}

// Script is one scenario.
type Script struct {
	Description []string `json:"story"`
	Seed        uint64   `json:"seed"`
	Duration    Duration `json:"duration"`
	Rate        float64  `json:"rate"`
	// Burst multiplies the rate in the middle fifth of the duration.
	Burst    float64 `json:"burst,omitempty"`
	Engines  int     `json:"engines"`
	Bookings int     `json:"bookings"`
	Entries  int     `json:"entries"`
	// NewEngines is the number of engines of a move's target version.
	NewEngines int `json:"new-engines,omitempty"`
	// Settle is the time without load before the result is collected.
	Settle Duration `json:"settle,omitempty"`
	Events []Event  `json:"events"`
	Expect Expect   `json:"expect"`
}

// Duration is a time.Duration that is encoded as text, such as "500ms".
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

// Parse parses and validates a script.
func Parse(raw []byte) (Script, error) {
	var s Script
	if err := json.Unmarshal(raw, &s); err != nil {
		return Script{}, BadScript.Wrap(err, "invalid script")
	}
	if len(s.Description) < 2 || s.Duration <= 0 || s.Rate <= 0 || s.Engines <= 0 || s.Entries <= 0 {
		return Script{}, BadScript.New("script needs a story of at least two lines, and duration, rate, engines and entries above zero")
	}
	return s, nil
}

// scaleFactor divides answer lengths and multiplies token gaps: the load on the
// engines stays the same with fewer events to simulate.
const scaleFactor = 4

// scaleDown reduces the example site to the sizes of the script.
func (s Script) scaleDown(spec fleet.Spec, network fleet.Network) fleet.Spec {
	spec.Network = network
	spec.Entries = s.Entries
	spec.Engines = spec.Engines[:min(s.Engines, len(spec.Engines))]
	spec.Bookings = spec.Bookings[:min(s.Bookings, len(spec.Bookings))]
	for i := range spec.Engines {
		spec.Engines[i].Settings.TokenGap = time.Duration(3+i%4) * scaleFactor * time.Millisecond
		spec.Engines[i].TokenGap = 15 * scaleFactor * time.Millisecond
	}
	return spec
}
