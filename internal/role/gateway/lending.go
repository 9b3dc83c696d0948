package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/limit/lending"
	"github.com/persimmonridge/persimmonridge/internal/limit/share"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// borrowInterval is how often a gateway asks for loans: several times within their life,
	// so that a lost message doesn't interrupt them.
	borrowInterval = share.LoanLife / 4
	// demandWindow is the time over which the requests for a service are counted.
	demandWindow = 500 * time.Millisecond
	// borrowLogInterval bounds the log lines of a gateway that borrows.
	borrowLogInterval = 10 * time.Second
	// maxPartsWanted bounds the limits in one message.
	maxPartsWanted = 64
)

// partLoans borrows parts of upstreams' limits while this gateway has more callers than its own
// parts allow, and lends its own.
type partLoans struct {
	*Gateway
	broker *lending.Broker

	mu sync.Mutex
	// demand holds the latest requests for each service.
	demand map[string]*share.History
	// askedAt holds the times of the latest requests for loans, by number.
	askedAt map[uint64]time.Time
	number  uint64
	// loggedAt is when a line last told that this gateway borrows.
	loggedAt time.Time

	requests *prometheus.CounterVec
}

func newPartLoans(g *Gateway) *partLoans {
	return &partLoans{
		Gateway: g, broker: lending.NewBroker(), demand: make(map[string]*share.History), askedAt: make(map[uint64]time.Time),
		requests: promauto.With(g.metrics.registry).NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_limit_loans_total", Help: "Requests of parts of upstreams' limits that were lent to or borrowed from other gateways, again in each renewal.",
		}, []string{"direction"}),
	}
}

// demandPicker counts the requests for each service.
type demandPicker struct {
	flow.Picker
	loans *partLoans
}

// Pick implements flow.Picker.
func (d demandPicker) Pick(ctx context.Context, now time.Time, req flow.PlacementRequest) (flow.Placement, error) {
	d.loans.demanded(now, req.Service)
	return d.Picker.Pick(ctx, now, req)
}

func (p *partLoans) demanded(now time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.demand[service] == nil {
		p.demand[service] = &share.History{}
	}
	p.demand[service].Add(now)
}

// run borrows what this gateway needs until the context ends.
func (p *partLoans) run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := p.now()
		p.broker.Expire(now)
		p.borrow(now)
		wait.For(ctx, borrowInterval)
	}
	return nil
}

// borrow asks for loans if this gateway's own parts don't suffice.
func (p *partLoans) borrow(now time.Time) {
	wanted := p.wanted(now)
	scheduler := p.peers.scheduler(now)
	if len(wanted) == 0 {
		return
	}
	if now.Sub(p.loggedAt) >= borrowLogInterval {
		p.loggedAt = now
		p.logger.Info("borrows parts of limits", "limits", len(wanted), "scheduler", scheduler)
	}
	if scheduler == "" {
		return
	}
	ask := &wire.PartsAsk{Run: p.processID, Number: p.nextNumber(now), Parts: encodeParts(wanted)}
	if scheduler == p.settings.Name {
		p.passOn(now, p.settings.Name, ask)
		return
	}
	p.mesh.Send(scheduler, &wire.Envelope{Body: &wire.Envelope_PartsAsk{PartsAsk: ask}})
}

// nextNumber returns the number of a request for loans that is made now.
func (p *partLoans) nextNumber(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	for number, at := range p.askedAt {
		if now.Sub(at) >= share.LoanLife {
			delete(p.askedAt, number)
		}
	}
	p.number++
	p.askedAt[p.number] = now
	return p.number
}

// wanted returns how many requests beyond its own parts this gateway needs, if requests for a
// service go to its upstreams evenly.
func (p *partLoans) wanted(now time.Time) lending.Requests {
	perSecond := make(map[string]float64)
	p.mu.Lock()
	for service, history := range p.demand {
		count := history.Count(now, demandWindow)
		if count == 0 {
			delete(p.demand, service)
			continue
		}
		perSecond[service] = float64(count) / demandWindow.Seconds()
	}
	first := int(p.number) * maxPartsWanted
	p.mu.Unlock()
	wanted := make(lending.Requests)
	if p.guard.warmUps.Cold(now)+p.guard.rates.Limited() == 0 {
		return wanted
	}
	for service, rate := range perSecond {
		ready := p.roster.Ready(service)
		each := rate / float64(max(1, len(ready)))
		for i := range ready {
			if len(wanted) >= maxPartsWanted {
				return wanted
			}
			u := ready[i]
			if len(ready) > maxPartsWanted {
				// Each message has the next ones.
				u = ready[(first+i)%len(ready)]
			}
			if n := p.guard.warmUps.Wanted(now, p.settings.LinkAddress, u.ID, each); n > 0 {
				wanted[lending.Limit{Upstream: u.ID, WarmUp: true}] = n
			}
			if n := p.guard.rates.Wanted(now, p.settings.LinkAddress, u.ID, u.StartedAtMs, each); n > 0 {
				wanted[lending.Limit{Upstream: u.ID}] = n
			}
		}
	}
	return wanted
}

