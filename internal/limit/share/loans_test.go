package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonridge/persimmonridge/internal/limit/share"
	_ "github.com/persimmonridge/persimmonridge/internal/proof/seed"
)

var start = time.Unix(1_000_000, 0)

// process is a gateway's process that sends to one upstream.
type process struct {
	run      uint64
	joinedAt time.Time
	loans    share.Loans
	sent     share.History
}

// message is delivered at a time.
type message struct {
	at      time.Time
	deliver func(now time.Time)
}

// lenders are gateways that divide a total among them and lend each other their parts.
type lenders struct {
	t         *rapid.T
	within    time.Duration
	parts     share.Parts
	processes []*process
	runs      uint64
	messages  []message
	sent      []time.Time
}

func newLenders(t *rapid.T, count, total int) *lenders {
	l := &lenders{t: t, within: time.Duration(rapid.IntRange(1, 8).Draw(t, "window")) * time.Second / 2, processes: make([]*process, count)}
	gateways := share.Gateways{Version: 1, Joined: true}
	for i := range count {
		gateways.IDs = append(gateways.IDs, fmt.Sprint("gateway-", i))
		l.restart(start, i)
	}
	l.parts = share.Divide(total, "u", gateways)
	return l
}

// restart replaces a gateway's process. It owns nothing while its former one may have used or
// lent its part.
func (l *lenders) restart(now time.Time, gateway int) {
	l.runs++
	l.processes[gateway] = &process{run: l.runs, joinedAt: now.Add(l.within + share.LoanLife)}
}

func (l *lenders) own(now time.Time, gateway int) int {
	if now.Before(l.processes[gateway].joinedAt) {
		return 0
	}
	return l.parts.Of(fmt.Sprint("gateway-", gateway), "u")
}

// take sends as many requests as the gateway may.
func (l *lenders) take(now time.Time, gateway int) {
	p := l.processes[gateway]
	for p.sent.Count(now, l.within) < p.loans.Allowance(now, l.own(now, gateway)) {
		p.sent.Add(now)
		l.sent = append(l.sent, now)
	}
}

// ask asks for a loan. The question and the reply take up to twice as long as a loan lives.
func (l *lenders) ask(askedAt time.Time, borrower, lender, wanted int) {
	asking := l.processes[borrower]
	l.send(askedAt, func(now time.Time) {
		p := l.processes[lender]
		lent := p.loans.Lend(now, asking.run, wanted, l.own(now, lender)-p.sent.Count(now, l.within), l.within)
		if lent == 0 {
			return
		}
		l.send(now, func(time.Time) { asking.loans.Borrow(fmt.Sprint("gateway-", lender), lent, askedAt) })
	})
}

func (l *lenders) send(now time.Time, deliver func(time.Time)) {
	delay := rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, 300 * time.Millisecond, 2 * share.LoanLife}).Draw(l.t, "delay")
	l.messages = append(l.messages, message{now.Add(delay), deliver})
}

// deliver delivers the messages that are due.
func (l *lenders) deliver(now time.Time) {
	for i := 0; i < len(l.messages); i++ {
		if m := l.messages[i]; m.deliver != nil && !m.at.After(now) {
			l.messages[i].deliver = nil
			m.deliver(now)
		}
	}
}

// Guards against sums over the gateways that exceed what they own together, for any loans,
// delays, losses and restarts.
func TestGatewaysThatLendStayWithinTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, total := rapid.IntRange(2, 6).Draw(t, "gateways"), rapid.IntRange(1, 20).Draw(t, "total")
		l := newLenders(t, count, total)
		now := start
		gateway := func(label string) int { return rapid.IntRange(0, count-1).Draw(t, label) }
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, 50, 100, 250, 500}).Draw(t, "pause") * time.Millisecond)
			l.deliver(now)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				l.restart(now, gateway("restarted"))
			case 1:
				for i := range count {
					l.take(now, i)
				}
			case 2, 3, 4, 5:
				borrower, lender := gateway("borrower"), gateway("lender")
				if borrower != lender {
					l.ask(now, borrower, lender, rapid.IntRange(1, total).Draw(t, "wanted"))
				}
			default:
				l.take(now, gateway("sender"))
			}
		}
		for i := total; i < len(l.sent); i++ {
			require.GreaterOrEqual(t, l.sent[i].Sub(l.sent[i-total]), l.within)
		}
	})
}

// Guards against a gateway that has all callers and stays with its own part.
func TestBorrowerMaySendWhatTheOthersOwn(t *testing.T) {
	var borrower share.Loans
	for i, own := range []int{3, 4} {
		var lender share.Loans
		require.Equal(t, own, lender.Lend(start, 7, 10, own, time.Second))
		require.Zero(t, lender.Allowance(start, own))
		require.Equal(t, own, lender.Allowance(start.Add(share.LoanLife+time.Second), own))
		borrower.Borrow(fmt.Sprint("gateway-", i), own, start)
	}
	require.Equal(t, 10, borrower.Allowance(start, 3))
	require.Equal(t, 3, borrower.Allowance(start.Add(share.LoanLife), 3))
}
