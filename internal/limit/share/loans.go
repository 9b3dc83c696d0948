package share

import (
	"math"
	"slices"
	"time"
)

// LoanLife is how long a gateway may use what it borrowed, from the moment at which it asked.
// It asks again several times within it.
const LoanLife = 900 * time.Millisecond

// demandMargin is by how much a gateway borrows more than it sent lately, as requests come
// unevenly.
const demandMargin = 1.25

// loan is a number of requests until a moment.
type loan struct {
	requests int
	until    time.Time
}

// Loans is what one gateway has lent and borrowed of the parts of one upstream. The sum over
// all gateways holds without agreement: a borrower counts LoanLife from the moment at which it
// asked, by its own clock, and a lender does without what it lent until that time has passed
// since it lent and the borrower's last requests no longer count. The zero value is empty.
type Loans struct {
	lent     map[uint64][]loan
	borrowed map[string][]loan
}

// Lend lends up to the wanted number of the requests that the gateway has not sent of its own
// part to the borrower's process, and returns the number. Requests count for the given time.
func (l *Loans) Lend(now time.Time, borrower uint64, wanted, unsent int, within time.Duration) int {
	others := l.Lent(now) - most(l.lent[borrower])
	requests := min(wanted, unsent-others)
	if requests <= 0 {
		return 0
	}
	if l.lent == nil {
		l.lent = make(map[uint64][]loan)
	}
	l.lent[borrower] = append(l.lent[borrower], loan{requests, now.Add(LoanLife + within)})
	return requests
}

// Lent returns how many requests of its own part the gateway must do without. A borrower's
// loans overlap: it may use the largest.
func (l *Loans) Lent(now time.Time) int { return sumOfMost(now, l.lent) }

// Borrow records what the lender lent in reply to a question that was asked at a time.
func (l *Loans) Borrow(lender string, requests int, askedAt time.Time) {
	if l.borrowed == nil {
		l.borrowed = make(map[string][]loan)
	}
	l.borrowed[lender] = append(l.borrowed[lender], loan{requests, askedAt.Add(LoanLife)})
}

// Borrowed returns how many requests the gateway may send beyond its own part.
func (l *Loans) Borrowed(now time.Time) int { return sumOfMost(now, l.borrowed) }

// Allowance returns how many requests a gateway that owns a part may send.
func (l *Loans) Allowance(now time.Time, own int) int {
	return max(0, own-l.Lent(now)) + l.Borrowed(now)
}

// Wanted returns how many requests beyond its own part a gateway needs that sends a number per
// second and counts them for the given time.
func Wanted(perSecond float64, own int, within time.Duration) int {
	return max(0, int(math.Ceil(demandMargin*perSecond*within.Seconds()))-own)
}

// sumOfMost adds the largest loan with each process, and forgets those that are over.
func sumOfMost[K comparable](now time.Time, loans map[K][]loan) int {
	sum := 0
	for process, all := range loans {
		all = slices.DeleteFunc(all, func(l loan) bool { return !now.Before(l.until) })
		if len(all) == 0 {
			delete(loans, process)
			continue
		}
		loans[process] = all
		sum += most(all)
	}
	return sum
}

func most(loans []loan) int {
	most := 0
	for _, l := range loans {
		most = max(most, l.requests)
	}
	return most
}
