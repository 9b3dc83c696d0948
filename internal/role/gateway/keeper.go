package gateway

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// keeperYieldTime is how long a gateway whose write the store did not answer leaves the duty to
// write for all to others. It is longer than it takes the next one to write.
const keeperYieldTime = 3 * time.Second

// keeper returns the gateway that writes to the store on behalf of all: the scheduler or, while
// the store does not answer it, the next one that it answers. Without any it is the scheduler.
func (p *peers) keeper(now time.Time) string {
	var best candidate
	if p.catalog.Load() != nil && p.storeAnswers() && !p.writesFail(now) {
		p.mu.Lock()
		best = candidate{node: p.settings.Name, rank: p.rank, stopping: p.stopping()}
		p.mu.Unlock()
	}
	for _, other := range p.candidates(now) {
		if p.writesToStore(now, other.node) && other.precedes(best) {
			best = other
		}
	}
	if best.node == "" {
		return p.scheduler(now)
	}
	return best.node
}

// writesToStore reports whether the store answers the peer, and takes its writes as far as is
// known.
func (p *peers) writesToStore(now time.Time, peer string) bool {
	if !p.reachesStore(now, peer) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.peerWritesFail[peer]
}

// writesFail reports whether the store did not answer a write of this gateway lately. Reads may
// succeed meanwhile, or a watch wait that will never get a response.
func (p *peers) writesFail(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.writeFailedAt.IsZero() && now.Sub(p.writeFailedAt) < keeperYieldTime
}

// notePeerWrites records whether writes of a peer fail.
func (p *peers) notePeerWrites(peer string, fail bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fail {
		p.peerWritesFail[peer] = true
	} else {
		delete(p.peerWritesFail, peer)
	}
}

// commitForAll makes a write on behalf of all gateways. If the store does not answer it, another
// gateway becomes the keeper.
func (p *peers) commitForAll(ctx context.Context, t kv.Transaction) (kv.Revision, error) {
	revision, err := p.store.Commit(ctx, t)
	p.noteWrite(p.now(), err)
	return revision, err
}

// noteWrite records the result of a write on behalf of all gateways.
func (p *peers) noteWrite(now time.Time, err error) {
	unanswered := errorx.IsOfType(err, kv.Unavailable) || errorx.IsOfType(err, kv.Cut)
	p.mu.Lock()
	failed := !p.writeFailedAt.IsZero()
	p.writeFailedAt = time.Time{}
	if unanswered {
		p.writeFailedAt = now
	}
	p.mu.Unlock()
	if unanswered && !failed {
		p.logger.Warn("the store did not answer a write; another gateway writes for all meanwhile", "for", keeperYieldTime, "err", err)
	}
	if unanswered != failed {
		p.mesh.GossipNow()
	}
}
