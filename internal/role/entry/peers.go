package entry

import (
	"context"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/member"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/vmlist"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
)

const (
	// maxEagerLinks is the number of upstreams up to which links to all are
	// opened in advance; beyond it a link is opened when an upstream is first
	// chosen.
	maxEagerLinks = 64
	// contactTimeout bounds the wait for the first message of an agent.
	contactTimeout = time.Second
	// reconnectInterval is the time between attempts to reach a lost agent.
	reconnectInterval = 250 * time.Millisecond
	// peerMessageTimeout bounds the wait for a peer's first message.
	peerMessageTimeout = 10 * time.Second
	// sendTimeout bounds the writing of one message.
	sendTimeout = 5 * time.Second
)

// replaceVMs applies a new list of VMs.
func (e *Entry) replaceVMs(vms []vmlist.VM) {
	for _, removed := range e.table.Replace(vms) {
		e.pool.CloseSession(removed.Address())
		e.rollouts.removeReport(removed)
	}
	all := e.table.All()
	e.logger.Debug("VM list applied", "upstreams", len(all), "entries", len(e.table.Entries()))
	if len(all) > maxEagerLinks {
		return
	}
	for _, u := range all {
		if !u.Leaving() {
			e.wg.Go(func() { e.reconnect(u) })
		}
	}
}

// contact connects to the agent and waits until its incarnation and clock are
// known, without which no offer can be made.
func (e *Entry) contact(ctx context.Context, u *member.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	if _, err := e.pool.Session(ctx, u.Address()); err != nil {
		u.RecordFailure(e.now())
		return false
	}
	select {
	case <-u.Reported():
		return true
	case <-ctx.Done():
		u.RecordFailure(e.now())
		return false
	}
}

// confirm pings the agent if it was silent for pingAfter. An offer that is sent
// to a lost VM may have run and cannot be offered elsewhere; after an
// unanswered ping the request still can.
func (e *Entry) confirm(ctx context.Context, u *member.Upstream) bool {
	if u.ReceivedWithin(e.now(), pingAfter) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, firstMessageTimeout)
	defer cancel()
	if err := e.pool.Ping(ctx, u.Address()); err != nil {
		e.logger.Warn("link silent", "node", e.settings.Node(), "upstream", u.Name(), "error", err.Error())
		u.RecordFailure(e.now())
		return false
	}
	u.RecordMessage(e.now())
	return true
}

// describe requests evidence from agents while this entry advances rollouts.
func (e *Entry) describe(now time.Time, n *wire.Notice, _ bool) {
	if e.holder.Held(now, leaseKey) {
		n.EvidenceEveryMs = uint32(e.rollouts.evidenceInterval().Milliseconds())
	}
}

// sessionOpened starts the control stream of a new session.
func (e *Entry) sessionOpened(address string, s *link.Session) {
	stream, err := s.Open()
	if err != nil {
		return
	}
	hello := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: &wire.Hello{Node: e.settings.Node(), Revision: e.log.Revision()}}}
	if err := stream.Send(e.now().Add(sendTimeout), hello); err != nil {
		_ = stream.Close()
		return
	}
	e.wg.Go(func() {
		e.peer.Run(e.ctx, address, stream, func(now time.Time, n *wire.Notice) { e.handleNotice(now, address, n) })
		e.controlEnded(address, s)
	})
}

// controlEnded marks an agent as lost and reconnects to the process that
// replaces it, as long as the platform's list contains the VM.
func (e *Entry) controlEnded(address string, s *link.Session) {
	e.pool.Replace(address, s.Number())
	// A silent session is closed long after another one has replaced it. Its end
	// does not mean that the agent is lost: the agent uses the new session and,
	// with nothing new to report, would not send its state again. If it were
	// marked as lost here, it would be considered unreachable forever.
	if e.pool.HasSession(address) {
		return
	}
	if u, ok := e.table.ByAddress(address); ok {
		u.Disconnected()
		e.wg.Go(func() { e.reconnect(u) })
	}
}

// reconnect retries until the agent responds or is no longer listed. With more
// than maxEagerLinks upstreams the next offer reconnects instead.
func (e *Entry) reconnect(u *member.Upstream) {
	for e.ctx.Err() == nil && !u.Connected() {
		listed, ok := e.table.Upstream(u.Name())
		if !ok || listed != u || u.ListedState() == vmlist.Leaving || len(e.table.All()) > maxEagerLinks {
			return
		}
		e.contact(e.ctx, u)
		wait.For(e.ctx, reconnectInterval)
	}
}

// handleNotice applies a notice of the agent at the address.
func (e *Entry) handleNotice(now time.Time, address string, n *wire.Notice) {
	if n.GetLoad() == nil {
		return
	}
	if u, ok := e.table.ByAddress(address); ok {
		u.Report(now, n.GetLoad())
		e.rollouts.recordReport(u, n)
	}
}

// recordCrash records a crash of an upstream that its agent reported at the end
// of a response, and notifies peers of it.
func (e *Entry) recordCrash(crash *wire.Crash) {
	now := e.now()
	if crash != nil && e.suspects.Record(now, suspect.NewCrash(crash.GetId(), now, crash.GetFingerprints())) {
		e.changed.Raise()
	}
}

// servePeer serves one stream that another entry opened.
func (e *Entry) servePeer(ctx context.Context, stream *link.Stream) {
	defer func() { _ = stream.Close() }()
	envelope, err := stream.Receive(e.now().Add(peerMessageTimeout))
	if err != nil {
		return
	}
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_Hello:
		e.peer.Run(ctx, "", stream, nil)
	case *wire.Envelope_ClaimAsk:
		reply := e.claims.serve(ctx, body.ClaimAsk)
		answer := &wire.Envelope{Body: &wire.Envelope_ClaimReply{ClaimReply: reply}}
		if err := stream.Send(e.now().Add(sendTimeout), answer); err != nil {
			return
		}
		_, _ = stream.Receive(e.now().Add(time.Second))
	}
}
