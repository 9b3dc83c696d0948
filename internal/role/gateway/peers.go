package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// memberTerm is how long a gateway that stopped without a word is listed.
	memberTerm = 10 * time.Second
	// memberRenew leaves room for two lost renewals.
	memberRenew = 3 * time.Second
	// unranked is the rank of a gateway that does not know its own yet.
	unranked = math.MaxInt64
	// chosenFor is how long a choice of the scheduler is good: each request and each
	// gossip asks for it, and a hub chooses among hundreds of peers.
	chosenFor = 5 * time.Millisecond
	// quotaEvery is how often use is told to the scheduler. What all gateways
	// may take over a quota grows with it: a tenth of a second of the use.
	quotaEvery = 100 * time.Millisecond
	// crashesTold bounds the crashes in one gossip.
	crashesTold = 64
)

// member is what a gateway writes of itself in the store.
type member struct {
	Address string `json:"address"`
	Run     uint64 `json:"run"`
	// Halvings is how often one core is halved to what the gateway may use.
	Halvings int64 `json:"halvings,omitempty"`
}

const (
	// halvingsMost bounds a member's halvings, and halvingsShift puts them before
	// any revision.
	halvingsMost  = 8
	halvingsShift = 48
)

// halvings returns how often one core is halved to the processor's part.
func halvings(processor float64) int64 {
	if processor <= 0 {
		return 0
	}
	return int64(min(max(math.Round(-math.Log2(processor)), 0), halvingsMost))
}

// rank returns the rank of a member whose key was created at the revision. What
// schedules, and what all others hear, costs a VM many times what serving callers
// does, so those with more processor come first, and then those that came first.
func (m member) rank(created int64) int64 {
	return min(max(m.Halvings, 0), halvingsMost)<<halvingsShift | created
}

// peers is the gateway's part towards the other gateways. It implements
// mesh.Handler, and follow.View for the list of gateways in the store.
type peers struct {
	*Gateway
	// hub tells whether the other gateways are told by this one.
	hub func() bool

	mu   sync.Mutex
	rank int64
	// askedConfig and askedRoster are when a peer was last asked.
	askedConfig, askedRoster time.Time
	crashes                  []*wire.CrashSeen
	away                     bool
	// config and change are what peers know of configurations and upstreams and
	// this gateway does not.
	config, change lag
	// chosen is who scheduled at chosenAt.
	chosen   string
	chosenAt time.Time
	// answering is when those peers were last heard that the store answers.
	answering map[string]time.Time
}

// Replace implements follow.View.
func (p *peers) Replace(now time.Time, s kv.Snapshot) {
	for _, item := range s.Items {
		p.member(now, item)
	}
}

// Apply implements follow.View.
func (p *peers) Apply(now time.Time, c kv.Changes) {
	for _, e := range c.Events {
		if !e.Deleted {
			p.member(now, e.Item)
		}
	}
}

func (p *peers) member(now time.Time, item kv.Item) {
	var m member
	if err := json.Unmarshal(item.Value, &m); err != nil {
		p.logger.Warn("member ignored", "key", item.Key, "err", err)
		return
	}
	if item.Key == memberPrefix+p.settings.Name {
		// A gateway that the store turns away for longer than its lease is
		// listed anew when it is back. By the new listing's rank it would stop
		// scheduling just then, and the next one would begin without its
		// knowledge; the process lives, so it keeps the rank that it had.
		p.mu.Lock()
		p.rank = min(p.rank, m.rank(item.Created))
		p.mu.Unlock()
		return
	}
	p.mesh.KnowRanked(now, m.Address, m.rank(item.Created))
}

// memberPrefix is where gateways are listed in the store.
const memberPrefix = "gateways/"

// register keeps the gateway listed in the store until the context ends.
func (p *peers) register(ctx context.Context) error {
	value, err := json.Marshal(member{Address: p.settings.Links, Run: p.run, Halvings: halvings(p.settings.Processor)})
	if err != nil {
		return err
	}
	lease, listed := int64(0), false
	for ctx.Err() == nil {
		if !listed {
			lease, listed = p.enlist(ctx, lease, value)
		} else if err := p.store.Keep(ctx, lease); errorx.IsOfType(err, kv.LeaseEnded) {
			lease, listed = 0, false
			continue
		}
		renew := memberRenew
		if !listed {
			renew = memberRenew / 6
		}
		wait.For(ctx, renew)
	}
	if lease != 0 {
		release, cancel := context.WithTimeout(context.Background(), releaseWithin)
		defer cancel()
		if err := p.store.Release(release, lease); err != nil {
			p.logger.Info("lease not released, it lapses", "err", err)
		}
	}
	return nil
}