// handleAsk handles a request for loans, of the peer itself or passed on by it.
func (p *partLoans) handleAsk(now time.Time, peer string, ask *wire.PartsAsk) {
	if ask.Borrower == "" {
		p.passOn(now, peer, ask)
		return
	}
	if lent := p.lend(now, ask); lent != nil {
		p.mesh.Send(peer, &wire.Envelope{Body: &wire.Envelope_PartsLent{PartsLent: lent}})
	}
}

// passOn asks the other gateways on behalf of the borrower.
func (p *partLoans) passOn(now time.Time, borrower string, ask *wire.PartsAsk) {
	var others []string
	if borrower != p.settings.Name {
		others = append(others, p.settings.Name)
	}
	for _, other := range p.mesh.Alive(now) {
		if other.Node != borrower {
			others = append(others, other.Node)
		}
	}
	for lender, wanted := range p.broker.Divide(now, borrower, decodeParts(ask.Parts), others) {
		part := &wire.PartsAsk{Run: ask.Run, Number: ask.Number, Borrower: borrower, Parts: encodeParts(wanted)}
		if lender != p.settings.Name {
			p.mesh.Send(lender, &wire.Envelope{Body: &wire.Envelope_PartsAsk{PartsAsk: part}})
		} else if lent := p.lend(now, part); lent != nil {
			p.handleLoan(now, lender, lent)
		}
	}
}

// lend lends what the borrower wants and this gateway does not use, or returns nil.
func (p *partLoans) lend(now time.Time, ask *wire.PartsAsk) *wire.PartsLent {
	lent := make(lending.Requests)
	for limit, wanted := range decodeParts(ask.Parts) {
		lend := p.guard.rates.Lend
		if limit.WarmUp {
			lend = p.guard.warmUps.Lend
		}
		if n := lend(now, p.settings.LinkAddress, limit.Upstream, ask.Run, wanted); n > 0 {
			lent[limit] = n
			p.requests.WithLabelValues("lent").Add(float64(n))
		}
	}
	if len(lent) == 0 {
		return nil
	}
	return &wire.PartsLent{Run: ask.Run, Number: ask.Number, Borrower: ask.Borrower, Parts: encodeParts(lent)}
}

// handleLoan handles a loan that a peer has made or passes on.
func (p *partLoans) handleLoan(now time.Time, peer string, lent *wire.PartsLent) {
	if lent.Borrower == "" {
		p.receiveLoan(now, lent.Lender, lent)
		return
	}
	p.broker.Lent(now, lent.Borrower, lent.Run, peer, decodeParts(lent.Parts))
	if lent.Borrower == p.settings.Name {
		p.receiveLoan(now, peer, lent)
		return
	}
	p.mesh.Send(lent.Borrower, &wire.Envelope{Body: &wire.Envelope_PartsLent{PartsLent: &wire.PartsLent{
		Run: lent.Run, Number: lent.Number, Lender: peer, Parts: lent.Parts,
	}}})
}

// receiveLoan records a loan to this process. One that answers no recent request may be over.
func (p *partLoans) receiveLoan(now time.Time, lender string, lent *wire.PartsLent) {
	p.mu.Lock()
	askedAt, known := p.askedAt[lent.Number]
	p.mu.Unlock()
	if !known || lent.Run != p.processID || now.Sub(askedAt) >= share.LoanLife {
		return
	}
	for limit, n := range decodeParts(lent.Parts) {
		if limit.WarmUp {
			p.guard.warmUps.Borrow(limit.Upstream, lender, n, askedAt)
		} else {
			p.guard.rates.Borrow(limit.Upstream, lender, n, askedAt)
		}
		p.requests.WithLabelValues("borrowed").Add(float64(n))
	}
}

func encodeParts(requests lending.Requests) []*wire.Part {
	parts := make([]*wire.Part, 0, len(requests))
	for limit, n := range requests {
		parts = append(parts, &wire.Part{Upstream: limit.Upstream, WarmUp: limit.WarmUp, Requests: uint32(n)})
	}
	return parts
}

func decodeParts(parts []*wire.Part) lending.Requests {
	requests := make(lending.Requests, len(parts))
	for _, part := range parts {
		requests[lending.Limit{Upstream: part.Upstream, WarmUp: part.WarmUp}] = int(part.Requests)
	}
	return requests
}
