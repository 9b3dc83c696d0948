package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// alternateQueueLength bounds the messages queued for one alternate. Only those that are
// late on the first connection are sent on it.
const alternateQueueLength = 256

// alternate is a second connection with a peer, on which both sides send. A packet that is
// lost delays all that follows on its connection by a retransmission timeout, some 200 ms;
// messages that cannot wait for that are sent again here. It is opened when it is first
// needed and closed after readTimeout without a message.
type alternate struct {
	queue chan *wire.Envelope
	// ended is closed when the peer is down.
	ended chan struct{}
}

// errPeerDown ends an alternate whose peer is down.
var errPeerDown = errors.New("the peer is down")

func newAlternate() *alternate {
	return &alternate{queue: make(chan *wire.Envelope, alternateQueueLength), ended: make(chan struct{})}
}

func (a *alternate) enqueue(e *wire.Envelope) bool {
	select {
	case a.queue <- e:
		return true
	default:
		return false
	}
}

// SendAlternate queues a message for the node on its alternate, which is opened if there is
// none. It reports whether the message was queued.
func (m *Mesh) SendAlternate(node string, e *wire.Envelope) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.alternates[node]; a != nil {
		return a.enqueue(e)
	}
	if m.group == nil || m.closed {
		return false
	}
	p := m.peerLocked(node)
	if p == nil {
		return false
	}
	a, address := newAlternate(), p.address
	m.alternates[node] = a
	m.group.Go(func() error {
		m.runAlternate(m.ctx, node, address, a)
		return nil
	})
	return a.enqueue(e)
}

// ReplyAlternate queues a message for the node on its alternate, if there is one.
func (m *Mesh) ReplyAlternate(node string, e *wire.Envelope) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.alternates[node]
	return a != nil && a.enqueue(e)
}

// runAlternate opens an alternate and serves it until it ends.
func (m *Mesh) runAlternate(ctx context.Context, node, address string, a *alternate) {
	defer func() {
		// What is queued until here is lost with the session.
		m.removeAlternate(node, a)
		m.alternatePool.CloseSession(address)
	}()
	stream, err := m.alternatePool.Open(ctx, address)
	if err != nil {
		m.logger.Debug("no alternate connection to peer", "peer", node, "err", err)
		return
	}
	if err := stream.Send(m.now().Add(writeTimeout), &wire.Envelope{Body: &wire.Envelope_Hello{Hello: &wire.Hello{Node: m.node}}}); err != nil {
		m.logger.Debug("alternate connection to peer lost", "peer", node, "err", err)
		return
	}
	m.exchange(ctx, node, stream, a)
}

// serveAlternate serves an alternate that the node has opened.
func (m *Mesh) serveAlternate(ctx context.Context, node string, stream *link.Stream) {
	a := newAlternate()
	m.mu.Lock()
	m.alternates[node] = a
	m.mu.Unlock()
	defer m.removeAlternate(node, a)
	m.exchange(ctx, node, stream, a)
}

// domainOf returns the failure domain of the node, empty while it is unknown.
func (m *Mesh) domainOf(node string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peerLocked(node); p != nil {
		return p.effectiveDomain()
	}
	return ""
}

func (m *Mesh) removeAlternate(node string, a *alternate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.alternates[node] == a {
		delete(m.alternates, node)
	}
}

// peerDown notifies the handler that a peer's process has failed, exited or restarted, and
// ends the alternate with it, which may hang for as long as readTimeout otherwise.
func (m *Mesh) peerDown(now time.Time, node string) {
	m.mu.Lock()
	if a := m.alternates[node]; a != nil {
		delete(m.alternates, node)
		close(a.ended)
	}
	m.mu.Unlock()
	m.handler.PeerDown(now, node)
}

// exchange sends the queued messages of an alternate and handles those of the peer, until
// the stream ends.
func (m *Mesh) exchange(ctx context.Context, node string, stream *link.Stream, a *alternate) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			envelope, err := stream.Receive(m.now().Add(readTimeout))
			if err != nil {
				return err
			}
			m.observeReceived(envelope, m.domainOf(node))
			m.handler.HandleMessage(m.now(), node, envelope)
		}
	})
	group.Go(func() error {
		defer func() { _ = stream.Close() }() // ends Receive
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-a.ended:
				return errPeerDown
			case envelope := <-a.queue:
				if err := stream.Send(m.now().Add(writeTimeout), envelope); err != nil && !errorx.IsOfType(err, link.TooLarge) {
					return err
				}
				if m.traffic != nil {
					m.traffic.MessageSent(envelope, m.domainOf(node))
				}
			}
		}
	})
	err := group.Wait()
	m.logger.Debug("alternate connection to peer closed", "peer", node, "err", err)
}
