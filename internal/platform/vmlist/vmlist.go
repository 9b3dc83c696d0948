// Package vmlist reads the platform's list of VMs. The list lags: it contains
// the VMs that may exist, and only direct contact shows which are alive.
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

	"github.com/persimmonridge/persimmonridge/internal/upstream/framing"
)

var namespace = errorx.NewNamespace("vmlist")

// Unreadable means that the list could not be read; the previous one stays in
// use.
var Unreadable = namespace.NewType("unreadable")

// Role is the role of the process on a VM.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is the state of a VM by the platform's list.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one item of the list.
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

// NewAgent returns the item of an upstream's VM. The weight is its relative
// capacity.
func NewAgent(upstream, service, version, address, failureDomain string, weight float64) VM {
	return VM{doc: vmJSON{VM: "vm-" + upstream, Role: Agent, Address: address, FailureDomain: failureDomain, State: Live, Upstream: upstream, Service: service, Version: version, Weight: weight}}
}

// NewEntry returns the item of an entry's VM.
func NewEntry(name, address, failureDomain string) VM {
	return VM{doc: vmJSON{VM: name, Role: Entry, Address: address, FailureDomain: failureDomain, State: Live}}
}

// WithState returns a copy with another state.
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

// Role returns the role of its process.
func (v VM) Role() Role { return v.doc.Role }

// Address returns the address at which its process accepts peers.
func (v VM) Address() string { return v.doc.Address }

// FailureDomain returns the VM's failure domain.
func (v VM) FailureDomain() string { return v.doc.FailureDomain }

// State returns the VM's state.
func (v VM) State() State { return v.doc.State }

// Upstream returns the upstream on an agent's VM.
func (v VM) Upstream() string { return v.doc.Upstream }

// Service returns the service of the upstream.
func (v VM) Service() string { return v.doc.Service }

// Version returns the version of the upstream.
func (v VM) Version() string { return v.doc.Version }

// Weight returns the VM's relative capacity, 1 if not given.
func (v VM) Weight() float64 {
	if v.doc.Weight <= 0 {
		return 1
	}
	return v.doc.Weight
}

const (
	// pollInterval is the minimum interval of conditional reads; an unchanged
	// list costs a few hundred bytes.
	pollInterval = 2 * time.Second
	// pollJitter is added at random, so that nodes do not poll in step.
	pollJitter = time.Second
	// pollTimeout bounds one read.
	pollTimeout = 2 * time.Second
	// maxListBytes bounds the size of the list.
	maxListBytes = 8 << 20
)

// Dialer opens connections to the platform.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Poller reads the list periodically.
type Poller struct {
	url      string
	http     *http.Client
	logger   *slog.Logger
	onChange func([]VM)
	etag     string
	cancel   context.CancelFunc
	done     chan struct{}
}

// Poll starts polling the list at url; onChange is called with each new list.
func Poll(url string, dialer Dialer, logger *slog.Logger, onChange func([]VM)) *Poller {
	ctx, cancel := context.WithCancel(context.Background())
	transport := framing.NewTransport(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1})
	client := &http.Client{Timeout: pollTimeout, Transport: transport}
	p := &Poller{url: url, http: client, logger: logger, onChange: onChange, cancel: cancel, done: make(chan struct{})}
	go p.run(ctx)
	return p
}

// Close stops the polling and waits for its goroutine to end.
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
			p.logger.Debug("VM list could not be read", "error", err.Error())
		}
		if err == nil && changed {
			p.onChange(vms)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval + rand.N(pollJitter)):
		}
	}
}

// read requests the list unless it is unchanged since the last read.
func (p *Poller) read(ctx context.Context) ([]VM, bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return nil, false, Unreadable.Wrap(err, "invalid URL of the VM list; correct vm-list-url")
	}
	if p.etag != "" {
		request.Header.Set("If-None-Match", p.etag)
	}
	response, err := p.http.Do(request)
	if err != nil {
		return nil, false, Unreadable.Wrap(err, "request of the VM list failed; the previous list stays in use")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return nil, false, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, false, Unreadable.New("request of the VM list answered with status %d; the previous list stays in use", response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, false, Unreadable.Wrap(err, "response with the VM list ended early; the previous list stays in use")
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

// Parse decodes a list.
func Parse(raw []byte) ([]VM, error) {
	var list listJSON
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, Unreadable.Wrap(err, "VM list is not JSON of the documented form; the previous list stays in use")
	}
	return list.VMs, nil
}

// Format encodes a list.
func Format(vms []VM) ([]byte, error) { return json.Marshal(listJSON{VMs: vms}) }
