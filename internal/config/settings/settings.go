// Package settings parses the settings file of a process: its own addresses and
// failure domain, and the addresses of the platform's services.
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

// Invalid means that the settings file cannot be used; the process does not start.
var Invalid = namespace.NewType("invalid")

// Defaults of omitted settings.
const (
	// DefaultClaimPartitions is enough for a few entries.
	DefaultClaimPartitions = 8
	// DefaultLimit is the initial concurrency limit of an upstream.
	DefaultLimit = 4
	// DefaultMaxLimit is the maximum of that limit.
	DefaultMaxLimit = 64
	// DefaultTokenGap and DefaultFirstToken are the p95 targets that users
	// specified.
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

// ParseEntry validates raw and returns the settings, or one error with all
// findings.
func ParseEntry(raw []byte) (Entry, error) {
	doc := entryDocument{ClaimPartitions: DefaultClaimPartitions}
	if err := parse(schema.EntrySettings, raw, &doc); err != nil {
		return Entry{}, err
	}
	return Entry{doc: doc}, nil
}

// Node returns the process's name.
func (e Entry) Node() string { return e.doc.Node }

// FailureDomain returns the failure domain in which the process runs.
func (e Entry) FailureDomain() string { return e.doc.FailureDomain }

// CallerAddress returns the address that callers' requests arrive at.
func (e Entry) CallerAddress() string { return e.doc.CallerAddress }

// PeerAddress returns the address that other entries link to.
func (e Entry) PeerAddress() string { return e.doc.PeerAddress }

// StoreAddresses returns the addresses of the platform's key-value service.
func (e Entry) StoreAddresses() []string { return e.doc.StoreAddresses }

// VMListURL returns the URL of the platform's list of VMs.
func (e Entry) VMListURL() string { return e.doc.VMListURL }

// ClaimPartitions returns the number of partitions of keyed actions; it must
// be the same at every entry.
func (e Entry) ClaimPartitions() int { return e.doc.ClaimPartitions }

// LogLevel returns the lowest level that is logged.
func (e Entry) LogLevel() slog.Level { return parseLevel(e.doc.LogLevel) }

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

// ParseAgent validates raw and returns the settings, or one error with all
// findings.
func ParseAgent(raw []byte) (Agent, error) {
	doc := agentDocument{Limit: DefaultLimit, MaxLimit: DefaultMaxLimit}
	if err := parse(schema.AgentSettings, raw, &doc); err != nil {
		return Agent{}, err
	}
	return Agent{doc: doc}, nil
}

// Node returns the process's name.
func (a Agent) Node() string { return a.doc.Node }

// FailureDomain returns the failure domain in which the process runs.
func (a Agent) FailureDomain() string { return a.doc.FailureDomain }

// PeerAddress returns the address that entries link to.
func (a Agent) PeerAddress() string { return a.doc.PeerAddress }

// StatusAddress returns the address that serves health and metrics, or "" for none.
func (a Agent) StatusAddress() string { return a.doc.StatusAddress }

// Upstream returns the name of the agent's upstream.
func (a Agent) Upstream() string { return a.doc.Upstream }

// Service returns the service that the upstream serves.
func (a Agent) Service() string { return a.doc.Service }

// Version returns the version that the upstream runs.
func (a Agent) Version() string { return a.doc.Version }

// UpstreamURL returns the URL at which the upstream listens.
func (a Agent) UpstreamURL() string { return a.doc.UpstreamURL }

// Plain reports whether the upstream is a plain service, not a model engine.
func (a Agent) Plain() bool { return a.doc.Plain }

// Limit returns the initial limit of concurrent requests.
func (a Agent) Limit() int { return a.doc.Limit }

// MaxLimit returns the maximum of that limit.
func (a Agent) MaxLimit() int { return a.doc.MaxLimit }

// TokenGap returns the target for the time between tokens.
func (a Agent) TokenGap() time.Duration { return parseDuration(a.doc.TokenGap, DefaultTokenGap) }

// FirstToken returns the target for the time to the first token.
func (a Agent) FirstToken() time.Duration { return parseDuration(a.doc.FirstToken, DefaultFirstToken) }

// LogLevel returns the lowest level that is logged.
func (a Agent) LogLevel() slog.Level { return parseLevel(a.doc.LogLevel) }

// ReadFile returns the content of a settings file.
func ReadFile(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, Invalid.Wrap(err, "the file cannot be read; correct the path")
	}
	return raw, nil
}

func parse(kind schema.Kind, raw []byte, target any) error {
	if findings := schema.Check(kind, raw); len(findings) > 0 {
		lines := make([]string, 0, len(findings))
		for _, f := range findings {
			lines = append(lines, f.String())
		}
		return Invalid.New("%s", strings.Join(lines, "\n"))
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return Invalid.Wrap(err, "correct the field named")
	}
	return nil
}

// parseDuration parses a duration that the schema has already validated; it returns
// defaultValue if the setting is omitted or zero.
func parseDuration(text string, defaultValue time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return defaultValue
	}
	return d
}

func parseLevel(name string) slog.Level {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return parsed
}
