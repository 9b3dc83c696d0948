// Package lending decides which gateways are asked to lend their parts of upstreams' limits. A
// gateway that has more callers than others asks the scheduler's gateway, which asks the
// others. Nothing that must hold depends on it: lenders and borrowers keep to package share.
package lending

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/limit/share"
)

const (
	// maxLenders bounds the gateways that are asked for one borrower, and so the messages.
	maxLenders = 32
	// lendersPerRequest is how many gateways are asked for each request that is wanted: some
	// own no part, or use it.
	lendersPerRequest = 2
)

// Limit identifies the limit of an upstream.
type Limit struct {
	Upstream string
	// WarmUp is set for that of an upstream that may be warming up, and not for the one that
	// it states.
	WarmUp bool
}

// Requests is a number of requests by limit.
type Requests map[Limit]int

// Broker asks gateways on behalf of others. It is safe for concurrent use.
type Broker struct {
	mu sync.Mutex
	// asks holds the latest request of each borrower.
	asks map[string]ask
	// known holds the loans that this gateway passed on.
	known map[holder]*share.Loans
	// turn is the lender to begin with.
	turn int
}

type ask struct {
	wanted Requests
	at     time.Time
}

// holder is a gateway that has lent or borrowed of a limit.
type holder struct {
	gateway string
	limit   Limit
}

// NewBroker returns a broker that knows no loans.
func NewBroker() *Broker {
	return &Broker{asks: make(map[string]ask), known: make(map[holder]*share.Loans)}
}

// Divide returns what each of the other gateways is to be asked for. Those that want the same
// themselves are not asked.
func (b *Broker) Divide(now time.Time, borrower string, wanted Requests, others []string) map[string]Requests {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asks[borrower] = ask{wanted, now}
	if len(others) == 0 {
		return nil
	}
	slices.Sort(others)
	b.turn %= len(others)
	lenders := slices.Concat(others[b.turn:], others[:b.turn])
	lenders = lenders[:min(len(lenders), maxLenders)]
	divided := make(map[string]Requests)
	most := 0
	for limit, requests := range wanted {
		var willing []string
		for _, lender := range lenders {
			if other := b.asks[lender]; other.wanted[limit] == 0 || now.Sub(other.at) >= share.LoanLife {
				willing = append(willing, lender)
			}
		}
		willing = willing[:min(len(willing), lendersPerRequest*requests)]
		most = max(most, len(willing))
		for _, lender := range willing {
			if divided[lender] == nil {
				divided[lender] = make(Requests)
			}
			divided[lender][limit] = (requests + len(willing) - 1) / len(willing)
		}
	}
	// Others are asked next time. If none of these lends, all of them are passed over.
	b.turn += cmp.Or(most, len(lenders))
	return divided
}

// Lent records a loan that this gateway passes on.
func (b *Broker) Lent(now time.Time, borrower string, run uint64, lender string, lent Requests) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for limit, requests := range lent {
		b.loansLocked(borrower, limit).Borrow(lender, requests, now)
		b.loansLocked(lender, limit).Lend(now, run, requests, requests+b.loansLocked(lender, limit).Lent(now), 0)
	}
}

func (b *Broker) loansLocked(gateway string, limit Limit) *share.Loans {
	h := holder{gateway, limit}
	if b.known[h] == nil {
		b.known[h] = &share.Loans{}
	}
	return b.known[h]
}

// Allowance returns how many requests a gateway that owns a part of the limit may send, as far
// as this gateway knows.
func (b *Broker) Allowance(now time.Time, gateway string, limit Limit, own int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if loans := b.known[holder{gateway, limit}]; loans != nil {
		return loans.Allowance(now, own)
	}
	return own
}

// Expire forgets loans that are over and gateways that no longer ask.
func (b *Broker) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for h, loans := range b.known {
		if loans.Lent(now)+loans.Borrowed(now) == 0 {
			delete(b.known, h)
		}
	}
	for borrower, a := range b.asks {
		if now.Sub(a.at) >= share.LoanLife {
			delete(b.asks, borrower)
		}
	}
}
