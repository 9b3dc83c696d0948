// Package settings reads what one process is told at its start: its own
// addresses and failure domain, and where the platform's services are.
package settings

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/schema"
)

var namespace = errorx.NewNamespace("settings")

// Invalid means that the settings file cannot be used; nothing was started.
var Invalid = namespace.NewType("invalid")

// Defaults of settings that may be left out.
const (
	// DefaultClaimPartitions suits a few entries.
	DefaultClaimPartitions = 8
	// DefaultLimit is where an upstream's limit of running requests starts.
	DefaultLimit = 4
	// DefaultMaxLimit is the highest that limit may grow.
	DefaultMaxLimit = 64
	// DefaultTokenGap and DefaultFirstToken are the users' p95 figures.
	DefaultTokenGap   = 74 * time.Millisecond
	DefaultFirstToken = 340 * time.Millisecond
)

// Entry is the settings of an entry process.
type Entry struct{ doc entryDocument }

type entryDocument struct {
	Node            string   `json:"node"`
	FailureDomain   string   `json:"failure-domain"`
	CallerAddress   string   `json:"caller-address"`
	PeerAddress     string   `json:"peer-address"`
	StoreAddresses  []string `json:"store-addresses"`
	VMListURL       string   `json:"vm-list-url"`
	ClaimPartitions int      `json:"claim-partitions"`
	Seed            uint64   `json:"seed"`
	LogLevel        string   `json:"log-level"`
}

// ParseEntry checks raw and returns the settings or one error that names
// every finding.
func ParseEntry(raw []byte) (Entry, error) {
	doc := entryDocument{ClaimPartitions: DefaultClaimPartitions}
	if err := parse(schema.EntrySettings, raw, &doc); err != nil {
		return Entry{}, err
	}
	return Entry{doc: doc}, nil
}

// Node returns the process's name.
func (e Entry) Node() string { return e.doc.Node }

// FailureDomain returns where the process runs.
func (e Entry) FailureDomain() string { return e.doc.FailureDomain }

// CallerAddress returns the address that callers' requests arrive at.
func (e Entry) CallerAddress() string { return e.doc.CallerAddress }

// PeerAddress returns the address that other entries link to.
func (e Entry) PeerAddress() string { return e.doc.PeerAddress }

// StoreAddresses returns the platform's key-value service.
func (e Entry) StoreAddresses() []string { return e.doc.StoreAddresses }

// VMListURL returns the platform's list of VMs.
func (e Entry) VMListURL() string { return e.doc.VMListURL }

// ClaimPartitions returns the number of partitions of keyed actions; it must
// be the same at every entry.
func (e Entry) ClaimPartitions() int { return e.doc.ClaimPartitions }

// LogLevel returns the lowest level that is logged.
func (e Entry) LogLevel() slog.Level { return level(e.doc.LogLevel) }

// Agent is the settings of an agent process.
type Agent struct{ doc agentDocument }

type agentDocument struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure-domain"`
	PeerAddress   string `json:"peer-address"`
	StatusAddress string `json:"status-address"`
	Upstream      string `json:"upstream"`
	Service       string `json:"service"`
	Version       string `json:"version"`
	UpstreamURL   string `json:"upstream-url"`
	Plain         bool   `json:"plain"`
	Limit         int    `json:"limit"`
	MaxLimit      int    `json:"max-limit"`
	TokenGap      string `json:"token-gap-target"`
	FirstToken    string `json:"first-token-target"`
	LogLevel      string `json:"log-level"`
}

// ParseAgent checks raw and returns the settings or one error that names
// every finding.
func ParseAgent(raw []byte) (Agent, error) {
	doc := agentDocument{Limit: DefaultLimit, MaxLimit: DefaultMaxLimit}
	if err := parse(schema.AgentSettings, raw, &doc); err != nil {
		return Agent{}, err
	}
	return Agent{doc: doc}, nil
}

// Node returns the process's name.
func (a Agent) Node() string { return a.doc.Node }

// FailureDomain returns where the process runs.
func (a Agent) FailureDomain() string { return a.doc.FailureDomain }

// PeerAddress returns the address that entries link to.
func (a Agent) PeerAddress() string { return a.doc.PeerAddress }

// StatusAddress returns the address of health and metrics, or none.
func (a Agent) StatusAddress() string { return a.doc.StatusAddress }

// Upstream returns the name of the upstream beside the agent.
func (a Agent) Upstream() string { return a.doc.Upstream }

// Service returns the service that the upstream serves.
func (a Agent) Service() string { return a.doc.Service }

// Version returns the version that the upstream runs.
func (a Agent) Version() string { return a.doc.Version }

// UpstreamURL returns where the upstream listens.
func (a Agent) UpstreamURL() string { return a.doc.UpstreamURL }

// Plain tells whether the upstream is a plain service, not a model engine.
func (a Agent) Plain() bool { return a.doc.Plain }

// Limit returns how many requests may run at first.
func (a Agent) Limit() int { return a.doc.Limit }

// MaxLimit returns how many requests may ever run at once.
func (a Agent) MaxLimit() int { return a.doc.MaxLimit }

// TokenGap returns the gap between tokens that running requests should see.
func (a Agent) TokenGap() time.Duration { return duration(a.doc.TokenGap, DefaultTokenGap) }

// FirstToken returns the time to first token that they should see.
func (a Agent) FirstToken() time.Duration { return duration(a.doc.FirstToken, DefaultFirstToken) }

// LogLevel returns the lowest level that is logged.
func (a Agent) LogLevel() slog.Level { return level(a.doc.LogLevel) }

// ReadFile returns the bytes of a settings file.
func ReadFile(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, Invalid.Wrap(err, "the file cannot be read; correct the path")
	}
	return raw, nil
}

func parse(kind schema.Kind, raw []byte, into any) error {
	if findings := schema.Check(kind, raw); len(findings) > 0 {
		lines := make([]string, 0, len(findings))
		for _, f := range findings {
			lines = append(lines, f.String())
		}
		return Invalid.New("%s", strings.Join(lines, "\n"))
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return Invalid.Wrap(err, "correct the field named")
	}
	return nil
}

// duration reads what the schema has checked already.
func duration(text string, otherwise time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return otherwise
	}
	return d
}

func level(name string) slog.Level {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return parsed
}
