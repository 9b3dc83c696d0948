package mesh

import "github.com/persimmonridge/persimmonridge/internal/fleet/wire"

// TrafficObserver is told of each message that a mesh sends or receives, and of the failure
// domain of the peer, which is empty while unknown. Its methods must not block.
type TrafficObserver interface {
	MessageSent(e *wire.Envelope, domain string)
	MessageReceived(e *wire.Envelope, domain string)
}

// SetTrafficObserver sets the observer of all messages. It is called before Run and Serve.
func (m *Mesh) SetTrafficObserver(o TrafficObserver) { m.traffic = o }

// observeSent passes messages that were written to the peer to the observer.
func (m *Mesh) observeSent(p *peer, batch ...*wire.Envelope) {
	if m.traffic == nil {
		return
	}
	m.mu.Lock()
	domain := p.effectiveDomain()
	m.mu.Unlock()
	for _, e := range batch {
		m.traffic.MessageSent(e, domain)
	}
}

// observeReceived passes a message from a peer to the observer.
func (m *Mesh) observeReceived(e *wire.Envelope, domain string) {
	if m.traffic != nil {
		m.traffic.MessageReceived(e, domain)
	}
}