// releaseWithin bounds the last call of a stopping process.
const releaseWithin = 200 * time.Millisecond

// enlist lists the gateway under the lease, or under a new one if that is 0. It
// returns the lease and whether the gateway is listed. A write without an answer
// may still be carried out, also after a later one; it is repeated under the same
// lease, so that all of them say the same.
func (p *peers) enlist(ctx context.Context, lease int64, value []byte) (int64, bool) {
	if lease == 0 {
		var err error
		if lease, _, err = p.store.Grant(ctx, memberTerm); err != nil {
			return 0, false
		}
	}
	_, err := p.store.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: memberPrefix + p.settings.Name, Value: value, Lease: lease}}})
	if err == nil {
		return lease, true
	}
	p.logger.Info("not listed yet", "err", err)
	if errorx.IsOfType(err, kv.LeaseEnded) {
		return 0, false
	}
	return lease, false
}

// Gossip implements mesh.Handler.
func (p *peers) Gossip(now time.Time, g *wire.Gossip) {
	p.granter.SetReach(p.mesh.Reach(now))
	p.mu.Lock()
	g.Rank = p.rank
	g.Crashes = p.crashes
	g.StoreAnswers = !p.away
	p.mu.Unlock()
	if c := p.catalog.Load(); c != nil {
		g.ConfigVersion = c.Version()
	}
	g.Ready = g.ConfigVersion > 0
	g.Leaving = p.stopping()
	g.RosterRevision = p.roster.Revision()
	g.ChangeRevision = p.changed.Load()
}

// Heard implements mesh.Handler.
func (p *peers) Heard(now time.Time, peer string, g *wire.Gossip) {
	p.granter.OwnerUp(peer)
	for _, c := range g.Crashes {
		if p.crashRegister.Learn(now, c.Fingerprint, c.Upstream) && p.hub() {
			p.crashed(c.Fingerprint, c.Upstream)
		}
	}
	p.askFor(now, peer, g)
	p.permits.Follow(now)
}

// Receive implements mesh.Handler.
func (p *peers) Receive(now time.Time, peer string, e *wire.Envelope) {
	switch body := e.Body.(type) {
	case *wire.Envelope_PlaceVerdict:
		p.permits.Verdict(body.PlaceVerdict)
	case *wire.Envelope_MoveReport:
		p.moves.heardReport(peer, body.MoveReport)
	case *wire.Envelope_MoveState:
		p.moves.takeState(body.MoveState.Service, body.MoveState.State, body.MoveState.Revision, peer)
	case *wire.Envelope_QuotaReport:
		p.ledger.Report(now, peer, quota.Report{
			Run: body.QuotaReport.Run, Age: time.Duration(body.QuotaReport.AgeMs) * time.Millisecond, Used: body.QuotaReport.Used,
		})
		p.mesh.Send(peer, quotaMessage(p.quotaTotals(now, peer)))
	case *wire.Envelope_QuotaTotals:
		p.quota.Hear(now, quota.Totals{
			Run: body.QuotaTotals.Run, Others: body.QuotaTotals.Others, Part: body.QuotaTotals.Part, Fresh: body.QuotaTotals.Fresh,
		})
	case *wire.Envelope_SnapshotAsk:
		p.mesh.Send(peer, &wire.Envelope{Body: &wire.Envelope_Snapshot{Snapshot: p.snapshot(body.SnapshotAsk)}})
	case *wire.Envelope_SchedulerMemory:
		p.takeMemory(now, peer, body.SchedulerMemory)
	case *wire.Envelope_Snapshot:
		p.take(now, peer, body.Snapshot)
	default:
		permit.Serve(now, p.granter, peer, e)
	}
}

// Down implements mesh.Handler.
func (p *peers) Down(now time.Time, peer string) {
	p.mu.Lock()
	delete(p.answering, peer)
	p.chosenAt = time.Time{}
	p.mu.Unlock()
	p.granter.OwnerDown(peer)
	p.permits.Down(peer)
	p.permits.Follow(now)
}

