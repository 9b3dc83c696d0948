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
	// contactMost is the number of upstreams up to which all are linked at
	// once; beyond it a link is opened when an upstream is first chosen.
	contactMost = 64
	// contactTimeout bounds the wait for a first word from an agent.
	contactTimeout = time.Second
	// reconnectPause is between two attempts to reach an agent that went away.
	reconnectPause = 250 * time.Millisecond
	// peerMessage bounds the wait for a peer's first message.
	peerMessage = 10 * time.Second
	// sendTimeout bounds the writing of one message.
	sendTimeout = 5 * time.Second
)

// replaceList takes a new list of VMs.
func (e *Entry) replaceList(vms []vmlist.VM) {
	for _, gone := range e.table.Replace(vms) {
		e.pool.Drop(gone.Address())
		e.moves.forget(gone)
	}
	all := e.table.All()
	e.logger.Debug("vm list in use", "upstreams", len(all), "entries", len(e.table.Entries()))
	if len(all) > contactMost {
		return
	}
	for _, u := range all {
		if !u.Leaving() {
			e.wg.Go(func() { e.reconnect(u) })
		}
	}
}

// contact makes sure that the agent has said something of itself: its
// incarnation and its clock, without which no offer can be made.
func (e *Entry) contact(ctx context.Context, u *member.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	if _, err := e.pool.Session(ctx, u.Address()); err != nil {
		u.Failed(e.now())
		return false
	}
	select {
	case <-u.Known():
		return true
	case <-ctx.Done():
		u.Failed(e.now())
		return false
	}
}

// confirm makes sure that a link on which nothing came for a while still leads
// to its agent. An offer that a lost VM swallows may have run, as far as anyone
// knows, and can go nowhere else; a ping that it swallows can.
func (e *Entry) confirm(ctx context.Context, u *member.Upstream) bool {
	if u.HeardWithin(e.now(), unheardAfter) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, firstWordAfter)
	defer cancel()
	if err := e.pool.Ping(ctx, u.Address()); err != nil {
		e.logger.Warn("link silent", "node", e.settings.Node(), "upstream", u.Name(), "error", err.Error())
		u.Failed(e.now())
		return false
	}
	u.Heard(e.now())
	return true
}

// describe says whether this entry steps the moves and wants their evidence.
func (e *Entry) describe(now time.Time, n *wire.Notice, _ bool) {
	if e.holder.Held(now, dutyKey) {
		n.EvidenceEveryMs = uint32(e.moves.pace().Milliseconds())
	}
}

// sessionOpened starts the control conversation of a new session.
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
		e.peer.Run(e.ctx, address, stream, func(now time.Time, n *wire.Notice) { e.learn(now, address, n) })
		e.conversationEnded(address, s)
	})
}

// conversationEnded notes that an agent went away, and looks for the process
// that takes its place while the platform's list still names it.
func (e *Entry) conversationEnded(address string, s *link.Session) {
	e.pool.Replace(address, s.Number())
	// A session that fell silent is closed long after another took its place.
	// Its end says nothing of the agent, which speaks on the new one and, with
	// nothing to tell, would not speak again: forgotten now, it would be taken
	// to be unreachable for good.
	if e.pool.Holds(address) {
		return
	}
	if u, ok := e.table.AtAddress(address); ok {
		u.Lost()
		e.wg.Go(func() { e.reconnect(u) })
	}
}

// reconnect tries again until the agent speaks or is no longer listed. With
// many upstreams the next offer does that instead.
func (e *Entry) reconnect(u *member.Upstream) {
	for e.ctx.Err() == nil && !u.Connected() {
		listed, ok := e.table.Upstream(u.Name())
		if !ok || listed != u || u.Listed() == vmlist.Leaving || len(e.table.All()) > contactMost {
			return
		}
		e.contact(e.ctx, u)
		wait.For(e.ctx, reconnectPause)
	}
}

// learn takes a notice of the agent at the address.
func (e *Entry) learn(now time.Time, address string, n *wire.Notice) {
	if n.GetLoad() == nil {
		return
	}
	if u, ok := e.table.AtAddress(address); ok {
		u.Report(now, n.GetLoad())
		e.moves.learn(u, n)
	}
}

// learnCrash takes what an agent told of its upstream's death with an answer's
// end, and passes it on.
func (e *Entry) learnCrash(crash *wire.Crash) {
	now := e.now()
	if crash != nil && e.suspects.Learn(now, suspect.NewCrash(crash.GetId(), now, crash.GetFingerprints())) {
		e.changed.Raise()
	}
}

// servePeer serves one stream of another entry.
func (e *Entry) servePeer(ctx context.Context, stream *link.Stream) {
	defer func() { _ = stream.Close() }()
	envelope, err := stream.Receive(e.now().Add(peerMessage))
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
