// Package vmlist reads the platform's list of VMs. The list lags: it says who
// may exist, and only direct contact says who is alive.
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("vmlist")

// Unreadable means that the list could not be read; the last one stays in use.
var Unreadable = namespace.NewType("unreadable")

// Role is what a VM's process of the system does.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is what the platform says of a VM.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one line of the list.
type VM struct {
	doc vmJSON
}

type vmJSON struct {
	VM            string  `json:"vm"`
	Role          Role    `json:"role"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure-domain"`
	State         State   `json:"state"`
	Upstream      string  `json:"upstream,omitempty"`
	Service       string  `json:"service,omitempty"`
	Version       string  `json:"version,omitempty"`
	Weight        float64 `json:"weight,omitempty"`
}

// NewAgent returns the line of an upstream's VM. Weight is its relative
// capacity.
func NewAgent(upstream, service, version, address, failureDomain string, weight float64) VM {
	return VM{doc: vmJSON{VM: "vm-" + upstream, Role: Agent, Address: address, FailureDomain: failureDomain, State: Live, Upstream: upstream, Service: service, Version: version, Weight: weight}}
}

// NewEntry returns the line of an entry VM.
func NewEntry(name, address, failureDomain string) VM {
	return VM{doc: vmJSON{VM: name, Role: Entry, Address: address, FailureDomain: failureDomain, State: Live}}
}

// WithState returns the same line in another state.
func (v VM) WithState(state State) VM {
	v.doc.State = state
	return v
}

// MarshalJSON implements json.Marshaler.
func (v VM) MarshalJSON() ([]byte, error) { return json.Marshal(v.doc) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *VM) UnmarshalJSON(raw []byte) error { return json.Unmarshal(raw, &v.doc) }

// Name returns the VM's name.
func (v VM) Name() string { return v.doc.VM }

// Role returns what its process does.
func (v VM) Role() Role { return v.doc.Role }

// Address returns where its process listens for peers.
func (v VM) Address() string { return v.doc.Address }

// FailureDomain returns where it runs.
func (v VM) FailureDomain() string { return v.doc.FailureDomain }

// State returns what the platform says of it.
func (v VM) State() State { return v.doc.State }

// Upstream returns the upstream beside an agent.
func (v VM) Upstream() string { return v.doc.Upstream }

// Service returns what the upstream serves.
func (v VM) Service() string { return v.doc.Service }

// Version returns the version it runs.
func (v VM) Version() string { return v.doc.Version }

// Weight returns its relative capacity, 1 when not given.
func (v VM) Weight() float64 {
	if v.doc.Weight <= 0 {
		return 1
	}
	return v.doc.Weight
}

const (
	// pollEvery is the interval of conditional reads; an unchanged list costs
	// a few hundred bytes.
	pollEvery = 2 * time.Second
	// pollJitter spreads the nodes.
	pollJitter = time.Second
	// pollTimeout bounds one read.
	pollTimeout = 2 * time.Second
	// maxList bounds the list's size.
	maxList = 8 << 20
)

// Dialer opens connections to the platform.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Poller reads the list again and again.
type Poller struct {
	url    string
	http   *http.Client
	logger *slog.Logger
	found  func([]VM)
	etag   string
	cancel context.CancelFunc
	done   chan struct{}
}

// Poll starts reading the list at url; found is called with each new one.
func Poll(url string, dialer Dialer, logger *slog.Logger, found func([]VM)) *Poller {
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1}}
	p := &Poller{url: url, http: client, logger: logger, found: found, cancel: cancel, done: make(chan struct{})}
	go p.run(ctx)
	return p
}

// Close ends the polling and waits for it.
func (p *Poller) Close() error {
	p.cancel()
	<-p.done
	p.http.CloseIdleConnections()
	return nil
}

func (p *Poller) run(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		vms, changed, err := p.read(ctx)
		if err != nil && ctx.Err() == nil {
			p.logger.Debug("vm list not read", "error", err.Error())
		}
		if err == nil && changed {
			p.found(vms)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollEvery + rand.N(pollJitter)):
		}
	}
}

// read asks only for a list other than the last one.
func (p *Poller) read(ctx context.Context) ([]VM, bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return nil, false, Unreadable.Wrap(err, "correct vm-list-url")
	}
	if p.etag != "" {
		request.Header.Set("If-None-Match", p.etag)
	}
	response, err := p.http.Do(request)
	if err != nil {
		return nil, false, Unreadable.Wrap(err, "the last list stays in use")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return nil, false, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, false, Unreadable.New("the platform answered %d; the last list stays in use", response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxList))
	if err != nil {
		return nil, false, Unreadable.Wrap(err, "the last list stays in use")
	}
	vms, err := Parse(raw)
	if err != nil {
		return nil, false, err
	}
	p.etag = response.Header.Get("ETag")
	return vms, true, nil
}

type listJSON struct {
	VMs []VM `json:"vms"`
}

// Parse reads a list.
func Parse(raw []byte) ([]VM, error) {
	var list listJSON
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, Unreadable.Wrap(err, "the list is not JSON of the documented form; the last one stays in use")
	}
	return list.VMs, nil
}

// Format writes a list.
func Format(vms []VM) ([]byte, error) { return json.Marshal(listJSON{VMs: vms}) }