// scheduler returns the gateway that schedules engines as this one sees it: of
// those that know a configuration, that this one hears and that hear it, the one
// of lowest rank. One that stops is taken only while no other is left: gateways
// that are told to stop within a few seconds of each other would otherwise each
// choose by themselves, and give engines more than they have places for.
// Gateways that see different schedulers put too much on an engine at worst;
// nothing that must not be wrong depends on it.
func (p *peers) scheduler(now time.Time) string {
	p.mu.Lock()
	age := now.Sub(p.chosenAt)
	node, fresh := p.chosen, p.chosenAt != time.Time{} && age >= 0 && age < chosenFor
	p.mu.Unlock()
	if fresh {
		return node
	}
	node = p.choose(now)
	p.mu.Lock()
	p.chosen, p.chosenAt = node, now
	p.mu.Unlock()
	return node
}

// forgetChoice makes the next call of scheduler choose anew.
func (p *peers) forgetChoice() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chosenAt = time.Time{}
}

func (p *peers) choose(now time.Time) string {
	var best candidate
	if p.catalog.Load() != nil {
		p.mu.Lock()
		best = candidate{node: p.settings.Name, rank: p.rank, leaving: p.stopping()}
		p.mu.Unlock()
	}
	for _, other := range p.candidates(now) {
		if other.before(best) {
			best = other
		}
	}
	return best.node
}

// candidates returns the other gateways that may schedule.
func (p *peers) candidates(now time.Time) []candidate {
	var all []candidate
	for _, other := range p.mesh.Alive(now) {
		if other.Ready && other.HearsUs {
			all = append(all, candidate{node: other.Node, rank: other.Rank, leaving: other.Leaving})
		}
	}
	return all
}

// othersTake tells whether another gateway is ready and not told to stop.
func (p *peers) othersTake(now time.Time) bool {
	return slices.ContainsFunc(p.mesh.Alive(now), func(other mesh.Peer) bool { return other.Ready && !other.Leaving })
}

// candidate is a gateway that may schedule; without a node it is none.
type candidate struct {
	node    string
	rank    int64
	leaving bool
}

// before tells whether the gateway schedules rather than the other.
func (c candidate) before(other candidate) bool { return other.node == "" || c.compare(other) < 0 }

func (c candidate) compare(other candidate) int {
	if c.leaving != other.leaving {
		if other.leaving {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.rank, other.rank), cmp.Compare(c.node, other.node))
}

// deliver hands a verdict to the gateway that asked.
func (p *peers) deliver(v board.Verdict) {
	message := permit.VerdictMessage(v)
	if v.Owner == p.settings.Name {
		p.permits.Verdict(message.GetPlaceVerdict())
		return
	}
	p.mesh.Send(v.Owner, message)
}

// crashed remembers a crash that this gateway saw or hands on, for its gossip.
func (p *peers) crashed(fingerprint uint64, upstream string) {
	p.mesh.Hurry()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, &wire.CrashSeen{Fingerprint: fingerprint, Upstream: upstream})
	if len(p.crashes) > crashesTold {
		p.crashes = append([]*wire.CrashSeen(nil), p.crashes[len(p.crashes)-crashesTold:]...)
	}
}

// reportQuota tells the scheduler what workspaces used here; its answer is what
// they used elsewhere.
func (p *peers) reportQuota(ctx context.Context) error {
	for ctx.Err() == nil {
		now := p.now()
		report := quota.Report{Run: p.run, Age: now.Sub(p.began), Used: p.quota.Used()}
		switch scheduler := p.scheduler(now); scheduler {
		case "":
		case p.settings.Name:
			p.ledger.Report(now, p.settings.Name, report)
			p.quota.Hear(now, p.quotaTotals(now, p.settings.Name))
		default:
			p.mesh.Send(scheduler, &wire.Envelope{Body: &wire.Envelope_QuotaReport{QuotaReport: &wire.QuotaReport{
				Run: report.Run, AgeMs: uint32(report.Age.Milliseconds()), Used: report.Used,
			}}})
		}
		wait.For(ctx, quotaEvery)
	}
	return nil
}

func (p *peers) quotaTotals(now time.Time, node string) quota.Totals {
	return p.ledger.Totals(now, node, p.run, p.processes())
}

func quotaMessage(t quota.Totals) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_QuotaTotals{QuotaTotals: &wire.QuotaTotals{
		Run: t.Run, Part: t.Part, Others: t.Others, Fresh: t.Fresh,
	}}}
}

// storeAway tells whether the store answers, for the gossip.
func (p *peers) storeAway(away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = away
}

// processes returns how many gateways share the fleet's bounds. Those that are
// listed but not heard yet count: after a restart of all nobody is heard, and
// each gateway would take the whole for itself.
func (p *peers) processes() int { return p.mesh.Known() + 1 }
